# Helpers for tests with real processes; sourced, never run by itself.
# Expects the directory of the programs as the script's first argument.
set -euo pipefail
bin=$1
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
work=$(mktemp -d)
pids=()

cleanup() {
  local pid
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  # A child that gets the signal between fork and exec may lose it.
  for pid in "${pids[@]}"; do
    for _ in $(seq 100); do
      kill -0 "$pid" 2>/dev/null || break
      sleep 0.05
    done
    kill -9 "$pid" 2>/dev/null || true
  done
  wait
  rm -rf "$work"
}
trap cleanup EXIT

fail() {
  echo "FAILED: $*"
  exit 1
}

# Starts a program in the background; sets `port` to the one that it reports
# and `pid` to its process id.
start() {
  local log=$1
  shift
  # The child creates its log only after the fork.
  : >"$log"
  "$@" >>"$log" 2>&1 &
  pid=$!
  pids+=("$pid")
  for _ in $(seq 400); do
    port=$(sed -n 's/.*port=\([0-9]*\).*/\1/p' "$log" | head -1)
    [ -n "$port" ] && return 0
    sleep 0.05
  done
  cat "$log"
  return 1
}

# Prints one line of the VM list: NAME PORT ROLE POOL.
vm_line() {
  printf '{"name":"%s","address":"127.0.0.1:%s","failure_domain":"tx-a","region":"central-tx","role":"%s","pool":"%s","state":"live","incarnation":1}' "$@"
}

# Starts a platform with the VM lines that are passed after the daemon's name,
# and the daemon. Sets `platform_port`, `daemon_port` and `daemon_pid`.
# DAEMON_CALLERS adds lines to the section [callers]; DEPLOYMENT_FILE replaces
# the example of Works.
start_daemon_as() {
  local name=$1
  shift
  (IFS=, && echo "{\"vms\":[$*]}") >"$work/$name.vms"
  echo "the key of the test deployment" >"$work/key"
  echo operator >"$work/token"
  printf operator | sha256sum | cut -d ' ' -f 1 >"$work/token-digests"
  start "$work/$name.platform" "$bin/acaciaferry-standin-platform" --address 127.0.0.1:0 --vms "$work/$name.vms"
  platform_port=$port
  cat >"$work/$name.ini" <<INI
[vm]
name = $name
failure_domain = tx-a
region = central-tx
drain_grace_ms = 100
[callers]
address = 127.0.0.1:0
${DAEMON_CALLERS:-}
[operators]
address = 127.0.0.1:0
token_file = $work/token-digests
[peers]
key_file = $work/key
[platform]
vm_list = 127.0.0.1:$platform_port
deployment_file = ${DEPLOYMENT_FILE:-$root/examples/works/deployment.ini}
INI
  start "$work/$name.log" "$bin/acaciaferryd" --config "$work/$name.ini"
  daemon_port=$port
  daemon_pid=$pid
}

start_daemon() { start_daemon_as vm1 "$@"; }

# Calls the daemon: PATH, then options of curl. Prints head and body.
call() {
  local path=$1
  shift
  curl -sS -N -i --max-time 60 -H 'Authorization: Bearer secret' "http://127.0.0.1:$daemon_port$path" "$@"
}

# Prints the port of the operators' listener from a daemon's log.
operators_port() { sed -n 's/.*operators=\([0-9]*\).*/\1/p' "$1" | head -1; }

# Prints the id of the request whose reply is on stdin.
request_id() { sed -n 's/^Acaciaferry-Request-Id: \([0-9a-f-]*\).*/\1/p'; }

# Asks for a completion: PROMPT, MAX_TOKENS, STREAM (true or false).
complete() {
  call /v1/completions -d "{\"model\":\"batch-model\",\"prompt\":\"$1\",\"max_tokens\":$2,\"stream\":$3}"
}

# Repeats a command until its reply shows that the daemon knows its targets.
until_ready() {
  local reply
  for _ in $(seq 200); do
    reply=$("$@")
    grep -q 'no_live_target\|no_configuration' <<<"$reply" || return 0
    sleep 0.1
  done
  fail "the daemon did not become ready: $reply"
}

# Waits until the daemon answers a completion of the batch model.
await_answer() {
  until_ready complete hello 1 false
  complete hello 1 false | expect_text 'Acaciaferry-Outcome: ran'
}

# Sends a control switch: PORT, VERB, JSON body.
control() { curl -sS --max-time 10 -X POST "http://127.0.0.1:$1/control/$2" -d "${3:-{\}}"; }

# Prints the status code of a reply with its head.
status_of() { head -1 <<<"$1" | cut -d' ' -f2; }

# Joins the texts of a streamed completion.
stream_text() { sed -n 's/.*"text":"\([^"]*\)".*/\1/p' <<<"$1" | tr -d '\n'; }

# Fails the test unless the text on stdin has the pattern.
expect_text() {
  local text
  text=$(cat)
  grep -q "$1" <<<"$text" || fail "expected $1, got: $text"
}
