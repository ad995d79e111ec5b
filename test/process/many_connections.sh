#!/usr/bin/env bash
# Guards against thread or queue limits that stall the daemon when hundreds of
# callers stream at once or keep idle connections open.
# shellcheck source=test/process/common.sh
source "$(dirname "$0")/common.sh"

lines=()
for i in 1 2; do
  start "$work/engine$i" "$bin/acaciaferry-standin-engine" --address 127.0.0.1:0 --name "e$i" \
    --speed 20 --max-running 512 --max-waiting 512
  lines+=("$(vm_line "e$i" "$port" engine batch-model)")
done
# The example's queues are shorter than this test's burst, and a full queue
# rightly refuses.
DEPLOYMENT_FILE=$work/deployment.ini
sed 's/^queue_limit = .*/queue_limit = 1000/' "$root/examples/works/deployment.ini" >"$DEPLOYMENT_FILE"
start_daemon "${lines[@]}"
until_ready complete ready 1 false

python3 - "$daemon_port" <<'PY'
import json, socket, sys, threading

PORT, CALLERS, IDLE, TOKENS = int(sys.argv[1]), 400, 200, 20
HEAD = ("POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer secret\r\n"
        "Connection: close\r\nContent-Length: {}\r\n\r\n")
idle = [socket.create_connection(("127.0.0.1", PORT), timeout=90) for _ in range(IDLE)]
bad = []
# All callers hold their connections open together before any body is complete.
barrier = threading.Barrier(CALLERS)

def call(number):
    body = json.dumps({"model": "batch-model", "prompt": f"caller {number}",
                       "max_tokens": TOKENS, "stream": True})
    request = (HEAD.format(len(body)) + body).encode()
    with socket.create_connection(("127.0.0.1", PORT), timeout=90) as link:
        link.sendall(request[:-1])
        barrier.wait(60)
        link.sendall(request[-1:])
        reply = b""
        while part := link.recv(65536):
            reply += part
    text = "".join(json.loads(line[6:])["choices"][0]["text"]
                   for line in reply.decode().splitlines()
                   if line.startswith("data: {") and "choices" in line)
    if len(text) != 9 * TOKENS or b"data: [DONE]" not in reply:
        bad.append((number, reply[-300:]))

threads = [threading.Thread(target=call, args=(n,)) for n in range(CALLERS)]
for thread in threads:
    thread.start()
for thread in threads:
    thread.join()
if bad or threading.active_count() > 1:
    sys.exit(f"{len(bad)} of {CALLERS} answers were not whole; the first: {bad[:1]}")
PY
echo "many_connections: 400 callers at once got whole answers beside 200 idle connections"
