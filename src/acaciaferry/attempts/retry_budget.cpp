#include "acaciaferry/attempts/retry_budget.hpp"

#include <algorithm>

namespace acaciaferry {
namespace internal {

// A pool starts with the burst and never holds more, so that an outage after
// a long quiet time causes at most this many retries at once.
constexpr double kBurst = 5;
// Lets a pool without successes retry again at all; 1 in 10 s is negligible
// load.
constexpr double kRefillPerSecond = 0.1;

retry_budget& Refilled(retry_budgets& budgets,
                       const pool_id& pool,
                       time_point now) {
  retry_budget& budget =
      budgets.pools.try_emplace(pool, retry_budget{kBurst, now}).first->second;
  const double earned = ToSeconds(now - budget.refilled_at) * kRefillPerSecond;
  budget.tokens = std::min(kBurst, budget.tokens + earned);
  budget.refilled_at = now;
  return budget;
}

}  // namespace internal

void EarnRetry(retry_budgets& budgets,
               const pool_id& pool,
               double fraction,
               time_point now) {
  retry_budget& budget = internal::Refilled(budgets, pool, now);
  budget.tokens = std::min(internal::kBurst, budget.tokens + fraction);
}

bool SpendRetry(retry_budgets& budgets,
                const pool_id& pool,
                double fraction,
                time_point now) {
  retry_budget& budget = internal::Refilled(budgets, pool, now);
  if (fraction <= 0 || budget.tokens < 1) {
    return false;
  }
  budget.tokens -= 1;
  return true;
}

}  // namespace acaciaferry
