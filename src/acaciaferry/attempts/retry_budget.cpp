#include "acaciaferry/attempts/retry_budget.hpp"

#include <algorithm>

namespace acaciaferry {
namespace internal {

// Retries available to a pool without previous traffic.
constexpr double kBurst = 5;
// Refills the burst of a pool with little traffic; 1 retry in 10 s is a
// negligible load.
constexpr double kRefillPerSecond = 0.1;
// Enough for the loss of an engine that runs this many requests of one VM.
// Bounds the burst of retries after a long time without failures.
constexpr double kMaxTokens = 50;

retry_budget& RefilledBudget(retry_budgets& budgets,
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
  retry_budget& budget = internal::RefilledBudget(budgets, pool, now);
  budget.tokens = std::min(internal::kMaxTokens, budget.tokens + fraction);
}

bool SpendRetry(retry_budgets& budgets,
                const pool_id& pool,
                double fraction,
                time_point now) {
  retry_budget& budget = internal::RefilledBudget(budgets, pool, now);
  if (fraction <= 0 || budget.tokens < 1) {
    return false;
  }
  budget.tokens -= 1;
  return true;
}

}  // namespace acaciaferry
