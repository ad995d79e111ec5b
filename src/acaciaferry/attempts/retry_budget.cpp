#include "acaciaferry/attempts/retry_budget.hpp"

#include <algorithm>

namespace acaciaferry {
namespace internal {

// What a pool without any traffic may spend.
constexpr double kBurst = 5;
// Lets a quiet pool retry again after its burst; 1 in 10 s is negligible load.
constexpr double kRefillPerSecond = 0.1;
// Covers the loss of an engine that runs this many requests of one VM, and
// bounds the retries at once after a long time without failures.
constexpr double kMostEarned = 50;

retry_budget& Refilled(retry_budgets& budgets,
                       const pool_id& pool,
                       time_point now) {
  retry_budget& budget =
      budgets.pools.try_emplace(pool, retry_budget{kBurst, now}).first->second;
  if (budget.tokens < kBurst) {
    const double earned =
        ToSeconds(now - budget.refilled_at) * kRefillPerSecond;
    budget.tokens = std::min(kBurst, budget.tokens + earned);
  }
  budget.refilled_at = now;
  return budget;
}

}  // namespace internal

void EarnRetry(retry_budgets& budgets,
               const pool_id& pool,
               double fraction,
               time_point now) {
  retry_budget& budget = internal::Refilled(budgets, pool, now);
  budget.tokens = std::min(internal::kMostEarned, budget.tokens + fraction);
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
