#pragma once

#include <cstddef>
#include <optional>
#include <variant>

#include "acaciaferry/core/failure.hpp"
#include "acaciaferry/core/request.hpp"
#include "acaciaferry/core/time.hpp"
#include "acaciaferry/deployment/deployment.hpp"

namespace acaciaferry {

/**
 * @brief An admitted request's workload and deadline.
 */
struct admitted_request {
  workload work;
  time_point deadline;
};

/**
 * @brief Finds a request's workload and its deadline.
 * @param config The deployment in force.
 * @param request The request.
 * @param now The request's arrival time.
 * @return The workload and deadline, or a refusal, whose outcome is always
 * kNotRun.
 */
[[nodiscard]] std::variant<admitted_request, failure>
Admit(const deployment& config, const request& request, time_point now);

/**
 * @brief Prediction for a request that is about to be queued.
 */
struct admission_prediction {
  /** Waiting time in this VM's queue. */
  duration wait{};
  /** Times from the dispatch to the first token and to the end of the answer.
   */
  duration first_token{};
  duration run_time{};
  /** Whether the prediction is based on rates that a target reported. */
  bool uses_reported_rates{};
  /** Number of waiting requests of the same workload. */
  std::size_t waiting{};
};

/**
 * @brief Refuses a request that is predicted to miss its deadline or whose
 * workload has a full queue.
 * @param work The request's workload.
 * @param remaining Time until the request's deadline.
 * @param prediction The prediction.
 * @return The refusal, with the time after which a retry may succeed, or
 * nothing.
 */
[[nodiscard]] std::optional<failure> CheckPrediction(
    const workload& work,
    duration remaining,
    const admission_prediction& prediction);

/** @return A failure with the outcome kNotRun. */
[[nodiscard]] failure NotRunFailure(
    failure_code code,
    std::optional<duration> retry_after = {}) noexcept;

}  // namespace acaciaferry
