#include "acaciaferry/forwarding/limits/target_refusals.hpp"

#include <CppUTest/TestHarness.h>

using namespace acaciaferry;
using namespace acaciaferry::forwarding;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

const target_id kTarget{"t"};

time_point At(int ms) {
  return time_point(milliseconds(ms));
}

}  // namespace

TEST_GROUP(TargetRefusals){};

// Guards against requests to a target that asked for none.
TEST(TargetRefusals, NoRequestUntilTheTimeIsOver) {
  target_refusals refusals(1);
  const time_point until = refusals.Record(kTarget, seconds(2), At(0));
  CHECK_TRUE(until >= At(2'000));
  CHECK_TRUE(until <= At(2'500));
  CHECK_TRUE(refusals.NextRequestAt(kTarget, At(100)) == until);
  CHECK_TRUE(refusals.NextRequestAt(kTarget, until) == until);
  CHECK_TRUE(refusals.NextRequestAt({"other"}, At(100)) == At(100));
  LONGS_EQUAL(1, refusals.Refusing(At(100)).size());
  LONGS_EQUAL(0, refusals.Refusing(until).size());
}

// Guards against an end that a shorter refusal of a crossing request brings
// forward.
TEST(TargetRefusals, TheLongerRefusalHolds) {
  target_refusals refusals(1);
  const time_point until = refusals.Record(kTarget, seconds(5), At(0));
  CHECK_TRUE(refusals.Record(kTarget, milliseconds(200), At(10)) == until);
}

// Guards against all waiting requests arriving at the end of the wait.
TEST(TargetRefusals, OneRequestTriesTheTargetAtTheEnd) {
  target_refusals refusals(1);
  const time_point until = refusals.Record(kTarget, seconds(1), At(0));
  refusals.CountRequest(kTarget, until);
  CHECK_TRUE(refusals.NextRequestAt(kTarget, until) > until);
  refusals.RecordTaken(kTarget, until + milliseconds(30));
  CHECK_TRUE(refusals.NextRequestAt(kTarget, until + milliseconds(30)) ==
             until + milliseconds(30));
}

// Guards against a target that is never used again because the answer to its
// trial was lost.
TEST(TargetRefusals, ATrialWithoutAnAnswerIsRepeated) {
  target_refusals refusals(1);
  const time_point until = refusals.Record(kTarget, seconds(1), At(0));
  refusals.CountRequest(kTarget, until);
  CHECK_TRUE(refusals.NextRequestAt(kTarget, until + seconds(2)) ==
             until + seconds(2));
}

// Guards against ending a refusal early: an answer to a request that was sent
// before says nothing about later ones.
TEST(TargetRefusals, AnswersToEarlierRequestsChangeNothing) {
  target_refusals refusals(1);
  const time_point until = refusals.Record(kTarget, seconds(1), At(0));
  refusals.RecordTaken(kTarget, At(100));
  CHECK_TRUE(refusals.NextRequestAt(kTarget, At(100)) == until);
}

// Guards against a target that is lost for good by one absurd value.
TEST(TargetRefusals, LongTimesAreCut) {
  target_refusals refusals(1);
  CHECK_TRUE(refusals.Record(kTarget, hours(24), At(0)) <=
             At(0) + target_refusals::kMaxWait + seconds(1));
}

// Guards against VMs that were refused together and return together.
TEST(TargetRefusals, RefusalsOfSeveralVmsEndAtDifferentTimes) {
  const time_point first = target_refusals(1).Record(kTarget, seconds(2), {});
  int different = 0;
  for (std::uint64_t seed = 2; seed < 12; ++seed) {
    different +=
        target_refusals(seed).Record(kTarget, seconds(2), {}) != first ? 1 : 0;
  }
  CHECK_COMPARE(different, >=, 9);
}
