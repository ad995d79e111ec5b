#!/usr/bin/env bash
# Guards against a cut or mixed answer when an engine is killed in the middle
# of a stream, and against a request that takes down engine after engine.
# shellcheck source=test/process/common.sh
source "$(dirname "$0")/common.sh"

lines=()
declare -A engine_port engine_pid
for name in e1 e2 e3 e4 e5; do
  start "$work/$name" "$bin/acaciaferry-standin-engine" --address 127.0.0.1:0 --name $name --token-ms 100
  engine_port[$name]=$port
  engine_pid[$name]=$pid
  lines+=("$(vm_line $name "$port" engine batch-model)")
done
start_daemon "${lines[@]}"
ask() {
  call /v1/completions -d "{\"model\":\"batch-model\",\"prompt\":\"$1\",\"max_tokens\":$2,\"stream\":true}"
}
for _ in $(seq 100); do
  ask hello 1 | grep -q 'Outcome: ran' && break
  sleep 0.1
done

# Kills the engine that runs a request.
kill_running_engine() {
  for _ in $(seq 200); do
    for name in "${!engine_port[@]}"; do
      if curl -s "http://127.0.0.1:${engine_port[$name]}/v1/load" | grep -q '"running":1'; then
        kill -9 "${engine_pid[$name]}"
        unset "engine_port[$name]"
        return
      fi
    done
    sleep 0.05
  done
  echo "no engine runs the request"
  exit 1
}

# Waits until a file has the text.
wait_for() {
  for _ in $(seq 200); do
    grep -q "$2" "$1" && return
    sleep 0.05
  done
  echo "no $2 in: $(cat "$1")"
  exit 1
}

# The text of a streamed answer, which depends on the prompt only.
text_of() { sed -n 's/.*"text":"\([^"]*\)".*/\1/p' | tr -d '\n'; }
expected=$(ask failover 20 | text_of)
ask failover 20 >"$work/answer" &
request=$!
wait_for "$work/answer" "\"text\":\"${expected%% *} \""
kill_running_engine
wait $request
words=$(text_of <"$work/answer")
[ -n "$expected" ] && [ "$words" = "$expected" ] || { echo "mixed answer: $words"; exit 1; }
grep -q 'data: \[DONE\]' "$work/answer"

# A prompt whose engine dies each time.
ask crash 200 >"$work/crash" &
request=$!
kills=0
until grep -q '"code"' "$work/crash"; do
  kill_running_engine
  kills=$((kills + 1))
  [ $kills -le 3 ] || { echo "the request took down $kills engines"; exit 1; }
  sleep 0.5
done
wait $request
expect_text '"code":"quarantined".*"outcome":"unknown"' <"$work/crash"
ask crash 200 | expect_text 'Acaciaferry-Outcome: not-run'
ask crash 200 | expect_text 'Retry-After: '
ask other 1 | expect_text 'Acaciaferry-Outcome: ran'
echo "failover: the stream went on exactly; quarantined after $kills engines"
