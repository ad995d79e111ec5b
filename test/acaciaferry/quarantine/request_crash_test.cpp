#include "acaciaferry/quarantine/request_crash.hpp"

#include <CppUTest/TestHarness.h>

using namespace acaciaferry;
using std::chrono::milliseconds;

namespace {

time_point At(int ms) {
  return time_point(milliseconds(1'000'000 + ms));
}

request_crash Crash(int target, int ms, int ran_ms = 60) {
  return {{"e" + std::to_string(target)}, At(ms), milliseconds(ran_ms)};
}

}  // namespace

TEST_GROUP(RequestCrash){};

// Guards against a stream that crashes the target it is resumed on, so soon
// that both crashes might be taken for one failure.
TEST(RequestCrash, CountsATargetThatGotTheRequestAfterTheFirstCrash) {
  // Sent again at the moment of the crash.
  const auto tally =
      Tally({Crash(1, 0, 70), Crash(2, 70, 70), Crash(3, 140, 72)}, 0);
  LONGS_EQUAL(2 * kMaxRequestCrashes, tally.halves);
  CHECK_TRUE(tally.limit_reached_at == At(140));
  LONGS_EQUAL(0, tally.failed_tests);
}

// Guards against one crash that counts once for each VM whose equal requests
// ran on the target.
TEST(RequestCrash, CountsATargetOnceHoweverManyVmsSawIt) {
  LONGS_EQUAL(2, Tally({Crash(1, 0), Crash(1, 20), Crash(1, 400)}, 0).halves);
  // It is back, and crashes again.
  LONGS_EQUAL(4, Tally({Crash(1, 0), Crash(1, 3'000)}, 0).halves);
}

// Guards against a failed rack that has equal sound requests refused, and
// against many equal requests at a time that crash all targets again and again.
TEST(RequestCrash, CountsTargetsThatGoTogetherLess) {
  const int long_ms = 5'000;
  LONGS_EQUAL(4, Tally({Crash(1, 0, long_ms), Crash(2, 10, long_ms),
                        Crash(3, 250, long_ms)},
                       0)
                     .halves);
  LONGS_EQUAL(6, Tally({Crash(1, 0, long_ms), Crash(2, 10, long_ms),
                        Crash(3, 20, long_ms), Crash(4, 30, long_ms),
                        Crash(5, 40, long_ms)},
                       0)
                     .halves);
  // Too far apart for one cause.
  LONGS_EQUAL(4,
              Tally({Crash(1, 0, long_ms), Crash(2, 300, long_ms)}, 0).halves);
}

// Guards against tests that go on although they crash targets, and against
// crashes before all VMs have heard of the limit that count as tests.
TEST(RequestCrash, CountsTheTestsThatFailed) {
  const auto tally = Tally({Crash(1, 0), Crash(2, 1'000), Crash(3, 2'000),
                            Crash(4, 5'000), Crash(5, 5'001), Crash(6, 20'000)},
                           0);
  CHECK_TRUE(tally.limit_reached_at == At(2'000));
  LONGS_EQUAL(2, tally.failed_tests);
}

// Guards against reports of older releases that count for nothing.
TEST(RequestCrash, CountsUnlistedCrashesAsTheEarliest) {
  const auto tally = Tally({Crash(1, 0)}, 2);
  LONGS_EQUAL(2 * kMaxRequestCrashes, tally.halves);
  CHECK_TRUE(tally.limit_reached_at == At(0));
  CHECK_FALSE(Tally({}, 3).limit_reached_at.has_value());
}
