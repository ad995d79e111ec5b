#pragma once

#include <unordered_map>

#include "acaciaferry/core/name.hpp"
#include "acaciaferry/core/time.hpp"

namespace acaciaferry {

/**
 * @brief The retry budget of one pool, in retries.
 */
struct retry_budget {
  double tokens{};
  time_point refilled_at{};
};

/**
 * @brief The retry budgets of the pools that had traffic, so their number is
 * bounded by the configuration.
 */
struct retry_budgets {
  std::unordered_map<pool_id, retry_budget> pools;
};

/**
 * @brief Adds a fraction of a retry to the budget after a successful request.
 * @param budgets The budgets.
 * @param pool The pool that answered.
 * @param fraction Retries for each success, 0 to 1.
 * @param now The time.
 */
void EarnRetry(retry_budgets& budgets,
               const pool_id& pool,
               double fraction,
               time_point now);

/**
 * @brief Spends one retry.
 * @param budgets The budgets.
 * @param pool The pool of the retry.
 * @param fraction Retries for each success; zero forbids every retry.
 * @param now The time.
 * @return Whether the retry may be made.
 */
[[nodiscard]] bool SpendRetry(retry_budgets& budgets,
                              const pool_id& pool,
                              double fraction,
                              time_point now);

}  // namespace acaciaferry
