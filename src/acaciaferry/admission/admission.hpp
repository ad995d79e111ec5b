#pragma once

#include <variant>

#include "acaciaferry/core/failure.hpp"
#include "acaciaferry/core/request.hpp"
#include "acaciaferry/core/time.hpp"
#include "acaciaferry/deployment/deployment.hpp"

namespace acaciaferry {

/**
 * @brief An admitted request's workload and deadline.
 */
struct admitted {
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
[[nodiscard]] std::variant<admitted, failure> Admit(const deployment& config,
                                                    const request& request,
                                                    time_point now);

}  // namespace acaciaferry
