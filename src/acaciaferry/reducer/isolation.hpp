#pragma once

#include <vector>

#include "acaciaferry/core/name.hpp"
#include "acaciaferry/core/time.hpp"
#include "acaciaferry/reducer/state.hpp"

namespace acaciaferry {

/**
 * @brief Lists the targets that a request should avoid, so that a request
 * suspected of crashing targets shares a target with no other suspect and with
 * few other requests.
 * @param state The state.
 * @param record The request.
 * @param now The current time.
 * @return Targets of its pool; empty when no request is a suspect.
 */
[[nodiscard]] std::vector<target_id> TargetsToAvoid(
    const state& state,
    const request_record& record,
    time_point now);

/** @return Whether the request is suspected of crashing targets. */
[[nodiscard]] bool IsSuspectRequest(const state& state,
                                    const request_record& record,
                                    time_point now);

}  // namespace acaciaferry
