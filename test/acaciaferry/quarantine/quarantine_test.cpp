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
