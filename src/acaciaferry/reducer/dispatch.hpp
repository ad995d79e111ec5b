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
 * @brief Chooses a target for a request; draws from the state's generator.
 * @return The choice, or nothing when the pool has no target that the request
 * has not failed on.
 */
[[nodiscard]] std::optional<routing_choice>
ChooseFor(state& state, const request_record& record, time_point now);

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
 * @brief Drops waiting requests that can no longer finish, and starts those
 * that some target has room for.
 */
void DispatchWaiting(state& state, time_point now, effects& out);

/** @return When waiting requests must be looked at again, if any wait. */
[[nodiscard]] std::optional<time_point> NextDispatch(const state& state);

}  // namespace acaciaferry
