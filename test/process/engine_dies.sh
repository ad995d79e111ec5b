#!/usr/bin/env bash
# Guards against cut or mixed answers when an engine dies while it streams,
# and against a request that hangs when no engine is left.
# shellcheck source=test/process/common.sh
source "$(dirname "$0")/common.sh"

lines=()
engine_ports=()
for i in 1 2; do
  start "$work/engine$i" "$bin/acaciaferry-standin-engine" --address 127.0.0.1:0 --name "e$i" --token-ms 20
  lines+=("$(vm_line "e$i" "$port" engine batch-model)")
  engine_ports+=("$port")
done
start_daemon "${lines[@]}"
until_ready complete ready 1 false

# The same prompt without a fault.
expected=$(stream_text "$(complete 'a long story' 100 true)")
[ "${#expected}" -eq 900 ] || fail "expected answer has ${#expected} bytes"

complete 'a long story' 100 true >"$work/cut" &
caller=$!
# Waits for the first tokens, then kills the engine that sends them.
for _ in $(seq 400); do
  grep -q '"text":"[a-z]' "$work/cut" && break
  sleep 0.01
done
victim=
for i in 0 1; do
  accepted=$(curl -sS "http://127.0.0.1:${engine_ports[$i]}/v1/load")
  grep -q '"running":1' <<<"$accepted" && victim=$i
done
[ -n "$victim" ] || fail "no engine runs the stream"
control "${engine_ports[$victim]}" die >/dev/null 2>&1 || true
wait "$caller"
reply=$(cat "$work/cut")
# The answer is whole, or ends with an error after a true beginning: the retry
# budget may refuse another attempt.
text=$(stream_text "$reply")
if grep -q 'data: \[DONE\]' "$work/cut"; then
  [ "$text" = "$expected" ] || fail "the answer was cut or mixed: $text"
else
  grep -q 'event: error' "$work/cut" || fail "no end: $(tail -c 300 "$work/cut")"
  [ -n "$text" ] && [ "${expected#"$text"}" != "$expected" ] || fail "mixed: $text"
fi
# A new request is answered by the engine that is left.
[ "$(stream_text "$(complete 'a long story' 100 true)")" = "$expected" ] || fail "no answer from the engine that is left"

# The last engine dies: the caller gets an error, never a short success.
complete 'another story' 100 true >"$work/lost" &
caller=$!
for _ in $(seq 400); do
  grep -q '"text":"[a-z]' "$work/lost" && break
  sleep 0.01
done
control "${engine_ports[$((1 - victim))]}" die >/dev/null 2>&1 || true
wait "$caller"
grep -q 'event: error' "$work/lost" || fail "no error: $(tail -c 300 "$work/lost")"
if grep -q 'data: \[DONE\]' "$work/lost"; then fail "a cut answer was told complete"; fi
echo "engine_dies: no answer is cut or mixed; the other engine serves; without engines the stream ends with an error"
