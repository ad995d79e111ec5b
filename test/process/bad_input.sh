#!/usr/bin/env bash
# Guards against half-sent, oversized, malformed and slow input that gets no
# clear 4xx or disturbs another caller.
# shellcheck source=test/process/common.sh
source "$(dirname "$0")/common.sh"

start "$work/engine" "$bin/acaciaferry-standin-engine" --address 127.0.0.1:0 --name e1 --token-ms 10
DAEMON_CALLERS=$'max_body_bytes = 100000\nbody_timeout_ms = 500'
start_daemon "$(vm_line e1 "$port" engine batch-model)"
until_ready complete ready 1 false

# Another caller reads a long answer all the while.
complete 'undisturbed' 300 true >"$work/other" &
other=$!

expect() {
  local want=$1 name=$2 got
  got=$(status_of "$3")
  [ "$got" = "$want" ] || fail "$name: expected $want, got: $3"
  grep -q 'Acaciaferry-Outcome: not-run' <<<"$3" || fail "$name: no outcome: $3"
}

# Sends raw bytes, optionally closes the sending side, prints the reply.
raw() {
  python3 - "$daemon_port" "$@" <<'PY'
import select, socket, sys
port, end, text = int(sys.argv[1]), sys.argv[2], sys.argv[3]
with socket.create_connection(("127.0.0.1", port), timeout=60) as link:
    link.sendall(text.encode().decode("unicode_escape").encode("latin-1"))
    if end == "half-close":
        link.shutdown(socket.SHUT_WR)
    if end == "drip":
        # Keeps each receive short and the whole body slow.
        try:
            for _ in range(200):
                link.sendall(b"a")
                if select.select([link], [], [], 0.1)[0]:
                    break
            else:
                sys.exit("no reply while the body was sent byte by byte")
        except OSError:
            pass
    reply = b""
    while part := link.recv(65536):
        reply += part
sys.stdout.write(reply.decode("latin-1").replace("\r", ""))
PY
}

expect 400 'not JSON' "$(call /v1/completions -d 'not json')"
expect 400 'no prompt' "$(call /v1/completions -d '{"model":"batch-model"}')"
expect 400 'wrong type' "$(call /v1/completions -d '{"model":"batch-model","prompt":7}')"
expect 400 'negative tokens' "$(call /v1/completions -d '{"model":"batch-model","prompt":"a","max_tokens":-1}')"
expect 400 'bad timeout' "$(call /v1/completions -H 'Request-Timeout-Ms: soon' -d '{"model":"batch-model","prompt":"a"}')"
expect 404 'unknown model' "$(call /v1/completions -d '{"model":"none","prompt":"a"}')"
expect 401 'no token' "$(curl -sS -i "http://127.0.0.1:$daemon_port/v1/models")"
head -c 200000 /dev/zero | tr '\0' 'a' >"$work/large"
expect 413 'oversized' "$(call /v1/completions --data-binary "@$work/large")"
expect 413 'oversized, chunked' "$(call /v1/completions -H 'Transfer-Encoding: chunked' --data-binary "@$work/large")"
head='POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer secret\r\nContent-Length: 1000\r\n\r\n{\"model\"'
expect 400 'half-sent' "$(raw half-close "$head")"
expect 408 'slow' "$(raw keep "$head")"
expect 408 'byte by byte' "$(raw drip "$head")"
expect 400 'negative length' "$(raw half-close 'POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer secret\r\nContent-Length: -5\r\n\r\n{}')"
reply=$(raw half-close 'nonsense\r\n\r\n')
[ "$(status_of "$reply")" = 400 ] || fail "not HTTP: $reply"

wait "$other"
text=$(stream_text "$(cat "$work/other")")
[ "${#text}" -eq 2700 ] || fail "another caller got ${#text} bytes of 2700"
grep -q 'data: \[DONE\]' "$work/other"
echo "bad_input: every bad request got its 4xx; another caller's answer was whole"
