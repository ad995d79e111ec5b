"""Stops an entry daemon whose targets are still at work when its grace ends."""

import http.client
import signal
import socket
import subprocess
import threading

from entry_daemon import (BOUND_S, STAMP, Fleet, Handler, accepts, call, check, command_of,
                          documents, free_ports, is_ready, make_store, serve, settings_file,
                          wait_for, with_process)

GRACE_MS = 5000


def make_silent_target(fleet):
    """A target that begins streams, and answers nothing else before it is told to."""

    class Target(Handler):
        def do_POST(self):
            self.rfile.read(int(self.headers.get("Content-Length", 0)))
            fleet.seen.append((self.headers["Acaciaferry-Attempt-Id"],
                               int(self.headers["Acaciaferry-Deadline-Ms"])))
            if self.path.startswith("/stream/"):
                data = b"id: 1\ndata: x\n\n"
                self.wfile.write(b"HTTP/1.1 200 OK\r\n%s: s1\r\nAcaciaferry-Attempt-Id: %s\r\n"
                                 b"Content-Type: text/event-stream\r\n"
                                 b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n" %
                                 (STAMP.encode(), self.headers["Acaciaferry-Attempt-Id"].encode(),
                                  len(data), data))
                self.wfile.flush()
            fleet.finish_stream.wait(BOUND_S)
            self.close_connection = True

    return Target


class Caller(threading.Thread):
    """One call and how it ends: a status, or the name of the error."""

    def __init__(self, port, path, label):
        super().__init__(daemon=True)
        self.port, self.path, self.label, self.end = port, path, label, None
        self.start()

    def run(self):
        try:
            self.end = call(self.port, self.path, label=self.label)[0]
        except (OSError, http.client.HTTPException) as error:
            self.end = type(error).__name__


def scenario(fleet, daemon, callers, ready):
    wait_for(lambda: is_ready(ready), "readiness")
    arrived = lambda label: any(seen == label for seen, _ in fleet.seen)
    calls = [Caller(callers, "/once/x", "early"), Caller(callers, "/stream/x", "stream")]
    wait_for(lambda: arrived("early") and arrived("stream"), "both calls at the target")
    kept = socket.create_connection(("127.0.0.1", callers), timeout=BOUND_S)
    daemon.send_signal(signal.SIGTERM)
    wait_for(lambda: not is_ready(ready), "no readiness after SIGTERM")
    calls.append(Caller(callers, "/once/x", "late"))
    wait_for(lambda: arrived("late"), "a call that came after SIGTERM at the target")

    # Guards against a target that is handed more time than the process has left.
    given = dict(fleet.seen)
    check(given["early"] > GRACE_MS, "before SIGTERM the caller's time counts: %s" % given)
    check(0 < given["late"] <= GRACE_MS, "after SIGTERM the grace bounds it: %s" % given)

    # Guards against a request that is taken when it can't be answered any more.
    wait_for(lambda: not accepts(callers), "the end of accepting")
    try:
        kept.sendall(b"POST /once/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 0\r\n"
                     b"Acaciaferry-Attempt-Id: last\r\nAuthorization: Token key1\r\n\r\n")
        answer = kept.recv(4096)
    except ConnectionError:
        # It was closed before the request was read.
        answer = b""
    check(answer == b"" or answer.startswith(b"HTTP/1.1 503 "), "the last call: %s" % answer)
    check(not arrived("last"), "the last call is not passed on")

    # Guards against requests that were passed on and end without an answer, or
    # with one that promises that they have not run.
    check(daemon.wait(BOUND_S) == 0, "the daemon ends by itself")
    for each in calls:
        each.join(BOUND_S)
    ends = {each.label: each.end for each in calls}
    check(ends == {"early": 504, "late": 504, "stream": "IncompleteRead"},
          "calls end with an answer, and the stream that has begun is cut: %s" % ends)


def main():
    fleet = Fleet()
    _, target = serve(make_silent_target(fleet))
    _, store = serve(make_store(documents([target])))
    ports = tuple(free_ports(4))
    with settings_file("127.0.0.1", ports, store, grace_ms=GRACE_MS) as file:
        with_process(subprocess.Popen(command_of(file), stdout=subprocess.DEVNULL), fleet,
                     lambda daemon: scenario(fleet, daemon, *ports[:2]))


if __name__ == "__main__":
    main()
