"""Runs an entry daemon before targets that send bytes without end, many at a time,
while callers read slowly, and looks at the daemon's memory."""

import http.client
import subprocess
import threading
import time

from entry_daemon import (Fleet, call, check, command_of, documents, free_ports, is_ready,
                          make_store, serve, settings_file, wait_for, with_process)
from raw_target import head_of, raw_target

# Memory of the smallest VM. Instrumented programs need several times as much.
VM_BYTES = 160 << 20
AT_ONCE = 12
# The largest answer that a call may have, and one that many callers may have at once.
LARGEST = 16 << 20
LARGE = 8 << 20
# Each endless answer of the stand-in ends after this.
ENDLESS_BYTES = 48 << 20
BLOCK = b"x" * 65536


CHUNKED = ["Transfer-Encoding: chunked"]
CHUNK = b"%x\r\n%s\r\n" % (len(BLOCK), BLOCK)


def parts_of(request):
    """The bytes that come once, and those that come again and again."""
    kind = request.name.split("-")[0]
    if kind == "garbage":
        return b"", BLOCK
    if kind == "head":
        return head_of(request), b"Field: " + b"v" * 60 + b"\r\n"
    if kind == "fields":
        return head_of(request), b"a:\r\n" * 1000
    if kind == "body":
        return head_of(request, fields=CHUNKED) + b"\r\n", CHUNK
    if kind == "open":
        return head_of(request, fields=["Connection: close"]) + b"\r\n", BLOCK
    if kind == "extension":
        return head_of(request, fields=CHUNKED) + b"\r\n5;", BLOCK
    if kind == "trailer":
        return head_of(request, fields=CHUNKED) + b"\r\n0\r\n", b"Field: " + b"v" * 60 + b"\r\n"
    if kind == "skipped":
        return b"", head_of(request, fields=CHUNKED, attempt="other") + b"\r\n" + CHUNK + b"0\r\n\r\n"
    if kind == "event":
        return head_of(request, fields=CHUNKED + ["Content-Type: text/event-stream"]) + b"\r\n", CHUNK
    sizes = {"largest": LARGEST, "large": LARGE, "small": 10}
    size = sizes[kind]
    return head_of(request, fields=["Content-Length: %d" % size]) + b"\r\n" + b"y" * size, b""


ENDLESS = ["garbage", "head", "fields", "body", "open", "extension", "trailer", "skipped", "event"]


def answer(connection, request, _):
    once, again = parts_of(request)
    connection.sendall(once)
    sent = 0
    while again and sent < ENDLESS_BYTES:
        connection.sendall(again)
        sent += len(again)
    if not again:
        connection.recv(1)


def peak_bytes(pid):
    with open("/proc/%d/status" % pid, encoding="ascii") as status:
        for line in status:
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) * 1024
    raise AssertionError("the daemon's memory is not known")


def status_of(callers, path, label):
    try:
        return call(callers, path, label=label)[0]
    except (OSError, http.client.HTTPException):
        return None


def scenario(daemon, callers, ready):
    wait_for(lambda: is_ready(ready), "readiness")
    check(call(callers, "/once/largest", label="first")[1] == b"y" * LARGEST,
          "the largest answer passes")

    # Guards against a VM that runs out of memory, and takes the requests of others
    # with it, since many answers never end.
    ends = {}

    def send(path, label):
        ends[label] = status_of(callers, path, label)

    threads = [threading.Thread(target=send, args=(
        ("/stream/" if kind == "event" else "/once/") + "%s-%d" % (kind, number),
        "%s-%d" % (kind, number))) for kind in ENDLESS for number in range(AT_ONCE)]
    for thread in threads:
        thread.start()
    others = 0
    while any(thread.is_alive() for thread in threads):
        check(call(callers, "/once/small", label="o%d" % others)[0] == 200, "others are served")
        others += 1
        time.sleep(0.02)
    check(others > 0, "others were served meanwhile")
    check(200 not in [ends["%s-%d" % (kind, 0)] for kind in ENDLESS if kind != "event"],
          "no endless answer is a success: %s" % ends)

    # The same of answers that callers don't read.
    slow = [call(callers, "/once/large-%d" % number, label="l%d" % number, read=False)
            for number in range(AT_ONCE)]
    check(call(callers, "/once/small", label="last")[0] == 200, "others are served")
    for _, connection, _ in slow:
        connection.close()

    check(call(callers, "/once/largest", label="again")[1] == b"y" * LARGEST,
          "the largest answer passes afterwards")
    check(daemon.poll() is None, "the daemon runs")
    peak = peak_bytes(daemon.pid)
    print("peak: %.0f MB, %d other calls" % (peak / (1 << 20), others))
    check(peak < VM_BYTES, "memory stays below that of the smallest VM: %d" % peak)


def main():
    targets = [raw_target(answer) for _ in range(2)]
    _, store = serve(make_store(documents(targets)))
    ports = tuple(free_ports(4))
    with settings_file("127.0.0.1", ports, store) as file:
        with_process(subprocess.Popen(command_of(file), stdout=subprocess.DEVNULL), Fleet(),
                     lambda daemon: scenario(daemon, *ports[:2]))


if __name__ == "__main__":
    main()
