#include "acaciaferry/attempts/attempt.hpp"

#include <CppUTest/TestHarness.h>

using namespace acaciaferry;

TEST_GROUP(Attempt){};

// Guards against a request that is called not-run because its resumption found
// no connection, although the first connection may have carried it.
TEST(Attempt, OnlyTheFirstConnectionTellsThatNothingWasSent) {
  attempt unsent;
  unsent.phase = attempt_phase::kUnsent;
  CHECK(UnfinishedOutcome(unsent, attempt_end::kConnectFailed) ==
        outcome::kNotRun);
  unsent.connection_number = 1;
  CHECK(UnfinishedOutcome(unsent, attempt_end::kConnectFailed) ==
        outcome::kUnknown);
}
