"""Runs entry daemons against a store that comes back from an older copy of itself."""

import json
import subprocess
import time

from entry_daemon import (Fleet, Handler, RefusingStore, call, check, command_of, documents,
                          encoded, free_ports, is_ready, make_target, metric, serve, settings_file,
                          wait_for, with_process)

FIRST_IP, SECOND_IP = "127.0.0.1", "127.0.0.2"
WATCH_S = 0.2


class Store:
    """Documents with revisions, which go back when a copy is restored."""

    def __init__(self, published):
        self.era = 1
        self.revision = 0
        self.items = {}
        self.events = []
        for key, value in published.items():
            self.write(key, value)

    def write(self, key, value):
        self.revision += 1
        item = {"key": key, "value": encoded(value), "revision": self.revision,
                "created_at": 1, "lease": 0}
        self.items = dict(self.items, **{key: item})
        self.events = self.events + [item]

    def copy(self):
        return self.revision, self.items, self.events

    def restore(self, copy):
        self.revision, self.items, self.events = copy
        self.era += 1

    def handler(self):
        store = self

        class Service(Handler):
            def do_GET(self):
                query = dict(each.split("=") for each in self.path.split("?")[1].split("&"))
                if self.path.startswith("/api/kv-range"):
                    items = [item for key, item in store.items.items()
                             if key.startswith(query["path_prefix"])]
                    self.answer(200, {"items": items, "has_more": False,
                                      "store_revision": store.revision})
                    return
                time.sleep(WATCH_S)
                after = int(query["after"])
                if after > store.revision:
                    self.answer(410, {})
                    return
                events = [each for each in store.events if each["revision"] > after]
                self.answer(200, {"events": events, "store_revision": store.revision})

            def answer(self, status, body):
                self.reply(status, json.dumps(body).encode(), [("Store-Era", str(store.era))])

        return Service


def scenario(store, published, ports):
    callers, ready, control, _ = ports

    def status(key, ip):
        return call(callers, "/once/x", key=key, label="p-" + key, ip=ip)[0]

    def write_version(version, keys):
        store.write("op/config", dict(published["op/config"], version=version,
                                      tenants=[{"name": "w1", "api_keys": keys}]))

    def wait_for_key(key):
        for ip in (FIRST_IP, SECOND_IP):
            wait_for(lambda ip=ip: status(key, ip) == 200, "%s is known to %s" % (key, ip))

    wait_for(lambda: is_ready(ready, FIRST_IP) and is_ready(ready, SECOND_IP), "readiness")
    copy = store.copy()
    write_version(4, ["key1"])
    write_version(5, ["key1", "key2"])
    write_version(6, ["key2"])
    wait_for_key("key2")
    wait_for(lambda: status("key1", FIRST_IP) == 401, "the revoked key is refused")

    # Guards against a configuration that reverts to that of the copy.
    store.restore(copy)
    wait_for(lambda: metric(FIRST_IP, control, "acaciaferry_service_era") == 2, "the return")
    check(metric(FIRST_IP, control, "acaciaferry_configuration_version") == 6, "versions only grow")
    check(status("key2", FIRST_IP) == 200, "what was confirmed stays in force")
    check(status("key1", FIRST_IP) == 401, "what was revoked stays so")

    # Guards against changes that are taken for older since their revisions were
    # given out before.
    write_version(7, ["key2", "key3"])
    check(store.revision < copy[0] + 3, "the revision was given out before")
    wait_for_key("key3")


def main():
    fleet = Fleet()
    published = documents([serve(make_target(fleet))[1] for _ in range(2)])
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
                lambda _: scenario(store, published, ports)))


if __name__ == "__main__":
    main()
