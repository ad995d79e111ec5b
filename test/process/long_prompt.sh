#!/usr/bin/env bash
# Guards against a prompt of a million tokens that is refused, cut or changed
# on its way: the answer depends on every byte of the prompt.
# shellcheck source=test/process/common.sh
source "$(dirname "$0")/common.sh"

start "$work/engine" "$bin/acaciaferry-standin-engine" --address 127.0.0.1:0 --name e1 \
  --speed 200 --kv-tokens 1100000
engine_port=$port
start_daemon "$(vm_line e1 "$port" engine batch-model)"
until_ready complete ready 1 false

# The answers through the daemon must be those that the engine gives directly.
python3 - "$daemon_port" "$engine_port" <<'PY'
import json, sys, urllib.request

def ask(port, headers, prompt):
    body = json.dumps({"model": "batch-model", "prompt": prompt, "max_tokens": 5}).encode()
    request = urllib.request.Request(f"http://127.0.0.1:{port}/v1/completions", data=body,
                                     headers=headers)
    with urllib.request.urlopen(request, timeout=90) as reply:
        return reply.read().decode()

for tokens in (1_000, 200_000, 1_000_000):
    prompt = ("seed vat " * (tokens * 4 // 9 + 1))[:tokens * 4]
    answer = json.loads(ask(sys.argv[1], {"Authorization": "Bearer secret"}, prompt))
    direct = "".join(json.loads(line[6:]).get("text", "") for line in
                     ask(sys.argv[2], {"Acaciaferry-Stream-Id": str(tokens)}, prompt).splitlines()
                     if line.startswith("data: "))
    if len(direct) != 45 or answer["choices"][0]["text"] != direct:
        sys.exit(f"{tokens} tokens: {answer} instead of {direct}")
PY
echo "long_prompt: prompts up to a million tokens are answered as the engine does"
