#pragma once

#include <span>

#include "acaciaferry/core/time.hpp"
#include "acaciaferry/cost/cost.hpp"
#include "acaciaferry/routing/dispatch.hpp"
#include "acaciaferry/targets/target.hpp"

namespace acaciaferry {

/**
 * @brief Estimate of a target's current load.
 */
struct load_estimate {
  /** Prefill tokens, queued or running, of short and of long prompts. */
  double short_prefill_tokens{};
  double long_prefill_tokens{};
  /** KV-cache tokens in use. */
  double kv_used{};
  /** Zero when the target has not reported it. */
  double kv_capacity{};
  /** Requests that run or wait on the target. */
  double running{};
  /** Whether there is a report that is recent enough to be used. */
  bool is_reported{};
  duration report_age{};
  /** How long this VM's slowest unanswered dispatch is overdue. */
  duration overdue{};
};

/**
 * @brief Estimates a target's load from its last report, corrected for the
 * report's age and for this VM's dispatches that are not in it.
 * @param target The target.
 * @param own This VM's dispatches to it.
 * @param rates Its processing rates.
 * @param now The time; a report with a later time counts as new.
 * @return The estimate; no value is negative.
 */
[[nodiscard]] load_estimate EstimateLoad(const target& target,
                                         std::span<const dispatch> own,
                                         const target_rates& rates,
                                         time_point now);

}  // namespace acaciaferry
