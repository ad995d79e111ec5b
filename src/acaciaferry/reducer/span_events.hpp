#pragma once

#include "acaciaferry/core/time.hpp"
#include "acaciaferry/reducer/effect.hpp"
#include "acaciaferry/reducer/state.hpp"

namespace acaciaferry {

/** @return Whether the request exceeds the memory of one engine. */
[[nodiscard]] bool NeedsSpan(const state& state, const request_record& record);

/** @brief Starts to reserve memory on the engines that a request needs. */
void StartSpan(state& state,
               const request_record& record,
               time_point now,
               effects& out);

/** @brief Releases the reservations of a request. */
void ReleaseSpan(state& state, const request_id& id, effects& out);

/** @brief Starts due reservation rounds and renewals, and retries requests that
 * lost a span member. */
void MaintainSpans(state& state, time_point now, effects& out);

/** @brief Handle an engine's answer about a reservation. */
void OnSpanEvent(state& state,
                 const reservation_granted& event,
                 time_point now,
                 effects& out);
void OnSpanEvent(state& state,
                 const reservation_renewed& event,
                 time_point now,
                 effects& out);
void OnSpanEvent(state& state,
                 const reservation_refused& event,
                 time_point now,
                 effects& out);
void OnSpanEvent(state& state,
                 const reservation_lost& event,
                 time_point now,
                 effects& out);

}  // namespace acaciaferry
