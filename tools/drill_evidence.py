"""Judges the promises of section 1.2 of the design from a drill's evidence.

All times are seconds of the monotonic clock, which the load tool shares.
"""

import collections
import dataclasses

LEAVING_LIMIT_S = 3
CONFIGURATION_LIMIT_S = 7
# A paused daemon sends nothing; after its pause it must answer within this.
RESUME_LIMIT_S = 1
CRASH_BOUND = 3


@dataclasses.dataclass
class Verdict:
    name: str
    held: bool
    evidence: str

    def line(self):
        return f"promise {self.name}: {'held' if self.held else 'broken'} ({self.evidence})"


@dataclasses.dataclass
class Evidence:
    """What was gathered; lists of names are in the order of the load's entries."""

    report: dict
    entries: list
    # (member, start, end): paused by SIGSTOP.
    pauses: list = dataclasses.field(default_factory=list)
    # Executions of all service targets: path of the call.
    executions: list = dataclasses.field(default_factory=list)
    unread_journals: list = dataclasses.field(default_factory=list)
    # target: delays in ms.
    accepted_after_leaving_ms: dict = dataclasses.field(default_factory=dict)
    # engine: list of holdings, after the load and the longest deadline.
    holdings: dict = dataclasses.field(default_factory=dict)
    # dicts with member, started, terminated, grace_s, exit_code.
    shutdowns: list = dataclasses.field(default_factory=list)
    # (member, incarnation, time, revision).
    revisions: list = dataclasses.field(default_factory=list)
    # (revision, time since when it was served without interruption).
    published: list = dataclasses.field(default_factory=list)
    # member: [(start, end)]: running, not paused and not cut off.
    reachable: dict = dataclasses.field(default_factory=dict)
    crashed_engines: list = dataclasses.field(default_factory=list)
    ended_early: list = dataclasses.field(default_factory=list)


def overlap(start, end, other_start, other_end):
    return max(0.0, min(end, other_end) - max(start, other_start))


def asked_entries(evidence, request):
    count = len(evidence.entries)
    return {evidence.entries[(request["entry"] + i) % count]
            for i in range(request["entries_asked"])}


def untimely(evidence, request):
    """Tells whether a late request was late for another reason than a pause."""
    sent, ended = request["sent_ms"] / 1e3, request["ended_ms"] / 1e3
    due = sent + request["timeout_ms"] / 1e3
    asked = asked_entries(evidence, request)
    paused = sum(overlap(sent, ended, start, end) for name, start, end in evidence.pauses
                 if name in asked)
    return request["late"] and (paused == 0 or ended - due > paused + RESUME_LIMIT_S)


def in_time(evidence):
    late = [request for request in evidence.report["requests"] if request["late"]]
    wrong = [request["number"] for request in late if untimely(evidence, request)]
    return Verdict("in_time", not wrong,
                   f"{len(wrong)} late, {len(late) - len(wrong)} more only while their VM was "
                   f"paused; requests {wrong[:10]}" if late else
                   f"0 late of {evidence.report['ledger']['sent']}")


def memory_returned(evidence):
    held = {name: len(each) for name, each in evidence.holdings.items() if each}
    return Verdict("memory_returned", bool(evidence.holdings) and not held,
                   f"{len(evidence.holdings)} engines listed, holdings left: {held or 'none'}")


def whole_answers(evidence):
    ledger = evidence.report["ledger"]
    ended = sum(ledger[key] for key in ("answered", "refused", "failed", "corrupt"))
    held = ledger["corrupt"] == 0 and ended == ledger["sent"] and ledger["answered"] > 0
    return Verdict("whole_answers", held,
                   f"{ledger['answered']} answers compared, {ledger['corrupt']} corrupt, "
                   f"{ended} of {ledger['sent']} ended")


def call_of(path):
    return path.partition("call=")[2]


def runs_by_call(evidence):
    return collections.Counter(call_of(path) for path in evidence.executions)


def not_run_is_true(evidence):
    runs = runs_by_call(evidence)
    told = [request["call"] for request in evidence.report["requests"]
            if request["call"] and request["told_not_run"]]
    untrue = [call for call in told if runs[call]]
    return Verdict("not_run_is_true", not untrue and not evidence.unread_journals,
                   f"{len(told)} service calls told not-run, {len(untrue)} of them executed "
                   f"{untrue[:5]}; unread journals: {len(evidence.unread_journals)}")


