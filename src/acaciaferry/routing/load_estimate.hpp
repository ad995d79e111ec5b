#pragma once

#include <span>

#include "acaciaferry/core/time.hpp"
#include "acaciaferry/cost/cost.hpp"
#include "acaciaferry/routing/dispatch.hpp"
#include "acaciaferry/targets/target.hpp"

namespace acaciaferry {

/**
 * @brief What a target is estimated to be doing now.
 */
struct load_estimate {
  /** Prefill tokens that wait or run, of prompts of each kind. */
  double short_prefill_tokens{};
  double long_prefill_tokens{};
  double kv_used{};
  /** Zero when the target has not said. */
  double kv_capacity{};
  double running{};
  /** Whether there is a report that is young enough to be used. */
  bool is_reported{};
  duration report_age{};
  /** How far this VM's slowest unanswered dispatch is past its prediction. */
  duration overdue{};
};

/**
 * @brief Estimates a target's load from its last report, corrected for the
 * report's age and for this VM's dispatches that it does not show.
 * @param target The target.
 * @param own This VM's dispatches to it.
 * @param rates How fast it works.
 * @param now The time; a report from later than now counts as new.
 * @return The estimate; no figure is negative.
 */
[[nodiscard]] load_estimate EstimateLoad(const target& target,
                                         std::span<const dispatch> own,
                                         const target_rates& rates,
                                         time_point now);

}  // namespace acaciaferry
