"""Runs an entry daemon beside a stand-in for a VM of release f1be9e1.

Its heartbeats and views have the layout of that release, which doesn't read
evacuations.
"""

import http.server
import json
import socket
import subprocess
import threading

from entry_daemon import (Fleet, Handler, call, check, command_of, documents, free_ports, is_ready,
                          make_store, make_target, metric, serve, settings_file, wait_for,
                          with_process)

IP, PEER_IP = "127.0.0.1", "127.0.0.2"
HEARTBEAT_INTERVAL_S = 0.25
# That of the documents in the store.
REVISION = 5
HEARTBEAT_KIND = 1


def packed(value):
    """Encodes a value as msgpack, in the formats of the widest range."""
    if isinstance(value, bool):
        return b"\xc3" if value else b"\xc2"
    if isinstance(value, int):
        return b"\xcf" + value.to_bytes(8, "big")
    if isinstance(value, str):
        return b"\xdb" + len(value.encode()).to_bytes(4, "big") + value.encode()
    if isinstance(value, dict):
        return b"\xdf" + len(value).to_bytes(4, "big") + b"".join(
            packed(key) + packed(each) for key, each in value.items())
    return b"\xdd" + len(value).to_bytes(4, "big") + b"".join(map(packed, value))


def heartbeat(datagrams, control):
    fields = ["peer", "a", 7, "%s:%d" % (PEER_IP, datagrams), "%s:%d" % (PEER_IP, control),
              REVISION, False, [], 2, 0, 3, 250, True, 1, 1, 1, 99, [], False, True, []]
    return b"\x01" + packed(HEARTBEAT_KIND) + packed(fields)


def view(published):
    items = {key: [json.dumps(value), REVISION, False] for key, value in published.items()}
    return packed(REVISION) + packed(REVISION) + packed(items) + packed(0) + packed({})


class Peer:
    """A VM of release f1be9e1 that knows targets and the configuration."""

    def __init__(self, ports, published):
        _, _, control, datagrams = ports
        self.fetched = 0
        self.heartbeats = 0
        self.ended = threading.Event()
        peer = self

        class View(Handler):
            def do_GET(self):
                peer.fetched += 1
                self.reply(200, view(published))

        self.server = http.server.ThreadingHTTPServer((PEER_IP, control), View)
        self.server.daemon_threads = True
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((PEER_IP, datagrams))
        self.bytes = heartbeat(datagrams, control)
        self.daemon = (IP, datagrams)
        for each in (self.server.serve_forever, self.send):
            threading.Thread(target=each, daemon=True).start()

    def send(self):
        while not self.ended.wait(HEARTBEAT_INTERVAL_S):
            self.socket.sendto(self.bytes, self.daemon)
            self.heartbeats += 1


def scenario(peer, gate, ports):
    callers, ready, control, _ = ports
    wait_for(lambda: peer.fetched > 0, "the peer's view is fetched")
    wait_for(lambda: metric(IP, control, "acaciaferry_configuration_version") == 3,
             "the peer's configuration is taken")
    fetched, heartbeats = peer.fetched, peer.heartbeats
    wait_for(lambda: peer.heartbeats > heartbeats + 12, "further heartbeats")

    # Guards against a VM that takes such a view for complete: it would send
    # requests where an evacuation forbids it.
    check(metric(IP, control, "acaciaferry_view_complete") == 0, "the view is incomplete")
    check(not is_ready(ready), "a view without evacuations is not complete")
    check(call(callers, "/once/x")[0] == 503, "nothing is sent")
    # Guards against a view that is fetched again and again. The last fetch may
    # have begun before the configuration was in force.
    check(peer.fetched <= fetched + 1, "the view is fetched once")

    gate.set()
    wait_for(lambda: is_ready(ready), "readiness after a listing of its own")
    check(metric(IP, control, "acaciaferry_view_complete") == 1, "the view is complete")
    check(call(callers, "/once/x", label="a2")[0] == 200, "requests are sent")


def main():
    fleet = Fleet()
    published = documents([serve(make_target(fleet))[1] for _ in range(2)])
    gate = threading.Event()
    service = make_store(published)

    class Store(service):
        def do_GET(self):
            if gate.is_set():
                super().do_GET()
            else:
                self.reply(503)

    store = serve(Store)[1]
    ports = tuple(free_ports(4))
    peer = Peer(ports, published)
    with settings_file(IP, ports, store, "%s:%d" % (PEER_IP, ports[2])) as settings:
        with_process(subprocess.Popen(command_of(settings), stdout=subprocess.DEVNULL), fleet,
                     lambda _: scenario(peer, gate, ports))
    peer.ended.set()


if __name__ == "__main__":
    main()
