"""Runs entry daemons against a store that is away while entries of targets end."""

import subprocess

import entry_restored
from entry_daemon import (Fleet, RefusingStore, call, check, command_of, documents, free_ports,
                          is_ready, make_target, metric, serve, settings_file, wait_for,
                          with_process)

FIRST_IP, SECOND_IP = "127.0.0.1", "127.0.0.2"
# Takes the daemon more than a second, by the pauses between its calls.
CALLS_OF_AN_OUTAGE = 4


class Store(entry_restored.Store):
    """Documents with revisions, which are out of reach at times."""

    def __init__(self, published):
        super().__init__(published)
        self.is_away = False
        self.refused = 0
        self.served = 0

    def remove(self, key):
        self.revision += 1
        self.items = {name: item for name, item in self.items.items() if name != key}
        self.events = self.events + [{"key": key, "revision": self.revision, "removed": True}]

    def go_away(self):
        self.refused = 0
        self.is_away = True

    def come_back(self):
        self.served = 0
        self.is_away = False

    def handler(self):
        store = self
        service = super().handler()

        class Service(service):
            def do_GET(self):
                if store.is_away:
                    store.refused += 1
                    self.reply(503)
                    return
                super().do_GET()
                store.served += 1

        return Service


def scenario(store, ports):
    callers, ready, control, _ = ports
    ips = (FIRST_IP, SECOND_IP)

    def wait_for_targets(count, what):
        for ip in ips:
            wait_for(lambda ip=ip: metric(ip, control, "acaciaferry_targets") == count,
                     "%s (%s)" % (what, ip))

    wait_for(lambda: all(is_ready(ready, ip) for ip in ips), "readiness")
    wait_for_targets(4, "all targets are known")
    store.go_away()
    wait_for(lambda: store.refused >= CALLS_OF_AN_OUTAGE, "the outage is noticed")
    store.remove("servers/i-0")
    store.come_back()
    # Guards against entries that never expire: on a VM that the service turns
    # away, and all but the first one that is missing.
    wait_for(lambda: store.served > 0, "the service is heard again")
    store.remove("servers/i-1")
    wait_for_targets(2, "entries that ended are dropped")

    # Guards against a target that left, and is the last one of its pool.
    store.remove("servers/i-2")
    store.remove("servers/i-3")
    wait_for_targets(0, "targets that left are dropped")
    for ip in ips:
        check(call(callers, "/once/x", label="none-" + ip, ip=ip)[0] == 503, "no target is left")


def main():
    fleet = Fleet()
    published = documents([serve(make_target(fleet))[1] for _ in range(4)])
    store = Store(published)
    first_store = serve(store.handler())[1]
    # The second VM is turned away and learns all from its peer.
    second_store = serve(RefusingStore)[1]
    ports = tuple(free_ports(4))
    with settings_file(FIRST_IP, ports, first_store) as first, \
            settings_file(SECOND_IP, ports, second_store,
                          "%s:%d" % (FIRST_IP, ports[2])) as second:
        with_process(
            subprocess.Popen(command_of(first), stdout=subprocess.DEVNULL), fleet,
            lambda _: with_process(
                subprocess.Popen(command_of(second), stdout=subprocess.DEVNULL), fleet,
                lambda _: scenario(store, ports)))


if __name__ == "__main__":
    main()
