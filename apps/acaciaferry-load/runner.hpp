#pragma once

#include <vector>

#include "acaciaferry/core/time.hpp"
#include "caller.hpp"
#include "options.hpp"
#include "result.hpp"

namespace acaciaferry::load {

/**
 * @brief Sends the plan as an open loop: each request at its own time,
 * whatever became of the earlier ones. Prints progress on standard error.
 * @param options Bound of the requests in flight.
 * @param plan The requests in order of time.
 * @param caller Sends each request.
 * @param clock Time source.
 * @return One result per request that was sent.
 */
[[nodiscard]] std::vector<request_result> RunPlan(
    const options& options,
    const std::vector<planned_request>& plan,
    const caller& caller,
    const clock_source& clock);

}  // namespace acaciaferry::load
