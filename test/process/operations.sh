#!/usr/bin/env bash
# Guards against a second run of a call that is sent again with its key.
# shellcheck source=test/process/common.sh
source "$(dirname "$0")/common.sh"

cat >"$work/service.py" <<'PY'
# Counts the calls that it executes; holds each for a second.
import http.server, sys, time

class Handler(http.server.BaseHTTPRequestHandler):
    def do_POST(self):
        self.rfile.read(int(self.headers["Content-Length"]))
        with open(sys.argv[1], "a") as journal:
            print(self.path, file=journal)
        time.sleep(1)
        body = b"released"
        self.send_response(200)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def do_GET(self):
        self.send_error(404)

server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Handler)
print(f"port={server.server_port}", flush=True)
server.serve_forever()
PY
touch "$work/journal"
start "$work/service" python3 "$work/service.py" "$work/journal"
service=$pid
line=$(vm_line s1 "$port" service kiosk)
start_daemon_as vm2 "$line"
other_port=$daemon_port
start_daemon "$line"
release() { call /v1/services/kiosk/vat-release/"$2" -d '{}' -H "Idempotency-Key: $1"; }
mint() { call /v1/operation-keys -d '' | sed -n 's/.*"key":"\([^"]*\)".*/\1/p'; }

for _ in $(seq 100); do
  # A call that was not run has closed its key.
  key=$(mint)
  reply=$(release "$key" 1)
  grep -q 'no_live_target\|no_configuration' <<<"$reply" || break
  sleep 0.1
done
expect_text 'released' <<<"$reply"
expect_text 'Acaciaferry-Outcome: ran' <<<"$reply"
release "$key" 1 | expect_text 'released'
release "$key" 2 | expect_text 'operation_key_reused'
[ "$(wc -l <"$work/journal")" = 1 ]

key=$(mint)
release "$key" 3 >"$work/first" &
first=$!
for _ in $(seq 100); do
  grep -q '/3' "$work/journal" && break
  sleep 0.02
done
release "$key" 3 | expect_text 'operation_in_progress'
kill -9 "$service"
wait $first
expect_text 'Acaciaferry-Outcome: unknown' <"$work/first"
release "$key" 3 | expect_text 'target_lost'
[ "$(grep -c '/3' "$work/journal")" = 1 ]

release my-own-key 4 | expect_text '"operation_key":"op1\.'
release "${key}x" 4 | expect_text 'operation_key_invalid'
# Without heartbeats, the other VM cannot reach the one that minted the key.
daemon_port=$other_port
release "$key" 3 | expect_text '"code":"operation_owner_lost".*"outcome":"unknown"'
echo "operations: each call ran once"
