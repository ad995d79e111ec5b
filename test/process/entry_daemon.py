"""Runs acaciaferryd as an entry daemon against stand-ins written here.

The stand-ins speak the platform's published protocol: a store that is listed
and watched, an engine that streams events, and a plain service.
"""

import base64
import contextlib
import fcntl
import http.client
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

BOUND_S = 20
# The least that a pipe can hold.
PIPE_BYTES = 4096
STAMP = "Acaciaferry-Engine-Stamp"


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, *args):
        pass

    def reply(self, status, body=b"", headers=()):
        self.send_response(status)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        try:
            self.wfile.write(body)
        except BrokenPipeError:
            print("the daemon did not wait for the answer to " + self.path)


def serve(handler):
    server = ThreadingHTTPServer(("127.0.0.1", 0), handler)
    server.daemon_threads = True
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server, "127.0.0.1:%d" % server.server_address[1]


class Fleet:
    """What the stand-ins have seen, and what they are told to do."""

    def __init__(self):
        self.seen = []
        self.finish_stream = threading.Event()
        self.first_attempt_broken = False


def make_target(fleet):
    class Target(Handler):
        def do_POST(self):
            length = int(self.headers.get("Content-Length", 0))
            body = self.rfile.read(length)
            fleet.seen.append((self.path, dict(self.headers), body))
            own = [(STAMP, "s1"), ("Acaciaferry-Attempt-Id", self.headers["Acaciaferry-Attempt-Id"])]
            if not self.path.startswith("/stream/"):
                self.reply(200, b"done", own)
                return
            start = int(self.headers.get("Last-Event-Id", 0))
            self.send_response(200)
            for name, value in own:
                self.send_header(name, value)
            self.send_header("Content-Type", "text/event-stream")
            self.send_header("Transfer-Encoding", "chunked")
            self.end_headers()
            for event in range(start + 1, 4):
                data = b"id: %d\ndata: x\n\n" % event
                self.wfile.write(b"%x\r\n%s\r\n" % (len(data), data))
                self.wfile.flush()
                if event == 1 and "break" in self.path:
                    # Breaks off in the middle of an event.
                    self.wfile.write(b"5\r\nid: 2\r\n")
                    self.wfile.flush()
                    self.connection.shutdown(socket.SHUT_RDWR)
                    return
                if event == 1 and "slow" in self.path:
                    fleet.finish_stream.wait(BOUND_S)
            self.wfile.write(b"0\r\n\r\n")

    return Target


def encoded(value):
    return base64.b64encode(json.dumps(value).encode()).decode()


class Changes:
    """What is published after the listing; all changes of one call come together."""

    def __init__(self):
        self.events = []

    def publish(self, documents):
        revision = 10 + len(self.events)
        self.events = self.events + [
            {"key": key, "value": encoded(value), "revision": revision + number}
            for number, (key, value) in enumerate(documents)]


def make_store(documents, changes=None):
    changes = changes or Changes()

    class Store(Handler):
        def do_GET(self):
            if self.path.startswith("/api/kv-range"):
                prefix = self.path.split("path_prefix=")[1].split("&")[0]
                items = [
                    {"key": key, "value": encoded(value),
                     "revision": 5, "created_at": 5, "lease": 0}
                    for key, value in documents.items() if key.startswith(prefix)]
                answer = {"items": items, "has_more": False, "store_revision": 9}
            else:
                time.sleep(0.2)
                after = int(self.path.split("after=")[1].split("&")[0])
                events = [each for each in changes.events if each["revision"] > after]
                answer = {"events": events,
                          "store_revision": events[-1]["revision"] if events else after}
            self.reply(200, json.dumps(answer).encode())

    return Store


class RefusingStore(Handler):
    """A store that turns this VM away."""

    def do_GET(self):
        self.reply(503)


