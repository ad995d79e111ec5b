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
 * Expired deadlines are handled before the event itself. The function is
 * deterministic: the same events at the same times give the same effects.
 *
 * @param state The state, which is changed.
 * @param event What happened.
 * @param time When it happened. If it is earlier than in a previous call, the
 * clock step is counted and the latest time so far is used.
 * @return The effects to execute, in order.
 */
[[nodiscard]] effects Reduce(state& state, const event& event, time_point time);

/**
 * @brief Tells when the timer must fire next.
 * @param state The state.
 * @return The earliest due time, or nothing when nothing is pending.
 */
[[nodiscard]] std::optional<time_point> NextTimer(const state& state);

}  // namespace acaciaferry