def duplicated_calls(evidence):
    runs = runs_by_call(evidence)
    return [request["call"] for request in evidence.report["requests"]
            if request["type"] == "mutating_call" and runs[request["call"]] > 1]


def at_most_once(evidence):
    mutating = [request for request in evidence.report["requests"]
                if request["type"] == "mutating_call"]
    twice = duplicated_calls(evidence)
    held = not twice and not evidence.unread_journals and bool(evidence.executions)
    return Verdict("at_most_once", held,
                   f"{len(mutating)} calls, {len(evidence.executions)} executions of all kinds, "
                   f"executed twice: {twice[:5] or 'none'}; "
                   f"unread journals: {len(evidence.unread_journals)}")


def leaving_gets_no_work(evidence):
    worst = {name: max(delays) for name, delays in evidence.accepted_after_leaving_ms.items()
             if delays}
    wrong = {name: delay for name, delay in worst.items() if delay > LEAVING_LIMIT_S * 1e3}
    held = bool(evidence.accepted_after_leaving_ms) and not wrong
    return Verdict("leaving_gets_no_work", held,
                   f"{len(evidence.accepted_after_leaving_ms)} targets left, latest work after "
                   f"{max(worst.values(), default=0):.0f} ms; over the limit: {wrong or 'none'}")


def is_pause(evidence, member, sent, reason):
    """Tells whether the load tool gave up on a daemon that was paused."""
    return reason == "Timeout" and any(name == member and end > sent
                                       for name, _, end in evidence.pauses)


def cut_requests(evidence, shutdown):
    """Requests sent before the end of the grace whose connection broke."""
    end = shutdown["terminated"] + shutdown["grace_s"]
    return [(request["number"], each["reason"]) for request in evidence.report["requests"]
            for each in request["broken"]
            if evidence.entries[each["entry"]] == shutdown["member"]
            and shutdown["started"] <= each["sent_ms"] / 1e3 < end
            and not is_pause(evidence, shutdown["member"], each["sent_ms"] / 1e3,
                             each["reason"])]


def graceful_shutdown(evidence):
    bad_exits = {each["member"]: each["exit_code"] for each in evidence.shutdowns
                 if each["exit_code"] != 0}
    cut = {each["member"]: found for each in evidence.shutdowns
           if (found := cut_requests(evidence, each))}
    held = bool(evidence.shutdowns) and not bad_exits and not cut
    return Verdict("graceful_shutdown", held,
                   f"{len(evidence.shutdowns)} daemons shut down, exit codes other than 0: "
                   f"{bad_exits or 'none'}, cut requests: {cut or 'none'}")


def slow_daemons(evidence):
    """Daemons that could learn a revision for the whole limit and did not."""
    slow = []
    for revision, since in evidence.published:
        due = since + CONFIGURATION_LIMIT_S
        for name, spans in evidence.reachable.items():
            if not any(start <= since and due <= end for start, end in spans):
                continue
            seen = [found for member, _, time, found in evidence.revisions
                    if member == name and due <= time <= due + 2]
            if seen and max(seen) < revision:
                slow.append((name, revision, max(seen)))
    return slow


def reverted(evidence):
    highest = {}
    wrong = []
    for member, incarnation, _, revision in sorted(evidence.revisions, key=lambda each: each[2]):
        key = (member, incarnation)
        if revision < highest.get(key, 0):
            wrong.append((member, highest[key], revision))
        highest[key] = max(revision, highest.get(key, 0))
    return wrong


def checks_made(evidence):
    return sum(1 for _, since in evidence.published for spans in evidence.reachable.values()
               if any(start <= since and since + CONFIGURATION_LIMIT_S <= end
                      for start, end in spans))


def configuration_in_force(evidence):
    slow, wrong, made = slow_daemons(evidence), reverted(evidence), checks_made(evidence)
    return Verdict("configuration_in_force", made > 0 and not slow and not wrong,
                   f"{len(evidence.published)} revisions, {made} pairs of daemon and revision "
                   f"checked after {CONFIGURATION_LIMIT_S} s, slow: {slow[:5] or 'none'}, "
                   f"reverted: {wrong[:5] or 'none'}")


PROMISES = (in_time, memory_returned, whole_answers, not_run_is_true, at_most_once,
            leaving_gets_no_work, graceful_shutdown, configuration_in_force)


def judge(evidence):
    return [promise(evidence) for promise in PROMISES]