def documents(targets):
    def route(prefix, kind, **more):
        return {"name": prefix, "host": "h.example", "path_prefix": prefix, "kind": kind,
                "timeout_ms": 15000, "target_latency_ms": 5000, "priority": 1, "service": "svc",
                "max_attempts": 2, "public": False, **more}

    config = {
        "version": 3,
        "routes": [route("/once/", "non_idempotent"),
                   route("/stream/", "streaming", resumable=True, target_gap_ms=10000)],
        "services": [{"name": "svc"}],
        "limits": {"header_bytes": 8192, "max_body_bytes": 1000,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "w1", "api_keys": ["key1"]}],
    }
    published = {"op/config": config}
    for number, address in enumerate(targets):
        published["servers/i-%d" % number] = {
            "service": "svc", "address": address, "zone": "a", "slots": 8, "state": "ready",
            "version": "v1", "cold_left_ms": 0, "seq": 1}
    return published


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind(("127.0.0.1", 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


def wait_for(condition, what):
    deadline = time.monotonic() + BOUND_S
    while time.monotonic() < deadline:
        if condition():
            return
        time.sleep(0.02)
    raise AssertionError("not within %d s: %s" % (BOUND_S, what))


def call(port, path, key="key1", body=b"b", label="a1", read=True, ip="127.0.0.1",
         method="POST"):
    connection = http.client.HTTPConnection(ip, port, timeout=BOUND_S)
    headers = {"Host": "h.example", "Acaciaferry-Attempt-Id": label,
               "Authorization": "Token " + key, "Acaciaferry-Deadline-Ms": "14000"}
    connection.request(method, path, body, headers)
    answer = connection.getresponse()
    return (answer.status, answer.read(), answer) if read else (answer.status, connection, answer)


def is_ready(port, ip="127.0.0.1"):
    try:
        connection = http.client.HTTPConnection(ip, port, timeout=BOUND_S)
        connection.request("GET", "/api/readiness")
        return connection.getresponse().status == 200
    except OSError:
        return False


def accepts(port):
    try:
        socket.create_connection(("127.0.0.1", port), timeout=BOUND_S).close()
        return True
    except OSError:
        return False


def check(condition, what):
    if not condition:
        raise AssertionError(what)


def main():
    fleet = Fleet()
    targets = [serve(make_target(fleet))[1] for _ in range(2)]
    _, store = serve(make_store(documents(targets)))
    callers, ready, control, datagrams = free_ports(4)
    ports = callers, ready, control, datagrams
    with settings_file("127.0.0.1", ports, store) as file:
        command = command_of(file)
        with_process(subprocess.Popen(command, stdout=subprocess.PIPE, text=True), fleet,
                     lambda daemon: run(fleet, daemon, callers, ready, control))
        reader, writer = os.pipe()
        fcntl.fcntl(writer, fcntl.F_SETPIPE_SZ, PIPE_BYTES)
        with_process(subprocess.Popen(command, stdout=writer), fleet,
                     lambda daemon: run_without_log_reader(daemon, callers, ready, control))
        os.close(writer)
        os.close(reader)
    run_with_peer(fleet, targets)


def settings_file(ip, ports, store, seeds="", grace_ms=8000):
    callers, ready, control, datagrams = ports
    file = tempfile.NamedTemporaryFile("w", suffix=".ini")
    file.write("""
[vm]
name = vm-%(ip)s
failure_domain = a
drain_grace_ms = %(grace_ms)d
[callers]
address = %(ip)s:%(callers)d
[readiness]
address = %(ip)s:%(ready)d
[peers]
control = %(ip)s:%(control)d
datagrams = %(ip)s:%(datagrams)d
seeds = %(seeds)s
[configuration]
service = %(store)s
[retries]
slack = 100
""" % locals())
    file.flush()
    return file


def command_of(file):
    return [os.path.join(sys.argv[1], "acaciaferryd"), "-c", file.name]


def run_with_peer(fleet, targets):
    published = documents(targets)
    changes = Changes()
    ports = tuple(free_ports(4))
    first_store = serve(make_store(published, changes))[1]
    refusing_store = serve(RefusingStore)[1]
    first_ip, second_ip = "127.0.0.1", "127.0.0.2"
    with settings_file(first_ip, ports, first_store) as first, \
            settings_file(second_ip, ports, refusing_store,
                          "%s:%d" % (first_ip, ports[2])) as second:
        with_process(
            subprocess.Popen(command_of(first), stdout=subprocess.DEVNULL), fleet,
            lambda first_daemon: with_process(
                subprocess.Popen(command_of(second), stdout=subprocess.DEVNULL), fleet,
                lambda _: turned_away(first_daemon, second_ip, ports, published, changes)))


def metric(ip, control, name):
    connection = http.client.HTTPConnection(ip, control, timeout=BOUND_S)
    connection.request("GET", "/metrics")
    for line in connection.getresponse().read().decode().splitlines():
        if line.startswith(name + " "):
            return float(line.split()[1])
    return None


def turned_away(first_daemon, ip, ports, published, changes):
    callers, ready, control, _ = ports

    def status(key):
        return call(callers, "/once/x", key=key, label="p-" + key, ip=ip)[0]

    # Guards against a VM that serves nothing, or an old configuration, because the
    # store turns it away while its peers are served.
    wait_for(lambda: is_ready(ready, ip), "readiness through a peer's view")
    check(status("key1") == 200, "a call is answered with the peer's view")
    # The next hello of the peer confirms the view.
    wait_for(lambda: status("none") == 401, "refusal of an unknown key with a confirmed view")
    newer = dict(published["op/config"], version=4,
                 tenants=[{"name": "w1", "api_keys": ["key1", "key2"]}])
    changes.publish([("op/config", newer)])
    wait_for(lambda: status("key2") == 200, "the newer configuration by way of the peer")

    # Guards against a configuration that reverts.
    older = dict(published["op/config"], version=2, tenants=[])
    target = dict(published["servers/i-0"], address="127.0.0.9:1", state="draining")
    changes.publish([("op/config", older), ("servers/i-9", target)])
    wait_for(lambda: metric(ip, control, "acaciaferry_targets") == 3, "the change after it")
    check(metric(ip, control, "acaciaferry_configuration_version") == 4, "versions only grow")
    check(status("key2") == 200, "the newer key stays")

    # Guards against 401 and 404 from a VM whose view nothing confirms any more.
    first_daemon.kill()
    wait_for(lambda: status("none") == 503, "an unconfirmed view refuses as not known")
    check(status("key1") == 200, "what is known is served on")


def with_daemons(ips, store, scenario):
    """Runs a scenario with a daemon at each address, all on the same ports."""
    ports = tuple(free_ports(4))
    seed = "%s:%d" % (ips[0], ports[2])

    def start(left):
        if not left:
            scenario(*ports[:3])
            return
        with contextlib.closing(settings_file(left[0], ports, store, seed)) as file:
            with_process(subprocess.Popen(command_of(file), stdout=subprocess.DEVNULL), Fleet(),
                         lambda _: start(left[1:]))

    start(ips)


def with_process(daemon, fleet, scenario):
    try:
        scenario(daemon)
    finally:
        fleet.finish_stream.set()
        if daemon.poll() is None:
            daemon.kill()
        daemon.wait()


# Guards against a process that stands still because nobody reads its log.
def run_without_log_reader(daemon, callers, ready, control):
    wait_for(lambda: is_ready(ready), "readiness")
    # Each call brings two lines of over 100 bytes; the pipe holds PIPE_BYTES.
    for number in range(PIPE_BYTES // 100):
        status, body, _ = call(callers, "/once/x", label="r%d" % number)
        check((status, body) == (200, b"done"), "a call is answered: %s %s" % (status, body))
    connection = http.client.HTTPConnection("127.0.0.1", control, timeout=BOUND_S)
    connection.request("GET", "/metrics")
    metrics = connection.getresponse().read().decode()
    lines = [line for line in metrics.splitlines()
             if line.startswith("acaciaferry_log_lines_not_written_total ")]
    check(len(lines) == 1 and float(lines[0].split()[1]) > 0,
          "lines that were not written are counted: %s" % lines)
    daemon.send_signal(signal.SIGTERM)
    check(daemon.wait(BOUND_S) == 0, "the daemon ends by itself")


def run(fleet, daemon, callers, ready, control):
    wait_for(lambda: is_ready(ready), "readiness")

    # Guards against answers without the target's own fields, and against a key or
    # a forged workspace that reaches a target.
    status, body, answer = call(callers, "/once/x?q=1")
    check((status, body) == (200, b"done"), "a call is answered: %s %s" % (status, body))
    check(answer.getheader(STAMP) == "s1", "the target's fields are passed on")
    path, headers, sent = fleet.seen[-1]
    check(path == "/once/x?q=1" and sent == b"b", "method, path and body are unchanged")
    check(headers["Acaciaferry-Tenant"] == "w1" and "Authorization" not in headers,
          "the workspace is named and the key is not")

    # Guards against refusals of the wrong kind.
    check(call(callers, "/once/x", key="none")[0] == 401, "an unknown key is refused")
    check(call(callers, "/none/x")[0] == 404, "an unknown route is refused")
    check(call(callers, "/once/x", body=b"b" * 2000)[0] == 413, "a long body is refused")

    # Guards against a stream that is joined wrongly after its target broke off.
    status, body, _ = call(callers, "/stream/break", label="a2")
    check(status == 200 and body == b"".join(b"id: %d\ndata: x\n\n" % n for n in (1, 2, 3)),
          "a broken stream goes on behind its last event: %s %s" % (status, body))

    # Guards against counters that operators cannot read.
    connection = http.client.HTTPConnection("127.0.0.1", control, timeout=BOUND_S)
    connection.request("GET", "/metrics")
    metrics = connection.getresponse().read().decode()
    check('acaciaferry_decisions_total{kind="resumed"} 1' in metrics, "metrics count the resumption")
    check('acaciaferry_repeats_total{reason="broken"} 1' in metrics, "metrics tell its reason")
    check('acaciaferry_read_refusals_total{status="413"} 1' in metrics, "the long body is counted")

    # Guards against a request that is cut off by a planned stop, and against one
    # that is taken when it can't be answered any more.
    status, connection, answer = call(callers, "/stream/slow", label="a3", read=False)
    check(status == 200, "a slow stream begins")
    daemon.send_signal(signal.SIGTERM)
    wait_for(lambda: not is_ready(ready), "no readiness after SIGTERM")
    check(call(callers, "/once/x", label="a4")[0] == 200, "callers of the balancer are still served")
    wait_for(lambda: not accepts(callers), "the end of accepting")
    check(daemon.poll() is None, "the daemon waits for the stream")
    fleet.finish_stream.set()
    check(answer.read().endswith(b"id: 3\ndata: x\n\n"), "the slow stream is whole")
    connection.close()
    check(daemon.wait(BOUND_S) == 0, "the daemon ends by itself")
    lines = daemon.stdout.read()
    for event in ("started", "configuration_accepted", "target_found", "sent", "resumed",
                  "answered", "refused", "draining", "stopped"):
        check("event=" + event in lines, "the log has a line for " + event)


if __name__ == "__main__":
    main()
