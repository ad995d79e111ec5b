#include "acaciaferry/attempts/attempt.hpp"

#include <CppUTest/TestHarness.h>

using namespace acaciaferry;

TEST_GROUP(Attempt){};

// Guards against a request that is reported as not run because a resumption
// failed to connect, although the first connection may have sent it.
TEST(Attempt, OnlyAFailedFirstConnectionMeansNotRun) {
  attempt unsent;
  unsent.phase = attempt_phase::kUnsent;
  CHECK(UnfinishedOutcome(unsent, attempt_end::kConnectFailed) ==
        outcome::kNotRun);
  unsent.connection_number = 1;
  CHECK(UnfinishedOutcome(unsent, attempt_end::kConnectFailed) ==
        outcome::kUnknown);
}
