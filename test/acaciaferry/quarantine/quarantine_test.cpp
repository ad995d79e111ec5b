#include "acaciaferry/quarantine/quarantine.hpp"

#include <rapidcheck.h>

#include <algorithm>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace acaciaferry;

namespace {

constexpr std::uint64_t kCrashingFingerprint = 7;
const evidence_source kSelf{{"vm1"}, 1};
const evidence_source kPeer{{"vm2"}, 1};
const evidence_source kThird{{"vm3"}, 1};

time_point At(int seconds) {
  return time_point(std::chrono::seconds(seconds));
}

request_crash Crash(int target, int seconds) {
  return {{"e" + std::to_string(target)},
          At(seconds),
          std::chrono::milliseconds(60)};
}

// Three targets have gone, one a second, the last at `seconds`.
void CrashThree(quarantine_state& state,
                const evidence_source& source,
                int seconds) {
  for (int i = 2; i >= 0; --i) {
    RecordCrash(state, source, kCrashingFingerprint, 1, Crash(i, seconds - i));
  }
}

// What `from` tells, as it is passed on by a VM that reads no lists.
suspect_reports_received WithoutLists(const quarantine_state& from,
                                      time_point now) {
  suspect_reports_received reports{LatestSuspectReports(from, 10, now)};
  for (suspect_report& each : reports.reports) {
    each.lists_crashes = false;
    each.listed.clear();
  }
  return reports;
}

}  // namespace

TEST_GROUP(Quarantine){};

// Guards against a request that still runs after it has crashed two targets as
// their only request, or three together with others, and against a refusal that
// never ends.
TEST(Quarantine, RefusesAfterTwoCrashesAloneOrThreeBesideOthers) {
  for (const double share : {1.0, 0.02}) {
    quarantine_state state;
    const int allowed = share == 1.0 ? 2 : 3;
    for (int i = 0; i < allowed; ++i) {
      CHECK_FALSE(
          RemainingQuarantine(state, kCrashingFingerprint, At(i)).has_value());
      RecordCrash(state, kSelf, kCrashingFingerprint, share, At(i));
    }
    const auto left =
        RemainingQuarantine(state, kCrashingFingerprint, At(allowed - 1));
    CHECK_TRUE(left == std::chrono::minutes(10));
    CHECK_FALSE(RemainingQuarantine(state, kCrashingFingerprint,
                                    At(allowed - 1) + *left)
                    .has_value());
  }
}

// Guards against a request that is refused although it completed on this VM or
// a peer, and against a late report that restores cleared evidence.
TEST(Quarantine, CompletionClearsEverywhere) {
  quarantine_state here;
  quarantine_state there;
  RecordCrash(here, kSelf, kCrashingFingerprint, 1, At(0));
  const suspect_reports_received late{LatestSuspectReports(here, 10, At(0))};
  MergeSuspects(there, kPeer, late, At(1));
  CHECK_TRUE(IsSuspect(there, kCrashingFingerprint, At(1)));
  RecordCompletion(there, kPeer, kCrashingFingerprint, At(2));
  CHECK_FALSE(IsSuspect(there, kCrashingFingerprint, At(2)));
  MergeSuspects(there, kPeer, late, At(3));
  CHECK_FALSE(IsSuspect(there, kCrashingFingerprint, At(3)));
  MergeSuspects(here, kSelf, {LatestSuspectReports(there, 10, At(3))}, At(4));
  CHECK_FALSE(IsSuspect(here, kCrashingFingerprint, At(4)));
}

// Guards against a completion before a crash that clears the evidence of that
// crash.
TEST(Quarantine, OldCompletionDoesNotClearNewCrash) {
  quarantine_state here;
  quarantine_state there;
  RecordCrash(there, kPeer, kCrashingFingerprint, 1, At(0));
  RecordCompletion(there, kPeer, kCrashingFingerprint, At(1));
  const suspect_reports_received completion{
      LatestSuspectReports(there, 10, At(20))};
  RecordCrash(here, kSelf, kCrashingFingerprint, 1, At(10));
  MergeSuspects(here, kSelf, completion, At(20));
  CHECK_TRUE(IsSuspect(here, kCrashingFingerprint, At(20)));
}

