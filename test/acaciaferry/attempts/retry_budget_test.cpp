#include "acaciaferry/attempts/retry_budget.hpp"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace acaciaferry;

TEST_GROUP(RetryBudget){};

// Guards against a retry storm when a pool fails: retries are limited to the
// configured fraction of the successes, plus the burst and its refill.
TEST(RetryBudget, RetriesStayWithinTheBudget) {
  CHECK_TRUE(rc::check([] {
    retry_budgets budgets;
    const pool_id pool{"kiosk"};
    constexpr double kFraction = 0.1;
    double seconds = 0;
    int successes = 0;
    int retries = 0;
    for (int i = 0; i < 500; ++i) {
      seconds += *rc::gen::element(0.0, 0.01, 0.5);
      const time_point now(FromSeconds(seconds));
      if (*rc::gen::inRange(0, 3) == 0) {
        EarnRetry(budgets, pool, kFraction, now);
        ++successes;
      } else if (SpendRetry(budgets, pool, kFraction, now)) {
        ++retries;
      }
      RC_ASSERT(retries <= 5 + kFraction * successes + 0.1 * seconds + 1e-6);
    }
  }));
}

// Guards against a pool with little traffic that never retries, and against
// retries that the answers to the questionnaire forbid.
TEST(RetryBudget, PoolWithoutTrafficMayRetryUnlessTheFractionIsZero) {
  retry_budgets budgets;
  const time_point start{};
  CHECK_FALSE(SpendRetry(budgets, {"none"}, 0, start));
  for (int i = 0; i < 5; ++i) {
    CHECK_TRUE(SpendRetry(budgets, {"quiet"}, 0.1, start));
  }
  CHECK_FALSE(SpendRetry(budgets, {"quiet"}, 0.1, start));
  CHECK_TRUE(
      SpendRetry(budgets, {"quiet"}, 0.1, start + std::chrono::seconds(10)));
}
