#!/usr/bin/env bash
# Guards against a load tool that miscounts: a clean run must be whole, and
# each kind of fault must show in the ledger.
# shellcheck source=test/process/common.sh
source "$(dirname "$0")/common.sh"

start "$work/engine" "$bin/acaciaferry-standin-engine" --address 127.0.0.1:0 --name e1 --speed 50
engine=$(vm_line e1 "$port" engine batch-model)
start "$work/service" "$bin/acaciaferry-standin-service" --address 127.0.0.1:0 --name k1 --work-ms 1
service_port=$port
start_daemon "$engine" "$(vm_line k1 "$service_port" service kiosk)"
until_ready complete ready 1 false
until_ready call /v1/services/kiosk/stock?call=ready

# Runs the load tool: SEED, address of the entry VM, further options.
load() {
  local seed=$1 entry=$2
  shift 2
  "$bin/acaciaferry-load" --entry "$entry" --journal "127.0.0.1:$service_port" --text "$root" \
    --seed "$seed" --count 60 --rate 60 --seconds 30 --max-prompt-tokens 8000 "$@" 2>/dev/null
}
field() { tail -1 <<<"$2" | grep -o "$1=[0-9]*" | cut -d= -f2; }
expect() { [ "$(field "$1" "$3")" = "$2" ] || fail "expected $1=$2: $3"; }

report=$(load 1 "127.0.0.1:$daemon_port" --json "$work/report.json")
grep -q '^ledger: sent=60 answered=60 refused=0 failed=0 late=[0-9]* corrupt=0 duplicated=0$' \
  <<<"$(tail -1 <<<"$report")" || fail "clean run: $report"
python3 -c 'import json, sys; assert json.load(open(sys.argv[1]))["ledger"]["answered"] == 60' "$work/report.json"

# A lost reply is a failure, and never sent again without a key.
control "$service_port" lose-reply '{"calls":1000}' >/dev/null
report=$(load 2 "127.0.0.1:$daemon_port" --service-share 1)
control "$service_port" lose-reply '{"calls":0}' >/dev/null
expect duplicated 0 "$report"
expect corrupt 0 "$report"
[ "$(field failed "$report")" -gt 0 ] || fail "lost replies: $report"

control "$service_port" reject '{"on":true}' >/dev/null
report=$(load 3 "127.0.0.1:$daemon_port" --service-share 1)
expect refused 60 "$report"
grep -q 'told not-run but run: 0$' <<<"$report" || fail "rejected calls: $report"
# Calls that have run before their seed's load: run twice when answered, and
# untruly told not-run when rejected.
control "$service_port" reject '{"on":false}' >/dev/null
for number in $(seq 0 59); do
  curl -sS -o /dev/null "http://127.0.0.1:$service_port/vat-release?call=4-$number" -d x
done
report=$(load 4 "127.0.0.1:$daemon_port" --service-share 1)
[ "$(field duplicated "$report")" -gt 0 ] || fail "executions that ran twice: $report"
control "$service_port" reject '{"on":true}' >/dev/null
report=$(load 4 "127.0.0.1:$daemon_port" --service-share 1)
grep -q 'told not-run but run: 60$' <<<"$report" || fail "untrue not-run: $report"

# An entry VM that ends every answer too early but calls it complete.
cat >"$work/liar.py" <<'PY'
import http.server

class Liar(http.server.BaseHTTPRequestHandler):
    def do_POST(self):
        self.rfile.read(int(self.headers["Content-Length"]))
        self.send_response(200)
        self.send_header("Acaciaferry-Outcome", "ran")
        self.end_headers()
        self.wfile.write(b'data: {"choices":[{"text":""}]}\n\ndata: [DONE]\n\n')

    def log_message(self, *_):
        pass

server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Liar)
print(f"port={server.server_port}", flush=True)
server.serve_forever()
PY
start "$work/liar" python3 "$work/liar.py"
report=$(load 5 "127.0.0.1:$port" --service-share 0)
[ "$(field corrupt "$report")" -gt 40 ] || fail "cut answers: $report"
expect answered 0 "$report"
echo "load: a clean run is whole; failures, refusals, duplicates, untrue not-run and cut answers are counted"
