"""Runs an entry daemon under crowds of callers whose requests take memory and
descriptors, and looks at what the daemon holds. Each kind of crowd has a daemon of
its own."""

import contextlib
import http.client
import itertools
import os
import selectors
import socket
import subprocess
import sys
import threading
import time

from entry_daemon import (BOUND_S, STAMP, Fleet, call, command_of, documents, free_ports,
                          is_ready, make_store, serve, settings_file, wait_for, with_process)
from entry_memory import peak_bytes

MIB = 1 << 20
# Memory of the smallest VM.
VM_BYTES = 160 * MIB
LARGEST_BODY = 4 * MIB
CROWD = 100
# For this long a crowd that has sent everything stays: the kernel's buffers hold a part
# of it that the daemon has not read yet.
HOLD_S = 2
# Each caller of a crowd connects this often when its connection is closed.
CONNECTIONS_EACH = 2
# Open descriptors: those of a daemon without callers, and for each caller its own
# connection and one to a target.
BASE_DESCRIPTORS = 64
MAX_DESCRIPTORS = BASE_DESCRIPTORS + 2 * CROWD
# A setting below the size of the crowd.
DESCRIPTOR_LIMIT = 96
BLOCK = b"x" * 65536
# A large answer has this many blocks: 8 MiB.
LARGE_BLOCKS = 128
ORDINARY = b"b" * 1200


def head(path, more, end=b"\r\n"):
    """Each request has an id of its own."""
    lines = ["POST " + path + " HTTP/1.1", "Host: h.example", "Authorization: Token key1",
             "Acaciaferry-Attempt-Id: c%d" % next(head.ids), "Acaciaferry-Deadline-Ms: 14000"]
    return ("\r\n".join(lines + more) + "\r\n").encode() + end


head.ids = itertools.count()
CHUNKED = ["Transfer-Encoding: chunked"]
CHUNK = b"%x\r\n%s\r\n" % (len(BLOCK), BLOCK)
SMALL_CHUNKS = b"7\r\nxxxxxxx\r\n" * 5000


def length(size):
    return ["Content-Length: %d" % size]


