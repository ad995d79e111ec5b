#include <rapidcheck.h>

#include <map>
#include <string>

#include "acaciaferry/reducer/fake_fleet.hpp"

#include <CppUTest/TestHarness.h>

using acaciaferry::test::fake_fleet;

namespace {

constexpr int kFleetsPerCase = 10;
constexpr int kStepsPerFleet = 1'500;

}  // namespace

TEST_GROUP(Guarantees){};

// Guards against a second execution of a non-idempotent call, against `not-run`
// for a call that ran or runs later, against answers that are truncated or
// mixed, and against requests without a reply.
TEST(Guarantees, HoldInAnyOrderOfEvents) {
  std::map<std::string, int> situation_counts;
  CHECK_TRUE(rc::check([&situation_counts] {
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    for (std::uint64_t fleet_index = 0; fleet_index < kFleetsPerCase;
         ++fleet_index) {
      fake_fleet fleet(seed + (fleet_index << 32U));
      for (int step = 0; step < kStepsPerFleet; ++step) {
        fleet.Step();
      }
      fleet.LetDeadlinesPass();
      for (const auto& [situation, count] : fleet.situation_counts) {
        situation_counts[situation] += count;
      }
      for (const std::string& violation : fleet.violations) {
        RC_LOG() << violation << "\n";
      }
      RC_ASSERT(fleet.violations.empty());
    }
  }));
  // The random events must cover these situations.
  for (const char* const situation :
       {"retry", "resume", "forward", "restart", "answer ran", "answer not-run",
        "answer unknown", "target_lost unknown", "target_rejected not-run",
        "deadline_exceeded unknown", "operation_in_progress unknown",
        "operation_key_reused not-run", "operation_owner_lost unknown",
        "answer_corrupt unknown", "draining not-run", "quarantined not-run",
        "retry_budget_exhausted unknown"}) {
    CHECK_TRUE_TEXT(situation_counts[situation] > 0, situation);
  }
}
