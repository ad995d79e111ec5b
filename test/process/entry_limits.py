"""Runs three entry daemons before targets that name how many requests they take."""

import time

from entry_daemon import (STAMP, Handler, call, check, documents, is_ready, make_store, serve,
                          wait_for, with_daemons)

IPS = ["127.0.0.1", "127.0.0.2", "127.0.0.3"]
LIMIT_PER_S = 2.0
# Time that VMs have to learn of a limit, and the time over which it is judged.
NOTICE_S = 1.0
WINDOW_S = 4.0


class Limits:
    """What each target names, and when it got requests."""

    def __init__(self):
        self.named = {}
        self.arrivals = {0: [], 1: []}


def make_limited_target(limits, number):
    class Target(Handler):
        def do_POST(self):
            limits.arrivals[number].append(time.monotonic())
            self.rfile.read(int(self.headers.get("Content-Length", 0)))
            own = [(STAMP, "s1"), ("Acaciaferry-Attempt-Id", self.headers["Acaciaferry-Attempt-Id"])]
            if number in limits.named:
                own.append(("Server-Limit", str(limits.named[number])))
            self.reply(200, b"done", own)

    return Target


def call_all(callers, seconds):
    """Calls the daemons in turn and returns the answers."""
    answers = []
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        for ip in IPS:
            status, _, answer = call(callers, "/once/x", label="l%d" % len(answers), ip=ip)
            answers.append((status, answer.getheader("Retry-After")))
    return answers


def scenario(limits, callers, ready, control):
    for ip in IPS:
        wait_for(lambda ip=ip: is_ready(ready, ip), "readiness of " + ip)

    # Guards against VMs that each keep the limit by themselves, or not at all.
    limits.named[0] = LIMIT_PER_S
    call_all(callers, NOTICE_S)
    since = time.monotonic()
    answers = call_all(callers, WINDOW_S)
    took = time.monotonic() - since
    got = len([at for at in limits.arrivals[0] if at >= since])
    check(got <= 1.5 * LIMIT_PER_S * max(took, WINDOW_S) + 5,
          "the limit holds over all VMs: %d requests in %.1f s" % (got, took))
    check(got >= 1, "the limited target is used")
    check({status for status, _ in answers} == {200}, "the other target serves the rest")

    # Guards against callers that wait, or are not told when to return, while no
    # target takes more.
    limits.named[1] = LIMIT_PER_S
    call_all(callers, NOTICE_S)
    answers = call_all(callers, NOTICE_S)
    check({status for status, _ in answers} <= {200, 503}, "calls are served or refused")
    refused = [retry_after for status, retry_after in answers if status == 503]
    check(refused and all(float(each) > 0 for each in refused),
          "refused calls are told when to return: %s" % refused[:5])


def main():
    limits = Limits()
    targets = [serve(make_limited_target(limits, number))[1] for number in range(2)]
    _, store = serve(make_store(documents(targets)))
    with_daemons(IPS, store, lambda *ports: scenario(limits, *ports))


if __name__ == "__main__":
    main()
