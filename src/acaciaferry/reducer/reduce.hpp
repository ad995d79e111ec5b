#pragma once

#include <optional>

#include "acaciaferry/core/time.hpp"
#include "acaciaferry/reducer/effect.hpp"
#include "acaciaferry/reducer/event.hpp"
#include "acaciaferry/reducer/state.hpp"

namespace acaciaferry {

/**
 * @brief Applies one event to the state.
 *
 * Expired deadlines are handled before the event itself. The same events at
 * the same times give the same effects.
 *
 * @param state The state, which is changed.
 * @param event What happened.
 * @param time When it happened. One earlier than in the call before is
 * counted, and the event is handled at the later time.
 * @return What must be done, in order.
 */
[[nodiscard]] effects Reduce(state& state, const event& event, time_point time);

/**
 * @brief Tells when the timer must fire next.
 * @param state The state.
 * @return The earliest deadline, or nothing when none is pending.
 */
[[nodiscard]] std::optional<time_point> NextTimer(const state& state);

}  // namespace acaciaferry
