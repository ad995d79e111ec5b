#!/usr/bin/env bash
# Guards against a broken path from a caller through a daemon to an engine, and
# against cache events that are not read.
# shellcheck source=test/process/common.sh
source "$(dirname "$0")/common.sh"

start "$work/engine" "$bin/acaciaferry-standin-engine" --address 127.0.0.1:0 --name e1
start_daemon "$(vm_line e1 "$port" engine batch-model)"
until_ready complete ready 1 false

# The answer is a function of the prompt; engine_core_test.cpp has it too.
answer='cacnpemn xxuerdsx yphrkogz omragzex yjlczogs '
reply=$(complete 'What is in vat 3?' 5 true)
grep -q 'Acaciaferry-Outcome: ran' <<<"$reply"
[ "$(stream_text "$reply")" = "$answer" ] || fail "streamed: $reply"
grep -q 'data: \[DONE\]' <<<"$reply"
complete 'What is in vat 3?' 5 false | grep -q "\"text\":\"$answer\""

chat='{"model":"batch-model","messages":[{"role":"user","content":"What is in vat 3?"}],"max_tokens":5}'
call /v1/chat/completions -d "$chat" >"$work/chat"
grep -q '"object":"chat.completion"' "$work/chat"
grep -q '"role":"assistant"' "$work/chat"
[ "$(grep -o '"content":"[a-z ]*"' "$work/chat" | wc -c)" -eq 58 ] || fail "chat: $(cat "$work/chat")"
call /v1/chat/completions -d "${chat%\}},\"stream\":true}" >"$work/chat_stream"
grep -q '"object":"chat.completion.chunk"' "$work/chat_stream"
grep -q 'data: \[DONE\]' "$work/chat_stream"
streamed=$(sed -n 's/.*"content":"\([^"]*\)".*/\1/p' "$work/chat_stream" | tr -d '\n')
grep -q "\"content\":\"$streamed\"" "$work/chat"

# The daemon reads the engine's cache events, too.
operators=$(sed -n 's/.* operators=\([0-9]*\).*/\1/p' "$work/vm1.log" | head -1)
for _ in $(seq 200); do
  polls=$(curl -sS "http://127.0.0.1:$operators/metrics" |
    sed -n 's/^acaciaferry_cache_event_polls_total{verdict="accepted"} //p')
  [ "${polls:-0}" -gt 0 ] && break
  sleep 0.05
done
[ "${polls:-0}" -gt 0 ] || fail "no cache events were accepted"

kill "$daemon_pid"
wait "$daemon_pid"
echo "completion: text and chat, streamed and collected; graceful stop exited 0"
