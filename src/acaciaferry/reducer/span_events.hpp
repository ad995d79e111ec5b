#pragma once

#include "acaciaferry/core/time.hpp"
#include "acaciaferry/reducer/effect.hpp"
#include "acaciaferry/reducer/state.hpp"

namespace acaciaferry {

/** @return Whether the request needs the memory of several engines. */
[[nodiscard]] bool NeedsSpan(const state& state, const request_record& record);

/** @brief Begins to reserve the engines that a request needs. */
void StartSpan(state& state,
               const request_record& record,
               time_point now,
               effects& out);

/** @brief Releases what is reserved for a request. */
void ReleaseSpan(state& state, const request_id& id, effects& out);

/** @brief Starts rounds and renewals that are due. */
void MaintainSpans(state& state, time_point now, effects& out);

/** @brief Handle what an engine said of a reservation. */
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
