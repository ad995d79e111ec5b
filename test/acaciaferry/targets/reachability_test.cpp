#include "acaciaferry/targets/reachability.hpp"

#include <CppUTest/TestHarness.h>

using namespace acaciaferry;
using namespace std::chrono_literals;

TEST_GROUP(Reachability) {
  reachability_state state;
  const target_id engine{"e1"};
  const time_point now{1h};
};

// Guards against a dead target that attracts requests because it looks idle.
TEST(Reachability, AvoidsLongerAfterEachFailureInARow) {
  RecordConnectFailure(state, engine, now);
  CHECK_EQUAL(1U, UnreachableTargets(state, now).size());
  CHECK_TRUE(UnreachableTargets(state, now + 1s).empty());
  RecordConnectFailure(state, engine, now + 1s);
  CHECK_EQUAL(1U, UnreachableTargets(state, now + 2s).size());
  CHECK_TRUE(UnreachableTargets(state, now + 3s).empty());
  for (int i = 0; i < 20; ++i) {
    RecordConnectFailure(state, engine, now);
  }
  CHECK_TRUE(UnreachableTargets(state, now + 30s).empty());
}

// Guards against a target that stays avoided after it has recovered.
TEST(Reachability, ContactEndsTheAvoidance) {
  RecordConnectFailure(state, engine, now);
  RecordContact(state, engine);
  CHECK_TRUE(UnreachableTargets(state, now).empty());
}
