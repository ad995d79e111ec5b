#pragma once

#include <optional>
#include <string>
#include <vector>

#include "acaciaferry/core/time.hpp"
#include "acaciaferry/reducer/effect.hpp"
#include "acaciaferry/reducer/state.hpp"
#include "acaciaferry/routing/routing.hpp"

namespace acaciaferry {

/**
 * @brief Chooses a target for a request, using the state's random generator.
 * @return The choice, or nothing when the request may use none of the pool's
 * targets.
 */
[[nodiscard]] std::optional<routing_choice>
ChooseTargetFor(state& state, const request_record& record, time_point now);

/** @brief Starts an attempt on the chosen target. */
void LaunchAttempt(state& state,
                   request_record& record,
                   const routing_choice& choice,
                   time_point now,
                   effects& out);

/** @brief Starts an attempt on a span whose reservations are all granted. */
void LaunchSpanAttempt(state& state,
                       request_record& record,
                       const target_id& head,
                       std::vector<std::string> reservations,
                       time_point now,
                       effects& out);

/**
 * @brief Sheds queued requests that can no longer meet their deadline, and
 * starts those for which a target has capacity.
 */
void DispatchWaiting(state& state, time_point now, effects& out);

/** @return When DispatchWaiting must run next; nothing if no request waits. */
[[nodiscard]] std::optional<time_point> NextDispatch(const state& state);

}  // namespace acaciaferry
