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

# Starts the platform with the VM lines that are passed, and one daemon. Sets
# `platform_port`, `daemon_port` and `daemon_pid`. DAEMON_CALLERS adds lines to
# the section [callers]; DEPLOYMENT_FILE replaces the example of Works.
start_daemon() {
  (IFS=, && echo "{\"vms\":[$*]}") >"$work/vms.json"
  start "$work/platform" "$bin/acaciaferry-standin-platform" --address 127.0.0.1:0 --vms "$work/vms.json"
  platform_port=$port
  cat >"$work/daemon.ini" <<INI
[vm]
name = vm1
failure_domain = tx-a
region = central-tx
drain_grace_ms = 100
[callers]
address = 127.0.0.1:0
${DAEMON_CALLERS:-}
[operators]
address = 127.0.0.1:0
[platform]
vm_list = 127.0.0.1:$platform_port
deployment_file = ${DEPLOYMENT_FILE:-$root/examples/works/deployment.ini}
INI
  start "$work/daemon" "$bin/acaciaferryd" --config "$work/daemon.ini"
  daemon_port=$port
  daemon_pid=$pid
}

# Calls the daemon: PATH, then options of curl. Prints head and body.
call() {
  local path=$1
  shift
  curl -sS -i --max-time 60 -H 'Authorization: Bearer secret' "http://127.0.0.1:$daemon_port$path" "$@"
}

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

# Sends a control switch: PORT, VERB, JSON body.
control() { curl -sS --max-time 10 -X POST "http://127.0.0.1:$1/control/$2" -d "${3:-{\}}"; }

# Prints the status code of a reply with its head.
status_of() { head -1 <<<"$1" | cut -d' ' -f2; }

# Joins the texts of a streamed completion.
stream_text() { sed -n 's/.*"text":"\([^"]*\)".*/\1/p' <<<"$1" | tr -d '\n'; }
