#!/usr/bin/env bash
# Guards against a revision that does not reach every VM, against an invalid
# document that replaces a valid one, and against a VM that needs the platform
# to start although its peers have the configuration.
# shellcheck source=test/process/common.sh
source "$(dirname "$0")/common.sh"

# Prints a value that a program reported, or fails.
await_report() {
  local log=$1 name=$2 value
  for _ in $(seq 400); do
    value=$(sed -n "s/.*[ ^]\?$name=\([0-9.:]*\).*/\1/p" "$log" 2>/dev/null | head -1)
    if [ -n "$value" ]; then
      echo "$value"
      return 0
    fi
    sleep 0.05
  done
  cat "$log" >&2
  return 1
}

# Publishes a document under a revision; the rename makes the change atomic.
publish() {
  python3 - "$1" "$2" "$work/configuration.json" <<'PY'
import json, os, sys
revision, document, path = sys.argv[1:]
with open(path + ".new", "w") as out:
    json.dump({"revision": int(revision), "document": open(document).read()}, out)
os.rename(path + ".new", path)
PY
}

metric() { curl -sS "http://$1/metrics" | sed -n "s/^$2 //p"; }

# Waits until a metric has a value on all VMs.
await_metric() {
  local name=$1 expected=$2 address
  for address in "${operators[@]}"; do
    for _ in $(seq 400); do
      [ "$(metric "$address" "$name")" = "$expected" ] && continue 2
      sleep 0.05
    done
    echo "$address: $name is $(metric "$address" "$name"), not $expected" >&2
    return 1
  done
}

echo '{"vms": []}' >"$work/vms.json"
echo 'a key for the process test' >"$work/key"
publish 5 "$root/examples/works/deployment.ini"
"$bin/acaciaferry-standin-platform" --address 127.0.0.1:0 --vms "$work/vms.json" \
  --configuration "$work/configuration.json" >"$work/platform" 2>&1 &
pids+=($!)
platform=127.0.0.1:$(await_report "$work/platform" port)

operators=()
entries=()
for i in 0 1 2 3; do
  cat >"$work/vm$i.ini" <<INI
[vm]
name = vm$i
failure_domain = tx-$([ "$i" -lt 3 ] && echo a || echo b)
region = central-tx
drain_grace_ms = 100
[callers]
address = 127.0.0.1:0
[operators]
address = 127.0.0.1:0
[peers]
address = 127.0.0.1:0
key_file = $work/key
[platform]
vm_list = $platform
configuration_service = $platform
INI
  "$bin/acaciaferryd" --config "$work/vm$i.ini" >"$work/vm$i.log" 2>&1 &
  pids+=($!)
  address=$(await_report "$work/vm$i.log" peers)
  operators+=("127.0.0.1:$(await_report "$work/vm$i.log" operators)")
  domain=tx-$([ "$i" -lt 3 ] && echo a || echo b)
  entries+=("{\"name\": \"vm$i\", \"address\": \"$address\", \"failure_domain\": \"$domain\", \"role\": \"entry\"}")
done
(
  IFS=,
  echo "{\"vms\": [${entries[*]}]}" >"$work/vms.new"
)
mv "$work/vms.new" "$work/vms.json"

revision=acaciaferry_configuration_revision
await_metric $revision 5
for address in "${operators[@]}"; do
  [ "$(curl -sS "http://$address/readyz")" = ready ]
done
sed 's/^short_requests.*/short_requests = 4/' "$root/examples/works/answers.ini" >"$work/answers.ini"
"$bin/acaciaferryctl" questionnaire generate "$work/answers.ini" >"$work/six.ini"
publish 6 "$work/six.ini"
await_metric $revision 6

reads=()
for address in "${operators[@]}"; do
  reads+=("$(metric "$address" acaciaferry_configuration_reads_total)")
done
echo "reads of the service by VM: ${reads[*]}"

# A setting that was edited by hand does not follow from the answers.
sed 's/^short_weight.*/short_weight = 5/' "$work/six.ini" >"$work/bad.ini"
publish 7 "$work/bad.ini"
for _ in $(seq 400); do
  refused=$(metric "${operators[3]}" 'acaciaferry_configuration_documents_total{verdict="invalid"}')
  [ "$refused" -gt 0 ] && break
  sleep 0.05
done
[ "$refused" -gt 0 ]
grep -q 'event=configuration_fault revision=7' "$work/vm3.log"
await_metric $revision 6
publish 8 "$root/examples/works/deployment.ini"
await_metric $revision 8

# A process that starts while the platform is down learns from its peers.
kill "${pids[0]}" "${pids[3]}"
wait "${pids[3]}" || { echo "vm2 did not stop with 0" >&2; exit 1; }
wait "${pids[0]}"
peers=$(await_report "$work/vm2.log" peers)
sed -i "/^\[peers\]/,/^\[/s/^address = .*/address = $peers/" "$work/vm2.ini"
# A connection may have taken the port for a moment, so binding is tried again.
for _ in $(seq 20); do
  : >"$work/vm2.log"
  "$bin/acaciaferryd" --config "$work/vm2.ini" >"$work/vm2.log" 2>&1 &
  pids[3]=$!
  until grep -q 'event=started\|cannot listen' "$work/vm2.log"; do sleep 0.05; done
  grep -q 'event=started' "$work/vm2.log" && break
  wait "${pids[3]}" || sleep 0.5
done
operators[2]=127.0.0.1:$(await_report "$work/vm2.log" operators)
await_metric $revision 8
echo "configuration: 4 VMs followed revisions 5, 6 and 8; 7 was refused;" \
  "a VM that started without the platform took 8 from its peers"