def parts(total, size=len(BLOCK)):
    block = BLOCK[:size]
    for _ in range(total // size):
        yield block
    yield BLOCK[:total % size]


# The pieces that one caller sends; afterwards it holds its connection open.
def announced(_):
    yield head("/once/x", length(LARGEST_BODY))
    yield from parts(LARGEST_BODY - 1)


def announced_in_pieces(_):
    yield head("/once/x", length(LARGEST_BODY))
    yield from parts(LARGEST_BODY - 1, 8192)


def announced_only(_):
    yield head("/once/x", length(LARGEST_BODY)) + b"x"


def large_chunks(_):
    yield head("/once/x", CHUNKED)
    yield from itertools.repeat(CHUNK, LARGEST_BODY // len(BLOCK) - 1)


def small_chunks(_):
    yield head("/once/x", CHUNKED)
    yield from itertools.repeat(SMALL_CHUNKS, 60)


def chunks_over_the_limit(_):
    yield head("/once/x", CHUNKED)
    yield from itertools.repeat(CHUNK, 3 * LARGEST_BODY // len(BLOCK))


def announced_over_the_limit(_):
    yield head("/once/x", length(16 * LARGEST_BODY))
    yield from parts(3 * LARGEST_BODY)


def silent(number):
    """Nothing, half a head, or idle requests behind one that is not answered yet."""
    if number % 3 == 1:
        yield head("/once/x", [], b"Field: half")
    if number % 3 == 2:
        yield head("/once/hold", length(0))
        yield head("/once/x", length(0)) * 1000


def endless_heads(_):
    yield head("/once/x", [], b"Field: ")
    yield from parts(MIB)


def many_fields(_):
    # Within the limit of the head's bytes.
    yield head("/once/hold", length(0), b"a:\r\n" * 1900 + b"\r\n")


def endless_extensions(_):
    yield head("/once/x", CHUNKED) + b"5;"
    yield from parts(MIB)


def extensions_of_small_chunks(_):
    yield head("/once/x", CHUNKED)
    yield from itertools.repeat(b"1;" + BLOCK[:50000] + b"\r\nx\r\n", 60)


def endless_trailers(_):
    yield head("/once/x", CHUNKED) + b"0\r\n"
    yield from itertools.repeat(b"Field: " + b"v" * 60 + b"\r\n", 10000)


def trailers_of_many_fields(_):
    yield head("/once/hold", CHUNKED) + b"0\r\n" + b"a:\r\n" * 15000 + b"\r\n"


def complete(_):
    """Bodies that are read in full, and whose answers don't come yet."""
    yield head("/once/hold", length(LARGEST_BODY))
    yield from parts(LARGEST_BODY)


def idle(_):
    return iter(())


ALL = [announced, announced_in_pieces, announced_only, large_chunks, small_chunks,
       chunks_over_the_limit, announced_over_the_limit, silent, endless_heads, many_fields,
       endless_extensions, extensions_of_small_chunks, endless_trailers,
       trailers_of_many_fields, complete]


def mixed(number):
    return ALL[number % len(ALL)](number)


def unread(number):
    """Large answers that callers don't read, beside bodies of all kinds."""
    if number % 2 == 0:
        return iter([head("/once/large", length(0))])
    return (complete, announced, large_chunks)[number // 2 % 3](number)


unread.reads_nothing = True


class Crowd:
    """Callers that send their pieces in turn, until all have sent theirs or are refused."""

    def __init__(self, port, pieces_of):
        self.address = ("127.0.0.1", port)
        self.pieces_of = pieces_of
        self.reads = not hasattr(pieces_of, "reads_nothing")
        self.selector = selectors.DefaultSelector()
        self.open = set()
        self.stopped = False
        for number in range(CROWD):
            self.connect(number, CONNECTIONS_EACH)
        self.thread = threading.Thread(target=self.run, daemon=True)

    def connect(self, number, left):
        try:
            connection = socket.create_connection(self.address, timeout=BOUND_S)
        except OSError:
            return
        connection.setblocking(False)
        caller = {"pieces": self.pieces_of(number), "rest": memoryview(b""), "number": number,
                  "left": left - 1}
        self.open.add(connection)
        events = selectors.EVENT_WRITE | (selectors.EVENT_READ if self.reads else 0)
        self.selector.register(connection, events, caller)

    def run(self):
        deadline = time.monotonic() + BOUND_S
        while not self.stopped and time.monotonic() < deadline:
            ready = self.selector.select(0.05)
            if not any(key.events & selectors.EVENT_WRITE
                       for key in self.selector.get_map().values()) and not ready:
                return
            for key, events in ready:
                self.serve(key.fileobj, key.data, events)

    def serve(self, connection, caller, events):
        try:
            if events & selectors.EVENT_READ and not connection.recv(65536):
                raise OSError("closed")
            if events & selectors.EVENT_WRITE:
                self.send(connection, caller)
        except BlockingIOError:
            pass
        except OSError:
            if connection in self.selector.get_map():
                self.selector.unregister(connection)
            self.open.remove(connection)
            connection.close()
            if caller["left"] > 0:
                self.connect(caller["number"], caller["left"])

    def send(self, connection, caller):
        if not caller["rest"]:
            piece = next(caller["pieces"], None)
            if piece is None:
                if self.reads:
                    self.selector.modify(connection, selectors.EVENT_READ, caller)
                else:
                    self.selector.unregister(connection)
                return
            caller["rest"] = memoryview(piece)
        sent = connection.send(caller["rest"]) if caller["rest"] else 0
        caller["rest"] = caller["rest"][sent:]

    def close(self):
        self.stopped = True
        self.thread.join()
        for connection in self.open:
            connection.close()


def target(released):
    """Reads requests and answers; those for /once/hold only when they are released."""
    listener = socket.create_server(("127.0.0.1", 0), backlog=512)

    def answer(connection):
        with contextlib.suppress(OSError, KeyError), connection:
            connection.settimeout(BOUND_S)
            data = b""
            while b"\r\n\r\n" not in data:
                more = connection.recv(65536)
                if not more:
                    return
                data += more
            text, body = data.split(b"\r\n\r\n", 1)
            lines = text.decode().split("\r\n")
            fields = dict(line.lower().split(":", 1) for line in lines[1:])
            left = int(fields["content-length"]) - len(body)
            read = len(body)
            while left > 0:
                more = connection.recv(65536)
                if not more:
                    return
                left -= len(more)
                read += len(more)
            if "/hold" in lines[0]:
                released.wait(BOUND_S)
            answered = BLOCK * LARGE_BLOCKS if "/large" in lines[0] else b"read %d" % read
            connection.sendall(
                ("HTTP/1.1 200 OK\r\nAcaciaferry-Attempt-Id: %s\r\n%s: s1\r\n"
                 "Content-Length: %d\r\n\r\n" % (
                     fields["acaciaferry-attempt-id"].strip(), STAMP, len(answered))
                 ).encode() + answered)
            connection.recv(1)

    def accept():
        while True:
            connection, _ = listener.accept()
            threading.Thread(target=answer, args=(connection,), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()
    return "127.0.0.1:%d" % listener.getsockname()[1]


def descriptors(pid):
    return len(os.listdir("/proc/%d/fd" % pid))


def answer_to(callers, body, label):
    try:
        return call(callers, "/once/x", body=body, label=label)[:2]
    except (OSError, http.client.HTTPException):
        return None


def answered_chunks(callers):
    connection = http.client.HTTPConnection("127.0.0.1", callers, timeout=BOUND_S)
    try:
        connection.request("POST", "/once/x", parts(LARGEST_BODY), {
            "Host": "h.example", "Acaciaferry-Attempt-Id": "chunked",
            "Authorization": "Token key1", "Acaciaferry-Deadline-Ms": "14000"},
            encode_chunked=True)
        answer = connection.getresponse()
        return answer.status, answer.read()
    except (OSError, http.client.HTTPException):
        return None


class Checks:
    """All checks of a kind are made, so that a run shows every one that fails."""

    def __init__(self):
        self.failed = []

    def check(self, condition, what):
        if not condition and what not in self.failed:
            self.failed.append(what)


def is_answered(callers, label):
    """An ordinary request may be refused at first and is then repeated."""
    deadline = time.monotonic() + BOUND_S
    for number in itertools.count():
        if answer_to(callers, ORDINARY, "%s-%d" % (label, number)) == (200, b"read 1200"):
            return True
        if time.monotonic() > deadline:
            return False
        time.sleep(0.1)


def limit_checks(checks, daemon, most_descriptors, name, peak, most_open):
    checks.check(daemon.poll() is None, name + ": the process lives")
    checks.check(peak <= VM_BYTES,
                 "%s: peak memory is %.0f MB, %d are allowed" % (
                     name, peak / MIB, VM_BYTES // MIB))
    checks.check(most_open <= most_descriptors,
                 "%s: %d descriptors are open, %d are allowed" % (
                     name, most_open, most_descriptors))


# Guards against a process that runs out of memory or descriptors, or that serves no
# others, while callers hold what it has to keep for them.
def crowd_scenario(name, pieces_of, port_of, most_descriptors, released, checks, daemon, ports):
    callers, ready = ports[:2]
    wait_for(lambda: is_ready(ready), "readiness")
    most_open = 0
    crowd = Crowd(ports[port_of], pieces_of)
    crowd.thread.start()
    probes = 0
    hold_until = None
    while daemon.poll() is None and (hold_until is None or time.monotonic() < hold_until):
        if hold_until is None and not crowd.thread.is_alive():
            hold_until = time.monotonic() + HOLD_S
        checks.check(is_ready(ready), name + ": readiness answers while the crowd is there")
        most_open = max(most_open, descriptors(daemon.pid))
        probes += 1
        time.sleep(0.05)
    checks.check(is_answered(callers, "during"),
                 name + ": an ordinary request is answered while the crowd is there")
    most_open = max(most_open, descriptors(daemon.pid))
    crowd.close()
    released.set()
    checks.check(is_answered(callers, "after"), name + ": an ordinary request is answered afterwards")
    checks.check(is_ready(ready), name + ": readiness answers afterwards")
    peak = peak_bytes(daemon.pid)
    print("%s: peak %.0f MB, %d descriptors, %d probes" % (name, peak / MIB, most_open, probes),
          flush=True)
    limit_checks(checks, daemon, most_descriptors, name, peak, most_open)


# Guards against limits that refuse a request of the largest size in calm.
def calm_scenario(checks, daemon, ports):
    callers, ready = ports[:2]
    wait_for(lambda: is_ready(ready), "readiness")
    largest = b"x" * LARGEST_BODY
    expected = (200, b"read %d" % LARGEST_BODY)
    for number in range(3):
        answer = answer_to(callers, largest, "l%d" % number)
        checks.check(answer == expected, "calm: the largest body is served: %s" % (answer,))
    answer = answered_chunks(callers)
    checks.check(answer == expected, "calm: the largest body in chunks is served: %s" % (answer,))
    peak = peak_bytes(daemon.pid)
    print("calm: peak %.0f MB" % (peak / MIB), flush=True)
    limit_checks(checks, daemon, MAX_DESCRIPTORS, "calm", peak, descriptors(daemon.pid))


def run_daemon(checks, scenario, more_settings=""):
    released = threading.Event()
    published = documents([target(released) for _ in range(2)])
    published["op/config"]["limits"]["max_body_bytes"] = LARGEST_BODY
    for key, value in published.items():
        if key.startswith("servers/"):
            value["slots"] = 4 * CROWD
    server, store = serve(make_store(published))
    ports = tuple(free_ports(4))
    with settings_file("127.0.0.1", ports, store) as file:
        file.write(more_settings)
        file.flush()
        try:
            with_process(subprocess.Popen(command_of(file), stdout=subprocess.DEVNULL), Fleet(),
                         lambda daemon: scenario(released, daemon, ports))
        except AssertionError as error:
            checks.check(False, str(error))
    released.set()
    server.shutdown()


CALLERS, READINESS, CONTROL, TUNNELS = range(4)
GROUPS = {
    "bodies": [(announced, CALLERS), (announced_in_pieces, CALLERS), (announced_only, CALLERS),
               (large_chunks, CALLERS), (small_chunks, CALLERS),
               (chunks_over_the_limit, CALLERS), (announced_over_the_limit, CALLERS),
               (complete, CALLERS)],
    "heads": [(silent, CALLERS), (endless_heads, CALLERS), (many_fields, CALLERS),
              (endless_extensions, CALLERS), (extensions_of_small_chunks, CALLERS),
              (endless_trailers, CALLERS), (trailers_of_many_fields, CALLERS)],
    "others": [(mixed, CALLERS), (unread, CALLERS), (announced, CONTROL), (mixed, CONTROL), (announced, READINESS),
               (mixed, READINESS), (mixed, TUNNELS)],
}


def main():
    checks = Checks()
    names = ["callers", "readiness", "control", "tunnels"]
    group = sys.argv[2]
    for pieces_of, port_of in GROUPS[group]:
        name = "%s at %s" % (pieces_of.__name__, names[port_of])
        run_daemon(checks, lambda released, daemon, ports: crowd_scenario(
            name, pieces_of, port_of, MAX_DESCRIPTORS, released, checks, daemon, ports))
    if group == "others":
        # Guards against a process that accepts nobody since idle connections have
        # taken all descriptors.
        run_daemon(checks, lambda released, daemon, ports: crowd_scenario(
            "limited descriptors", idle, CALLERS, DESCRIPTOR_LIMIT, released, checks, daemon,
            ports), "[descriptors]\nlimit = %d\n" % DESCRIPTOR_LIMIT)
    if group == "bodies":
        run_daemon(checks, lambda released, daemon, ports: calm_scenario(checks, daemon, ports))
    for failed in checks.failed:
        print("FAILED: " + failed)
    sys.exit(1 if checks.failed else 0)


if __name__ == "__main__":
    main()