// Guards against evidence that counts twice or not at all when reports arrive
// repeatedly, in any order and through other peers.
TEST(Quarantine, AnyOrderOfReportsGivesTheSameEvidence) {
  CHECK_TRUE(rc::check([] {
    quarantine_state sources[2];
    const evidence_source ids[2] = {kPeer, kThird};
    std::vector<suspect_report> sent;
    std::size_t crashes = 0;
    for (int i = 0; i < 6; ++i) {
      const auto who = *rc::gen::inRange<std::size_t>(0, 2);
      RecordCrash(sources[who], ids[who], kCrashingFingerprint, 0.1, At(i));
      ++crashes;
      for (auto report : LatestSuspectReports(sources[who], 10, At(i))) {
        sent.push_back(report);
      }
    }
    quarantine_state state;
    for (int i = 0; i < 20; ++i) {
      const auto which = *rc::gen::inRange<std::size_t>(0, sent.size());
      MergeSuspects(state, kSelf, {{sent[which]}}, At(10));
    }
    for (std::size_t i = sent.size(); i-- > 0;) {
      MergeSuspects(state, kSelf, {{sent[i]}}, At(10));
    }
    std::size_t merged = 0;
    for (const auto& [source, known] : state.suspects[kCrashingFingerprint]) {
      merged += known.crashes;
    }
    RC_ASSERT(merged == crashes);
  }));
}

