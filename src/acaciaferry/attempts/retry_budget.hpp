#pragma once

#include <unordered_map>

#include "acaciaferry/core/name.hpp"
#include "acaciaferry/core/time.hpp"

namespace acaciaferry {

/**
 * @brief Retries that one pool may still make.
 */
struct retry_budget {
  double tokens{};
  time_point refilled_at{};
};

/**
 * @brief The retry budgets of all pools; one entry for each pool that had
 * traffic, so bounded by the configuration.
 */
struct retry_budgets {
  std::unordered_map<pool_id, retry_budget> pools;
};

/**
 * @brief Earns a fraction of a retry from a successful request.
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
 * @param pool The pool that would be tried again.
 * @param fraction Retries for each success; zero forbids every retry.
 * @param now The time.
 * @return Whether the retry may be made.
 */
[[nodiscard]] bool SpendRetry(retry_budgets& budgets,
                              const pool_id& pool,
                              double fraction,
                              time_point now);

}  // namespace acaciaferry
