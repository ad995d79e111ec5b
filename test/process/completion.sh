#!/usr/bin/env bash
# Guards against a broken path from a caller through a daemon to an engine.
set -euo pipefail
bin=$1
root=$(cd "$(dirname "$0")/../.." && pwd)
work=$(mktemp -d)
pids=()
cleanup() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait
  rm -rf "$work"
}
trap cleanup EXIT

# Starts a program in the background and prints the port that it reports.
start() {
  local log=$1
  shift
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

start "$work/engine" "$bin/acaciaferry-standin-engine" --address 127.0.0.1:0 --name e1
cat >"$work/vms.json" <<JSON
{"vms": [{"name": "e1", "address": "127.0.0.1:$port", "failure_domain": "tx-a",
          "region": "central-tx", "role": "engine", "pool": "batch-model",
          "state": "live", "incarnation": 1}]}
JSON
start "$work/platform" "$bin/acaciaferry-standin-platform" --address 127.0.0.1:0 --vms "$work/vms.json"
cat >"$work/daemon.ini" <<INI
[vm]
name = vm1
failure_domain = tx-a
region = central-tx
drain_grace_ms = 100
[callers]
address = 127.0.0.1:0
[operators]
address = 127.0.0.1:0
[platform]
vm_list = 127.0.0.1:$port
deployment_file = $root/examples/works/deployment.ini
INI
start "$work/daemon" "$bin/acaciaferryd" --config "$work/daemon.ini"
daemon=${pids[-1]}
ask() {
  curl -sS -i -H 'Authorization: Bearer secret' "http://127.0.0.1:$port/v1/completions" \
    -d "{\"model\":\"batch-model\",\"prompt\":\"What is in vat 3?\",\"max_tokens\":5,\"stream\":$1}"
}
for _ in $(seq 100); do
  reply=$(ask true)
  grep -q 'no_live_target\|no_configuration' <<<"$reply" || break
  sleep 0.1
done
grep -q 'Acaciaferry-Outcome: ran' <<<"$reply"
grep -q '"text":"token4 "' <<<"$reply"
grep -q 'data: \[DONE\]' <<<"$reply"
ask false | grep -q '"text":"token0 token1 token2 token3 token4 "'
kill "$daemon"
wait "$daemon"
echo "completion: streamed and collected; graceful stop exited 0"