// Guards against memory that grows with the number of distinct requests.
TEST(Quarantine, FingerprintsAreBounded) {
  quarantine_state state;
  for (std::uint64_t i = 0; i < 5'000; ++i) {
    RecordCrash(state, kSelf, i, 1, At(static_cast<int>(i / 100)));
  }
  CHECK_EQUAL(4'096U, state.suspects.size());
  CHECK_TRUE(IsSuspect(state, 4'999, At(50)));
  ExpireSuspects(state, At(50) + std::chrono::minutes(10));
  CHECK_TRUE(state.suspects.empty());
}

// Guards against equal sound requests that are refused since one target went on
// which several VMs had one.
TEST(Quarantine, OneTargetIsOneCrashForAllVms) {
  quarantine_state here;
  for (const auto& source : {kPeer, kThird, evidence_source{{"vm4"}, 1}}) {
    quarantine_state there;
    RecordCrash(there, source, kCrashingFingerprint, 1, Crash(1, 10));
    MergeSuspects(here, kSelf, {LatestSuspectReports(there, 10, At(10))},
                  At(10));
  }
  CHECK_FALSE(
      RemainingQuarantine(here, kCrashingFingerprint, At(10)).has_value());
  const request_crash more[] = {Crash(2, 11), Crash(3, 12)};
  CHECK_FALSE(WouldBeRefused(here, kCrashingFingerprint, {more, 1}, At(12)));
  CHECK_TRUE(WouldBeRefused(here, kCrashingFingerprint, more, At(12)));
}

// Guards against a sound request that is refused for as long as the evidence is
// kept: it may run again, on the VM that saw the last crash first.
TEST(Quarantine, ARefusedRequestIsTested) {
  quarantine_state here;
  quarantine_state there;
  CrashThree(here, kSelf, 10);
  MergeSuspects(there, kPeer, {LatestSuspectReports(here, 10, At(10))}, At(10));
  CHECK_TRUE(RemainingQuarantine(there, kCrashingFingerprint, At(10)));
  CHECK_TRUE(*TimeToTest(here, kSelf, kCrashingFingerprint, At(20)) ==
             duration{});
  CHECK_TRUE(*TimeToTest(there, kPeer, kCrashingFingerprint, At(20)) >=
             std::chrono::seconds(5));
  CHECK_TRUE(*TimeToTest(there, kPeer, kCrashingFingerprint, At(45)) <=
             duration{});
  // One test at a time.
  RecordTest(here, kCrashingFingerprint, At(20));
  CHECK_TRUE(*TimeToTest(here, kSelf, kCrashingFingerprint, At(21)) >
             duration{});
  RecordCompletion(here, kSelf, kCrashingFingerprint, At(22));
  CHECK_FALSE(RemainingQuarantine(here, kCrashingFingerprint, At(22)));
  MergeSuspects(there, kPeer, {LatestSuspectReports(here, 10, At(22))}, At(22));
  CHECK_FALSE(RemainingQuarantine(there, kCrashingFingerprint, At(22)));
}

// Guards against tests that take down one target after the other.
TEST(Quarantine, TestsEndAfterTwoHaveFailed) {
  quarantine_state state;
  CrashThree(state, kSelf, 10);
  RecordCrash(state, kSelf, kCrashingFingerprint, 1, Crash(4, 20));
  CHECK_TRUE(*TimeToTest(state, kSelf, kCrashingFingerprint, At(30)) ==
             std::chrono::seconds(50));
  RecordCrash(state, kSelf, kCrashingFingerprint, 1, Crash(5, 80));
  CHECK_FALSE(TimeToTest(state, kSelf, kCrashingFingerprint, At(500)));
  CHECK_TRUE(RemainingQuarantine(state, kCrashingFingerprint, At(500)));
}

// Guards against a count of tests that begins anew when many crashes are known.
TEST(Quarantine, TheFirstCrashesStayListed) {
  quarantine_state state;
  for (int i = 0; i < 20; ++i) {
    RecordCrash(state, kSelf, kCrashingFingerprint, 1, Crash(i, 10 * i));
  }
  const auto reports = LatestSuspectReports(state, 10, At(200));
  LONGS_EQUAL(8, reports[0].listed.size());
  CHECK_TRUE(reports[0].listed.front() == Crash(0, 0));
  CHECK_TRUE(reports[0].listed.back() == Crash(19, 190));
  CHECK_FALSE(TimeToTest(state, kSelf, kCrashingFingerprint, At(500)));
}

// Guards against evidence of a VM of an older release that counts for less than
// before, and against three crashes that such a VM refuses too early or too
// late.
TEST(Quarantine, ReleasesWithAndWithoutListsUnderstandEachOther) {
  quarantine_state mixed;
  RecordCrash(mixed, kPeer, kCrashingFingerprint, 1, At(1));
  RecordCrash(mixed, kPeer, kCrashingFingerprint, 0.1, At(2));
  CHECK_FALSE(RemainingQuarantine(mixed, kCrashingFingerprint, At(2)));
  RecordCrash(mixed, kSelf, kCrashingFingerprint, 0.1, Crash(3, 3));
  CHECK_TRUE(RemainingQuarantine(mixed, kCrashingFingerprint, At(3)));
  quarantine_state alone;
  RecordCrash(alone, kPeer, kCrashingFingerprint, 1, At(1));
  RecordCrash(alone, kPeer, kCrashingFingerprint, 1, At(2));
  CHECK_TRUE(RemainingQuarantine(alone, kCrashingFingerprint, At(2)));

  quarantine_state sender;
  quarantine_state older;
  RecordCrash(sender, kPeer, kCrashingFingerprint, 1, Crash(1, 1));
  RecordCrash(sender, kPeer, kCrashingFingerprint, 1, Crash(2, 2));
  MergeSuspects(older, kThird, WithoutLists(sender, At(2)), At(2));
  CHECK_FALSE(RemainingQuarantine(older, kCrashingFingerprint, At(2)));
  RecordCrash(sender, kPeer, kCrashingFingerprint, 1, Crash(3, 3));
  MergeSuspects(older, kThird, WithoutLists(sender, At(3)), At(3));
  CHECK_TRUE(RemainingQuarantine(older, kCrashingFingerprint, At(3)));
}

// Guards against a list that is lost because a VM of an older release passed
// the report on first.
TEST(Quarantine, AListCompletesAReportThatCameWithoutIt) {
  quarantine_state sender;
  quarantine_state here;
  CrashThree(sender, kPeer, 10);
  MergeSuspects(here, kSelf, WithoutLists(sender, At(10)), At(10));
  CHECK_TRUE(RemainingQuarantine(here, kCrashingFingerprint, At(10)));
  CHECK_FALSE(TimeToTest(here, kSelf, kCrashingFingerprint, At(10)));
  CHECK_TRUE(MergeSuspects(here, kSelf,
                           {LatestSuspectReports(sender, 10, At(10))}, At(10)));
  CHECK_TRUE(TimeToTest(here, kSelf, kCrashingFingerprint, At(10)).has_value());
  CHECK_FALSE(MergeSuspects(here, kSelf, WithoutLists(sender, At(11)), At(11)));
}

// Guards against a refused request that peers don't hear of among many
// suspects.
TEST(Quarantine, RefusedRequestsAreToldFirst) {
  quarantine_state state;
  CrashThree(state, kSelf, 10);
  for (std::uint64_t i = 0; i < 100; ++i) {
    RecordCrash(state, kSelf, 1'000 + i, 1, Crash(7, 100));
  }
  const auto reports =
      SuspectReportsToTell(state, 16, std::chrono::seconds(30), At(200));
  LONGS_EQUAL(1, reports.size());
  CHECK_TRUE(reports[0].fingerprint == kCrashingFingerprint);
  LONGS_EQUAL(
      16,
      SuspectReportsToTell(state, 16, std::chrono::hours(1), At(200)).size());
}
