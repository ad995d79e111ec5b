"""Runs entry daemons while the operator evacuates failure domains and takes them back."""

import subprocess
import sys
import tempfile

from entry_daemon import (Fleet, RefusingStore, call, check, command_of, documents, free_ports,
                          is_ready, make_target, metric, serve, settings_file, wait_for,
                          with_process)
from entry_restored import FIRST_IP, SECOND_IP, Store

CALLS = 12
# Fewer than the target of the other failure domain has slots for.
MAX_STREAMS = 6


class ChangingStore(Store):
    def remove(self, key):
        self.revision += 1
        self.items = {name: item for name, item in self.items.items() if name != key}
        self.events = self.events + [{"key": key, "revision": self.revision, "removed": True}]


class Scenario:
    """Two VMs, the second of which may be turned away by the store; targets in a and b."""

    def __init__(self):
        self.targets = {zone: Fleet() for zone in "ab"}
        published = documents([serve(make_target(self.targets[zone]))[1] for zone in "ab"])
        published["servers/i-1"]["zone"] = "b"
        self.store = ChangingStore(published)
        self.ports = tuple(free_ports(4))
        self.log = tempfile.TemporaryFile("w+")

    def evacuated(self, ip, zone):
        return metric(ip, self.ports[2], 'acaciaferry_domain_evacuated{domain="%s"}' % zone)

    def attempts(self, ip, zone):
        return metric(ip, self.ports[2], 'acaciaferry_evacuated_attempts{domain="%s"}' % zone)

    def wait_for_state(self, zone, state):
        for ip in (FIRST_IP, SECOND_IP):
            wait_for(lambda ip=ip: self.evacuated(ip, zone) == state,
                     "evacuation of %s at %s: %s" % (zone, ip, state))

    def call_all(self, ip, label):
        for number in range(CALLS):
            status = call(self.ports[0], "/once/x", label="%s%d" % (label, number), ip=ip)[0]
            check(status == 200, "call %d of %s is answered: %d" % (number, label, status))

    def begin_streams(self):
        """Streams through the second VM, until the target in b has one."""
        streams = []
        while not any(path == "/stream/slow" for path, _, _ in self.targets["b"].seen):
            check(len(streams) < MAX_STREAMS, "a stream runs in b")
            status, connection, answer = call(self.ports[0], "/stream/slow", ip=SECOND_IP,
                                              label="s%d" % len(streams), read=False)
            check(status == 200, "a stream begins: %d" % status)
            streams.append((connection, answer))
        return streams

    def run(self, first, start_first):
        callers, ready = self.ports[:2]
        wait_for(lambda: is_ready(ready, FIRST_IP) and is_ready(ready, SECOND_IP), "readiness")
        streams = self.begin_streams()

        # Guards against requests that reach an evacuated target, through a VM that
        # reads the store or through one that hears of it from its peer.
        self.store.write("op/evacuate/b", {})
        self.wait_for_state("b", 1)
        before = len(self.targets["b"].seen)
        for ip in (FIRST_IP, SECOND_IP):
            self.call_all(ip, "e" + ip)
        check(len(self.targets["b"].seen) == before, "no call reaches b")

        # Guards against a VM that starts and forgets the evacuation.
        first.kill()
        first.wait()
        with_process(start_first(), self.targets["a"],
                     lambda _: self.run_on(streams, before, callers, ready))

    def run_on(self, streams, before, callers, ready):
        wait_for(lambda: is_ready(ready, FIRST_IP), "readiness after the restart")
        self.call_all(FIRST_IP, "r")
        check(self.evacuated(FIRST_IP, "b") == 1, "it is in force after the restart")
        check(len(self.targets["b"].seen) == before, "no call reaches b after the restart")

        # Guards against work that is broken off.
        check(self.attempts(SECOND_IP, "b") >= 1, "the stream in b is counted")
        for fleet in self.targets.values():
            fleet.finish_stream.set()
        for connection, answer in streams:
            check(answer.read() == b"".join(b"id: %d\ndata: x\n\n" % n for n in (1, 2, 3)),
                  "a stream is whole")
            connection.close()
        wait_for(lambda: self.attempts(SECOND_IP, "b") == 0, "b is drained")
        check(len(self.targets["b"].seen) == before, "no stream is resumed in b")

        # Guards against calls that wait for targets which the operator took away.
        self.store.write("op/evacuate/a", {})
        self.wait_for_state("a", 1)
        status, _, answer = call(callers, "/once/x", label="n1")
        check(status == 503, "no target is left: %d" % status)
        check(float(answer.getheader("Retry-After")) > 0, "the caller is told to return")
        check(metric(FIRST_IP, self.ports[2],
                     'acaciaferry_refusals_total{code="pool_evacuated"}') == 1,
              "the refusal is counted")

        # Guards against targets that get no requests after they were taken back.
        self.store.remove("op/evacuate/b")
        self.wait_for_state("b", None)
        served = len(self.targets["a"].seen)
        self.call_all(SECOND_IP, "b")
        check(len(self.targets["b"].seen) == before + CALLS, "b serves all while a does not")
        check(len(self.targets["a"].seen) == served, "the evacuation of a goes on")
        self.store.remove("op/evacuate/a")
        self.wait_for_state("a", None)
        self.call_all(FIRST_IP, "a")
        self.log.seek(0)
        lines = self.log.read()
        for line in ("event=domain_evacuated vm=vm-%s id=b running=",
                     "event=domain_drained vm=vm-%s id=b ",
                     "event=evacuation_ended vm=vm-%s id=b ",
                     "event=evacuation_ended vm=vm-%s id=a "):
            check(line % SECOND_IP in lines, "the log has a line for " + line)


def main():
    scenario = Scenario()
    first_store = serve(scenario.store.handler())[1]
    # With --turned-away the second VM learns all from its peer.
    second_store = serve(RefusingStore)[1] if "--turned-away" in sys.argv else first_store
    ports = scenario.ports
    with settings_file(FIRST_IP, ports, first_store) as first, \
            settings_file(SECOND_IP, ports, second_store,
                          "%s:%d" % (FIRST_IP, ports[2])) as second:
        def start_first():
            return subprocess.Popen(command_of(first), stdout=subprocess.DEVNULL)

        with_process(
            start_first(), scenario.targets["a"],
            lambda running: with_process(
                subprocess.Popen(command_of(second), stdout=scenario.log),
                scenario.targets["b"], lambda _: scenario.run(running, start_first)))


if __name__ == "__main__":
    main()
