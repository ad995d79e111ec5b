#!/usr/bin/env bash
# Guards against callers that send their heads byte by byte and so hold all
# threads of the daemon for ever.
# shellcheck source=test/process/common.sh
source "$(dirname "$0")/common.sh"

start "$work/engine" "$bin/acaciaferry-standin-engine" --address 127.0.0.1:0 --name e1
DAEMON_CALLERS='max_connections = 20'
start_daemon "$(vm_line e1 "$port" engine batch-model)"
until_ready complete ready 1 false

: >"$work/slow"
python3 - "$daemon_port" >"$work/slow" <<'PY' &
import socket, sys, time
# More than the threads, fewer than the threads and the queue together.
links = [socket.create_connection(("127.0.0.1", int(sys.argv[1]))) for _ in range(30)]
for link in links:
    link.sendall(b"GET / HTTP/1.1\r\nSlow: ")
print("connected", flush=True)
for _ in range(600):
    for link in links:
        try:
            link.send(b"X")
        except OSError:
            pass
    time.sleep(0.2)
PY
pids+=($!)
for _ in $(seq 200); do
  grep -q connected "$work/slow" && break
  sleep 0.05
done
reply=$(complete 'beside slow heads' 5 false) || fail "no answer while heads arrive slowly"
grep -q 'Acaciaferry-Outcome: ran' <<<"$reply" || fail "$reply"
echo "slow_heads: a caller is answered beside 30 connections whose heads arrive byte by byte"
