#!/usr/bin/env bash
# Guards against service calls whose answer, path or journal is wrong, and
# against a non-idempotent call that runs again after its reply was lost.
# shellcheck source=test/process/common.sh
source "$(dirname "$0")/common.sh"

start "$work/service" "$bin/acaciaferry-standin-service" --address 127.0.0.1:0 --name k1 --work-ms 1
service_port=$port
start_daemon "$(vm_line k1 "$service_port" service kiosk)"
until_ready call /v1/services/kiosk/stock?call=ready

executions() {
  curl -sS "http://127.0.0.1:$service_port/control/journal" |
    grep -o "call=$1\"" | wc -l
}

reply=$(call '/v1/services/kiosk/stock?call=read')
grep -q 'Acaciaferry-Outcome: ran' <<<"$reply"
grep -q '"path":"/stock?call=read"' <<<"$reply"
[ "$(executions read)" -eq 1 ]

reply=$(call '/v1/services/kiosk/vat-release?call=release' -d '{"vat":3}')
grep -q 'Acaciaferry-Outcome: ran' <<<"$reply"
[ "$(executions release)" -eq 1 ]

control "$service_port" lose-reply '{"calls":1}' >/dev/null
reply=$(call '/v1/services/kiosk/vat-release?call=lost' -d '{"vat":4}')
grep -q 'Acaciaferry-Outcome: unknown' <<<"$reply" || fail "lost reply: $reply"
[ "$(executions lost)" -eq 1 ]

control "$service_port" reject '{"on":true}' >/dev/null
reply=$(call '/v1/services/kiosk/vat-release?call=rejected' -d '{"vat":5}')
grep -q 'Acaciaferry-Outcome: not-run' <<<"$reply" || fail "rejected: $reply"
[ "$(executions rejected)" -eq 0 ]
echo "service_call: answered once; a lost reply is unknown and runs once; a rejected call is not-run"
