#!/usr/bin/env bash
# Guards against a command of acaciaferryctl that fails against a running
# daemon, shows nothing of what it is for, prints JSON that cannot be parsed,
# or ends with the wrong exit code.
# shellcheck source=test/process/common.sh
source "$(dirname "$0")/common.sh"

vms=()
start "$work/e1" "$bin/acaciaferry-standin-engine" --address 127.0.0.1:0 --name e1 --token-ms 100
vms+=("$(vm_line e1 "$port" engine batch-model)")
vms+=("$(vm_line vm2 1 entry '')")
start_daemon "${vms[@]}"
daemon=$daemon_pid
operators=127.0.0.1:$(operators_port "$work/vm1.log")
await_answer

ctl() { "$bin/acaciaferryctl" "$@" --address "$operators" --token-file "$work/token"; }
# Runs a command and fails the test unless it ends with the given code.
exits() {
  local code=0 expected=$1
  shift
  "$@" >"$work/out" 2>"$work/err" || code=$?
  [ $code -eq "$expected" ] || { echo "$* ended with $code: $(cat "$work/out" "$work/err")"; exit 1; }
}
# Prints what a Python expression gives for the JSON `v` that a command prints.
json() {
  local expression=$1
  shift
  ctl "$@" --output json | python3 -c "import json, sys; v = json.load(sys.stdin); print($expression)"
}

ctl status | expect_text '^vm  *vm1$'
json 'v["vm"], v["draining"], v["targets"]' status | expect_text '^vm1 False 1$'
ctl targets | expect_text '^e1 .*tx-a.*batch-model'
json 'v[0]["name"], v[0]["state"]' targets | expect_text '^e1 serving$'
ctl peers | expect_text '^vm2 .*unheard'
json 'len(v), v[0]["name"], v[0]["state"]' peers | expect_text '^1 vm2 unheard$'
ctl workspaces | expect_text '^floor-leads '
ctl configuration | expect_text 'batch-model '
json 'v["revision"], "season-log" in [w["name"] for w in v["workloads"]]' configuration | expect_text '^1 True$'
ctl requests | expect_text '^(none)$'
ctl watch --count 1 | expect_text '^e1 '

# A request that runs until its caller goes.
curl -sN -H 'Authorization: Bearer secret' "http://127.0.0.1:$port/v1/completions" \
  -d '{"model":"batch-model","prompt":"hello","max_tokens":200,"stream":true}' >"$work/cut" &
caller=$!
pids+=($caller)
for _ in $(seq 100); do
  ctl requests >"$work/requests"
  grep -q 'up_to_4k.*batch-sheet' "$work/requests" && break
  sleep 0.05
done
expect_text 'up_to_4k.*batch-sheet' <"$work/requests"
read -r running target <<<"$(json 'v[0]["id"], v[0].get("target")' requests)"
[ "$target" = e1 ] || { echo "the request runs on $target"; exit 1; }
kill $caller
for _ in $(seq 100); do
  [ "$(json 'v["result"]' explain "$running")" = running ] || break
  sleep 0.05
done
json 'v["admission"], v["result"], v["attempts"][0]["result"]' explain "$running" | expect_text '^admitted caller_gone given_up$'

call /v1/completions -d '{"model":"batch-model","prompt":"hello","max_tokens":2}' >"$work/answer"
answered=$(request_id <"$work/answer")
ctl explain "$answered" | expect_text '^result  *answered$'
ctl explain "$answered" | expect_text 'predicted_first_token_ms'
json 'v["admission"], v["workload"], [(a["number"], a["target"], a["result"]) for a in v["attempts"]]' explain "$answered" |
  expect_text "^admitted batch-sheet \[(1, 'e1', 'answered')\]\$"

# A request that is refused.
refused=$(call /v1/completions -d '{"model":"no-such-model","prompt":"hello"}' | request_id)
ctl explain "$refused" | expect_text '^admission  *refused$'
json 'v["result"], v["failure"]["code"], v["failure"]["outcome"], v["attempts"]' explain "$refused" |
  expect_text '^failed unknown_model not-run \[\]$'
ctl refusals | expect_text 'unknown_model  *1 '
json '[r["count"] for r in v if r["code"] == "unknown_model"]' refusals | expect_text '\[1\]'

exits 1 ctl explain 0-0
exits 1 ctl explain not-an-id
exits 1 "$bin/acaciaferryctl" status --address 127.0.0.1:1 --token-file "$work/token"
exits 1 "$bin/acaciaferryctl" status --address "$operators" --token-file /dev/null
exits 2 "$bin/acaciaferryctl"
exits 2 "$bin/acaciaferryctl" no-such-command
exits 2 ctl explain
exits 2 ctl status --no-such-option
exits 2 ctl status --output yaml
exits 0 ctl status --help
exits 0 "$bin/acaciaferryctl" --help
echo '[team]' >"$work/faulty.ini"
exits 3 "$bin/acaciaferryctl" questionnaire check "$work/faulty.ini"
exits 1 "$bin/acaciaferryctl" questionnaire check "$work/absent.ini"
exits 0 "$bin/acaciaferryctl" questionnaire check "$root/examples/works/answers.ini"

json 'v["draining"]' drain | expect_text '^True$'
wait "$daemon" || { echo "the daemon ended with $?"; exit 1; }
exits 1 ctl status
echo "acaciaferryctl: every command answered in text and JSON; the drained daemon exited 0"
