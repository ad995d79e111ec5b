#include <rapidcheck.h>

#include <map>
#include <string>

#include "acaciaferry/reducer/fake_fleet.hpp"

#include <CppUTest/TestHarness.h>

using acaciaferry::test::fake_fleet;

namespace {

constexpr int kWorldsPerCase = 10;
constexpr int kStepsPerWorld = 1'500;

}  // namespace

TEST_GROUP(Promises){};

// Guards against a second run of a non-idempotent call, against `not-run` for
// a call that ran or still runs later, against answers that are cut or mixed,
// and against requests without any reply.
TEST(Promises, HoldInEveryOrderOfEvents) {
  std::map<std::string, int> seen;
  CHECK_TRUE(rc::check([&seen] {
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    for (std::uint64_t world = 0; world < kWorldsPerCase; ++world) {
      fake_fleet fleet(seed + (world << 32U));
      for (int step = 0; step < kStepsPerWorld; ++step) {
        fleet.Step();
      }
      fleet.LetDeadlinesPass();
      for (const auto& [what, count] : fleet.seen) {
        seen[what] += count;
      }
      for (const std::string& violation : fleet.violations) {
        RC_LOG() << violation << "\n";
      }
      RC_ASSERT(fleet.violations.empty());
    }
  }));
  // The situations that the promises are about did come about.
  for (const char* const what :
       {"retry", "resume", "forward", "restart", "answer ran", "answer not-run",
        "answer unknown", "target_lost unknown", "target_rejected not-run",
        "deadline_exceeded unknown", "operation_in_progress unknown",
        "operation_key_reused not-run", "operation_owner_lost unknown",
        "answer_corrupt unknown", "draining not-run", "quarantined not-run",
        "retry_budget_exhausted unknown"}) {
    CHECK_TRUE_TEXT(seen[what] > 0, what);
  }
}
