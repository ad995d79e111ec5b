"""Runs three entry daemons before targets that crash, because of a request or for
reasons of their own, and targets that only lose answers."""

import contextlib
import socket
import struct
import sys
import threading
import time
from http.server import ThreadingHTTPServer

from entry_daemon import (STAMP, Changes, Handler, call, check, documents, is_ready, make_store,
                          serve, wait_for, with_daemons)

IPS = ["127.0.0.1", "127.0.0.2", "127.0.0.3"]
TARGETS = 6
EVENTS = 8
EVENT_S = 0.02
# The users' bounds: contact_ms, and the targets that a request may crash later
# than that after its third.
CONTACT_S = 3.0
LATE_ALLOWED = 3
# Of a culprit that comes again and again.
COMES_AGAIN_S = 0.6
COMES_FOR_S = 9.0
# Of targets that crash for reasons of their own.
OWN_CRASHES = 6
OWN_CRASH_S = 0.8


class Server(ThreadingHTTPServer):
    """A target whose process can end: its connections are reset."""

    daemon_threads = True

    def __init__(self, handler):
        super().__init__(("127.0.0.1", 0), handler)
        self.lock = threading.Lock()
        self.open = set()
        self.down = False

    def process_request(self, request, client_address):
        with self.lock:
            self.open.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request):
        with self.lock:
            self.open.discard(request)
        super().shutdown_request(request)

    def handle_error(self, request, client_address):
        if not isinstance(sys.exc_info()[1], OSError):
            super().handle_error(request, client_address)

    def reset(self, connection):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        connection.shutdown(socket.SHUT_RD)

    def crash(self):
        with self.lock:
            if self.down:
                return False
            self.down = True
            self.socket.close()
            for connection in self.open:
                with contextlib.suppress(OSError):
                    self.reset(connection)
        threading.Thread(target=self.shutdown, daemon=True).start()
        return True


class Pool:
    """Targets of one service; each that crashes is replaced by a new one."""

    def __init__(self):
        self.servers = [self.start() for _ in range(TARGETS)]
        self.keys = ["servers/i-%d" % number for number in range(TARGETS)]
        self.changes = Changes()
        self.made = 0
        self.crashes = []
        self.lose_answers = False
        self.lost = 0

    def start(self):
        server = Server(make_target(self))
        threading.Thread(target=server.serve_forever, args=(0.05,), daemon=True).start()
        return server

    def addresses(self):
        return ["127.0.0.1:%d" % each.server_address[1] for each in self.servers]

    def crash(self, server):
        if not server.crash():
            return
        self.crashes.append(time.monotonic())
        self.made += 1
        place = self.servers.index(server)
        self.servers[place] = self.start()
        entry = documents(self.addresses())["servers/i-%d" % place]
        # The entries of those that have gone are removed at once, which takes
        # three heartbeats on the platform.
        gone, self.keys[place] = self.keys[place], "servers/new-%d" % self.made
        self.changes.publish([(self.keys[place], entry)])
        self.changes.events = self.changes.events + [
            {"key": gone, "revision": self.changes.events[-1]["revision"] + 1, "removed": True}]


def make_target(pool):
    class Target(Handler):
        def do_POST(self):
            self.rfile.read(int(self.headers.get("Content-Length", 0)))
            if pool.lose_answers and "lost" in self.path:
                pool.lost += 1
                self.server.reset(self.connection)
                self.close_connection = True
                return
            self.send_response(200)
            self.send_header(STAMP, "s1")
            self.send_header("Acaciaferry-Attempt-Id", self.headers["Acaciaferry-Attempt-Id"])
            self.send_header("Content-Type", "text/event-stream")
            self.send_header("Transfer-Encoding", "chunked")
            self.end_headers()
            start = int(self.headers.get("Last-Event-Id", 0))
            for event in range(start + 1, EVENTS + 1):
                time.sleep(EVENT_S)
                if "culprit" in self.path and event > start + 1:
                    pool.crash(self.server)
                if self.server.down:
                    raise ConnectionResetError
                data = b"id: %d\ndata: x\n\n" % event
                self.wfile.write(b"%x\r\n%s\r\n" % (len(data), data))
                self.wfile.flush()
            self.wfile.write(b"0\r\n\r\n")

    return Target


WHOLE = b"".join(b"id: %d\ndata: x\n\n" % event for event in range(1, EVENTS + 1))


def send(callers, path, number):
    """Returns the status of one request, or None if it was broken off."""
    try:
        status, body, _ = call(callers, path, label="%s-%d" % (path, number),
                               ip=IPS[number % len(IPS)])
    except OSError:
        return None
    except Exception as error:  # http.client has several for a stream that breaks off.
        if type(error).__module__ != "http.client":
            raise
        return None
    return None if status == 200 and body != WHOLE else status


def stream_all(callers, path, until):
    """Sends equal streams until told to stop, several at a time; returns their ends."""
    ends = []
    threads = []
    number = 0
    while not until():
        number += 1
        thread = threading.Thread(
            target=lambda number=number: ends.append(send(callers, path, number)))
        thread.start()
        threads.append(thread)
        time.sleep(0.08)
    for thread in threads:
        thread.join()
    return ends


def scenario(pool, callers, ready):
    for ip in IPS:
        wait_for(lambda ip=ip: is_ready(ready, ip), "readiness of " + ip)

    # Guards against equal sound streams that are refused or broken off because
    # their targets crash for reasons of their own.
    def crash_some():
        for number in range(OWN_CRASHES):
            time.sleep(OWN_CRASH_S)
            pool.crash(pool.servers[number % TARGETS])

    crashing = threading.Thread(target=crash_some)
    crashing.start()
    ends = stream_all(callers, "/stream/sound", lambda: not crashing.is_alive())
    check(len(pool.crashes) == OWN_CRASHES, "targets crashed")
    check(set(ends) == {200}, "equal sound streams are served: %s" % ends)

    # Guards against a request that crashes one target after the other, after its
    # first event.
    pool.crashes.clear()
    begin = time.monotonic()
    ends = []
    while time.monotonic() < begin + COMES_FOR_S:
        ends.append(send(callers, "/stream/culprit", len(ends)))
        time.sleep(COMES_AGAIN_S)
    check(len(pool.crashes) >= 3, "it crashed targets: %d" % len(pool.crashes))
    late = [at for at in pool.crashes if at > pool.crashes[2] + CONTACT_S]
    check(len(late) <= LATE_ALLOWED, "it is held back: %d crashes, %d late" % (
        len(pool.crashes), len(late)))
    check(503 in ends and 200 not in ends, "it is refused: %s" % ends)
    check(send(callers, "/stream/other", 0) == 200, "other streams are served")

    # Guards against a request that is refused since its answers were lost, with
    # all targets up.
    pool.lose_answers = True
    ends = [send(callers, "/once/lost", number) for number in range(12)]
    pool.lose_answers = False
    check(pool.lost >= 10, "answers were lost: %d, %s" % (pool.lost, ends))
    time.sleep(0.6)
    ends = [send(callers, "/once/lost", number) for number in range(6)]
    check(set(ends) == {200}, "a request whose answers were lost is served: %s" % ends)


def main():
    pool = Pool()
    _, store = serve(make_store(documents(pool.addresses()), pool.changes))
    with_daemons(IPS, store, lambda callers, ready, _: scenario(pool, callers, ready))


if __name__ == "__main__":
    main()
