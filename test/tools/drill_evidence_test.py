"""Guards against a drill that calls a broken promise held."""

import copy
import pathlib
import sys
import unittest

sys.dont_write_bytecode = True
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "tools"))

import drill_evidence  # noqa: E402  (the path is set above)


def request(number, **changes):
    base = {"number": number, "type": "mutating_call", "entry": 0, "entries_asked": 1,
            "sent_ms": 10_000, "ended_ms": 10_100, "timeout_ms": 4_000, "end": "answered",
            "late": False, "told_not_run": False, "call": f"1-{number}", "reason": "",
            "broken": []}
    return base | changes


def good_evidence():
    ledger = {"sent": 2, "answered": 1, "refused": 1, "failed": 0, "late": 0, "corrupt": 0,
              "duplicated": 0}
    requests = [request(0), request(1, told_not_run=True, end="refused")]
    return drill_evidence.Evidence(
        report={"ledger": ledger, "requests": requests}, entries=["entry0", "entry1"],
        executions=["/vat-release?call=1-0"],
        accepted_after_leaving_ms={"engine1": [200.0, 2_900.0]}, holdings={"engine0": []},
        shutdowns=[{"member": "entry0", "started": 5, "terminated": 20, "grace_s": 1,
                    "exit_code": 0}],
        revisions=[("entry0", 7, 1, 1), ("entry0", 7, 8, 1), ("entry0", 7, 17.5, 2)],
        published=[(2, 10)], reachable={"entry0": [(0, 30)]})


class DrillEvidence(unittest.TestCase):
    def expect_broken(self, name, evidence):
        broken = [verdict.name for verdict in drill_evidence.judge(evidence) if not verdict.held]
        self.assertEqual(broken, [name])

    def test_all_held(self):
        self.assertEqual([each.name for each in drill_evidence.judge(good_evidence())
                          if not each.held], [])

    def test_late_request(self):
        evidence = good_evidence()
        evidence.report["requests"][0] |= {"late": True, "ended_ms": 14_300}
        self.expect_broken("in_time", evidence)

    def test_pause_excuses_only_its_own_length(self):
        evidence = good_evidence()
        evidence.report["requests"][0] |= {"late": True, "ended_ms": 16_500}
        evidence.pauses = [("entry0", 13, 16)]
        self.assertTrue(drill_evidence.in_time(evidence).held)
        evidence.report["requests"][0] |= {"ended_ms": 18_100}
        self.expect_broken("in_time", evidence)

    def test_pause_of_another_daemon_excuses_nothing(self):
        evidence = good_evidence()
        evidence.report["requests"][0] |= {"late": True, "ended_ms": 16_500}
        evidence.pauses = [("entry1", 13, 16)]
        self.expect_broken("in_time", evidence)
        evidence.report["requests"][0]["entries_asked"] = 2
        self.assertTrue(drill_evidence.in_time(evidence).held)

    def test_held_memory(self):
        evidence = good_evidence()
        evidence.holdings["engine0"] = [{"id": "a"}]
        self.expect_broken("memory_returned", evidence)
        evidence.holdings = {}
        self.expect_broken("memory_returned", evidence)

    def test_corrupt_or_missing_answer(self):
        for key, value in (("corrupt", 1), ("sent", 3)):
            evidence = good_evidence()
            evidence.report["ledger"][key] = value
            self.expect_broken("whole_answers", evidence)

    def test_refused_call_that_ran(self):
        evidence = good_evidence()
        evidence.executions.append("/vat-release?call=1-1")
        self.expect_broken("not_run_is_true", evidence)

    def test_call_that_ran_twice(self):
        evidence = good_evidence()
        evidence.executions.append("/vat-release?call=1-0")
        self.expect_broken("at_most_once", evidence)

    def test_reading_call_may_run_twice(self):
        evidence = good_evidence()
        evidence.report["requests"][0]["type"] = "reading_call"
        evidence.executions.append("/stock?call=1-0")
        self.assertTrue(drill_evidence.at_most_once(evidence).held)

    def test_missing_journal_proves_nothing(self):
        evidence = good_evidence()
        evidence.unread_journals = ["service0"]
        self.assertFalse(drill_evidence.at_most_once(evidence).held)
        self.assertFalse(drill_evidence.not_run_is_true(evidence).held)

    def test_work_for_a_leaving_target(self):
        evidence = good_evidence()
        evidence.accepted_after_leaving_ms["engine1"].append(3_001.0)
        self.expect_broken("leaving_gets_no_work", evidence)

    def test_bad_exit(self):
        evidence = good_evidence()
        evidence.shutdowns[0]["exit_code"] = -9
        self.expect_broken("graceful_shutdown", evidence)

    def test_cut_request(self):
        for sent_ms, cut in ((4_000, False), (6_000, True), (20_900, True), (21_100, False)):
            evidence = good_evidence()
            evidence.report["requests"][1]["broken"] = [
                {"entry": 0, "sent_ms": sent_ms, "reason": "No message received"}]
            self.assertEqual(drill_evidence.graceful_shutdown(evidence).held, not cut, sent_ms)

    def test_slow_revision(self):
        evidence = good_evidence()
        evidence.revisions[-1] = ("entry0", 7, 17.5, 1)
        self.expect_broken("configuration_in_force", evidence)
        # A daemon that was out of reach has no limit yet.
        evidence.reachable = {"entry0": [(0, 12), (13, 30)]}
        self.assertEqual(drill_evidence.slow_daemons(evidence), [])

    def test_reverted_revision(self):
        evidence = good_evidence()
        evidence.revisions.append(("entry0", 7, 25, 1))
        self.expect_broken("configuration_in_force", evidence)
        evidence.revisions[-1] = ("entry0", 8, 25, 1)
        self.assertEqual(drill_evidence.reverted(evidence), [])

    def test_nothing_gathered_proves_nothing(self):
        for field, promise in (("shutdowns", "graceful_shutdown"),
                               ("accepted_after_leaving_ms", "leaving_gets_no_work"),
                               ("published", "configuration_in_force"),
                               ("executions", "at_most_once")):
            evidence = copy.deepcopy(good_evidence())
            setattr(evidence, field, type(getattr(evidence, field))())
            self.expect_broken(promise, evidence)


if __name__ == "__main__":
    unittest.main()
