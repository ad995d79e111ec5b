# Sourced by the tests with real processes: starts programs, stops them by id.
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

# Starts a program in the background and sets port to the one that it reports.
start() {
  local log=$1
  shift
  # The child creates its log only after the fork.
  : >"$log"
  "$@" >"$log" 2>&1 &
  pids+=($!)
  for _ in $(seq 200); do
    port=$(sed -n 's/.*port=\([0-9]*\).*/\1/p' "$log" | head -1)
    [ -n "$port" ] && return 0
    sleep 0.05
  done
  cat "$log"
  return 1
}

# Adds a line to the VM list: name, port, role, pool.
list_vm() {
  vms+="${vms:+,}{\"name\": \"$1\", \"address\": \"127.0.0.1:$2\", \"failure_domain\": \"tx-a\",
    \"region\": \"central-tx\", \"role\": \"$3\", \"pool\": \"$4\", \"state\": \"live\", \"incarnation\": 1}"
}

# Starts a platform with the VM list and a daemon of the given name.
start_daemon() {
  echo "{\"vms\": [$vms]}" >"$work/vms.json"
  echo "the key of the test deployment" >"$work/key"
  echo operator >"$work/token"
  printf operator | sha256sum | cut -d ' ' -f 1 >"$work/token-digests"
  start "$work/platform-$1" "$bin/acaciaferry-standin-platform" --address 127.0.0.1:0 --vms "$work/vms.json"
  cat >"$work/$1.ini" <<INI
[vm]
name = $1
failure_domain = tx-a
region = central-tx
drain_grace_ms = 100
[callers]
address = 127.0.0.1:0
[operators]
address = 127.0.0.1:0
token_file = $work/token-digests
[peers]
key_file = $work/key
[platform]
vm_list = 127.0.0.1:$port
deployment_file = $root/examples/works/deployment.ini
INI
  start "$work/$1" "$bin/acaciaferryd" --config "$work/$1.ini"
}

# Prints the port of the operators' listener from a daemon's log.
operators_port() { sed -n 's/.*operators=\([0-9]*\).*/\1/p' "$1" | head -1; }

# Calls the daemon at $port; prints the head and the body of the reply.
call() {
  local path=$1
  shift
  curl -sS -N -i --max-time 30 -H 'Authorization: Bearer secret' "http://127.0.0.1:$port$path" "$@"
}

# Waits until the daemon at $port answers a completion of the batch model.
await_answer() {
  local reply
  for _ in $(seq 100); do
    reply=$(call /v1/completions -d '{"model":"batch-model","prompt":"hello","max_tokens":1}')
    grep -q 'no_live_target\|no_configuration' <<<"$reply" || break
    sleep 0.1
  done
  expect 'Acaciaferry-Outcome: ran' <<<"$reply"
}

# Prints the id of the request whose reply is on stdin.
request_id() { sed -n 's/^Acaciaferry-Request-Id: \([0-9a-f-]*\).*/\1/p'; }

# Fails the test unless the text on stdin has the pattern.
expect() {
  local text
  text=$(cat)
  grep -q "$1" <<<"$text" || { echo "expected $1, got: $text"; exit 1; }
}
