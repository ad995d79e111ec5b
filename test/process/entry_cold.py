"""Runs three entry daemons before targets that are cold, or say so in responses."""

import http.client
import time

from entry_daemon import (STAMP, Handler, call, check, documents, is_ready, make_store, serve,
                          wait_for, with_daemons)

IPS = ["127.0.0.1", "127.0.0.2", "127.0.0.3"]
COLD_PER_S = 2.0
# Longer than the test, so that no target gets warm in it.
COLD_S = 600
CALLS = 150


class Cold:
    """Which targets say in responses that they are cold, and when each got requests."""

    def __init__(self):
        self.says_so = set()
        self.arrivals = {0: [], 1: []}


def make_cold_target(cold, number):
    class Target(Handler):
        def do_POST(self):
            cold.arrivals[number].append(time.monotonic())
            self.rfile.read(int(self.headers.get("Content-Length", 0)))
            own = [(STAMP, "s1"), ("Acaciaferry-Attempt-Id", self.headers["Acaciaferry-Attempt-Id"])]
            if number in cold.says_so:
                own.append(("Acaciaferry-Cold-Ms", str(COLD_S * 1000)))
            self.reply(200, b"done", own)

    return Target


def cold_targets(control, ip):
    connection = http.client.HTTPConnection(ip, control, timeout=10)
    connection.request("GET", "/metrics")
    for line in connection.getresponse().read().decode().splitlines():
        if line.startswith("acaciaferry_cold_targets "):
            return int(line.split()[1])
    return None


def call_all(callers):
    answers = []
    for number in range(CALLS):
        status, _, answer = call(callers, "/once/x", label="c%d" % number,
                                 ip=IPS[number % len(IPS)])
        answers.append((status, answer.getheader("Retry-After")))
    return answers


def scenario(cold, callers, ready, control):
    for ip in IPS:
        wait_for(lambda ip=ip: is_ready(ready, ip), "readiness of " + ip)

    # Guards against an entry that says that its target is cold and isn't read.
    for ip in IPS:
        check(cold_targets(control, ip) == 1, "one target is cold as seen by " + ip)
    since = time.monotonic()
    answers = call_all(callers)
    took = time.monotonic() - since
    got = len(cold.arrivals[0])
    check(got <= 1.5 * COLD_PER_S * max(took, 1) + 5,
          "a cold target is spared: %d requests in %.1f s" % (got, took))
    check({status for status, _ in answers} == {200}, "the warm target serves the rest")

    # Guards against a response that says so and isn't read, or not told to peers.
    cold.says_so.add(1)
    used = len(cold.arrivals[1])
    wait_for(lambda: call(callers, "/once/x")[0] == 200 and len(cold.arrivals[1]) > used,
             "a request reaches the target that says so")
    wait_for(lambda: all(cold_targets(control, ip) == 2 for ip in IPS),
             "all VMs know that both targets are cold")
    before = len(cold.arrivals[0]) + len(cold.arrivals[1])
    answers = call_all(callers)
    sent = len(cold.arrivals[0]) + len(cold.arrivals[1]) - before
    check({status for status, _ in answers} <= {200, 503}, "calls are served or refused")
    refused = [retry_after for status, retry_after in answers if status == 503]
    check(sent + len(refused) == CALLS, "each call is sent once or refused")
    check(refused and all(float(each) > 0 for each in refused),
          "refused calls are told when to return: %s" % refused[:5])


def main():
    cold = Cold()
    targets = [serve(make_cold_target(cold, number))[1] for number in range(2)]
    published = documents(targets)
    published["op/config"]["services"][0].update({"cold_s": COLD_S, "cold_per_s": COLD_PER_S})
    published["servers/i-0"]["cold_left_ms"] = COLD_S * 1000
    _, store = serve(make_store(published))
    with_daemons(IPS, store, lambda *ports: scenario(cold, *ports))


if __name__ == "__main__":
    main()
