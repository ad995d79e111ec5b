#!/usr/bin/env bash
# Guards against latencies and refusals that are missing from /metrics or the
# status page, and against names of workspaces on either.
# shellcheck source=test/process/common.sh
source "$(dirname "$0")/common.sh"

vms=()
start "$work/e1" "$bin/acaciaferry-standin-engine" --address 127.0.0.1:0 --name e1
vms+=("$(vm_line e1 "$port" engine batch-model)")
start_daemon "${vms[@]}"
operators=$(operators_port "$work/vm1.log")
ask() { call /v1/completions -d "{\"model\":\"batch-model\",\"prompt\":\"hello\",\"max_tokens\":2,\"stream\":$1}"; }
for _ in $(seq 100); do
  reply=$(ask true)
  grep -q 'no_live_target\|no_configuration' <<<"$reply" || break
  sleep 0.1
done
expect_text 'Acaciaferry-Outcome: ran' <<<"$reply"
ask false | expect_text 'Acaciaferry-Outcome: ran'
curl -sS "http://127.0.0.1:$port/v1/models" | expect_text '"code":"unauthenticated"'
call /v1/completions -d '{"prompt":' | expect_text '"code":"malformed_request"'

page=$(curl -sS -i "http://127.0.0.1:$operators/")
expect_text 'Content-Type: text/html' <<<"$page"
expect_text '<td>tx-a</td><td class="number">1</td>' <<<"$page"
expect_text '<td>malformed_request</td><td class="number">1</td>' <<<"$page"
metrics=$(curl -sS "http://127.0.0.1:$operators/metrics")
answers=$(sed -n 's/^acaciaferry_answers_total //p' <<<"$metrics")
[ "$answers" -ge 2 ]
for name in first_token last_byte; do
  sed -n "s/^acaciaferry_time_to_${name}_seconds_count{kind=\"completion\",length_class=\"up_to_4k\".*} //p" \
    <<<"$metrics" | awk '{ sum += $1 } END { print sum }' | expect_text "^$answers\$"
done
expect_text 'acaciaferry_refusals_total{code="unauthenticated"} 1' <<<"$metrics"
expect_text 'acaciaferry_refusals_total{code="malformed_request"} 1' <<<"$metrics"
workspaces=$(sed -n 's/^\[workspace\.\(.*\)\]/\1/p' "$root/examples/works/deployment.ini")
[ -n "$workspaces" ] || { echo "the example has no workspaces"; exit 1; }
for workspace in $workspaces; do
  if grep -q "$workspace" <<<"$metrics$page"; then
    echo "the workspace $workspace is named without a token"
    exit 1
  fi
done
echo "metrics: $answers answers measured; refusals before admission counted"
