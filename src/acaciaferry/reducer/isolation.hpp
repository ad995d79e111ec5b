#pragma once

#include <vector>

#include "acaciaferry/core/name.hpp"
#include "acaciaferry/core/time.hpp"
#include "acaciaferry/reducer/state.hpp"

namespace acaciaferry {

/**
 * @brief Lists the targets that a request should avoid so that suspects of
 * crashes stay apart: from one another, and from all but a few requests.
 * @param state The state.
 * @param record The request.
 * @param now The current time.
 * @return Targets of its pool; empty when nobody is a suspect.
 */
[[nodiscard]] std::vector<target_id> TargetsToAvoid(
    const state& state,
    const request_record& record,
    time_point now);

/** @return Whether targets have crashed while they ran this request. */
[[nodiscard]] bool IsSuspectRequest(const state& state,
                                    const request_record& record,
                                    time_point now);

}  // namespace acaciaferry
