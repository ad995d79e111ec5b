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
 * @brief Decides whether a request may run, and by when it must have ended.
 * @param config The deployment in force.
 * @param request The request.
 * @param now The time of its arrival.
 * @return The workload and deadline, or the refusal, which is always not run.
 */
[[nodiscard]] std::variant<admitted_request, failure>
Admit(const deployment& config, const request& request, time_point now);

/**
 * @brief What is predicted for a request that is about to be queued.
 */
struct admission_prediction {
  /** Time in this VM's queue. */
  duration wait{};
  /** From the dispatch to the first token, and to the end. */
  duration first_token{};
  duration run_time{};
  /** Whether the prediction rests on a target's own figures. */
  bool uses_reported_rates{};
  /** Requests of the same workload that wait. */
  std::size_t waiting{};
};

/**
 * @brief Refuses a request that is predicted to be late, or whose queue is
 * full.
 * @param work The request's workload.
 * @param remaining Time until its deadline.
 * @param expected The prediction.
 * @return The refusal with the time after which it may succeed, or nothing.
 */
[[nodiscard]] std::optional<failure> CheckPrediction(
    const workload& work,
    duration remaining,
    const admission_prediction& prediction);

/** @return A refusal of a request that was not run. */
[[nodiscard]] failure NotRunFailure(
    failure_code code,
    std::optional<duration> retry_after = {}) noexcept;

}  // namespace acaciaferry
