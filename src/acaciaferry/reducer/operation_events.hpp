#pragma once

#include "acaciaferry/core/time.hpp"
#include "acaciaferry/operations/event.hpp"
#include "acaciaferry/reducer/effect.hpp"
#include "acaciaferry/reducer/state.hpp"

namespace acaciaferry {

/** @brief Mints a key for a caller. */
void OnOperationKeyRequested(state& state,
                             const operation_key_requested& event,
                             time_point now,
                             effects& out);

/**
 * @brief Decides a call whose key needs an answer other than running it here.
 * @param state The state.
 * @param request The call.
 * @param now The time.
 * @param out Receives the reply, or the attempt that forwards the call.
 * @return False when the call may run here as any other.
 */
[[nodiscard]] bool ReplyFromOperations(state& state,
                                       const request& request,
                                       time_point now,
                                       effects& out);

/**
 * @brief Marks the key of an admitted call as spent.
 * @param state The state.
 * @param record The call.
 * @return False when the spent set is full.
 */
[[nodiscard]] bool SpendKey(state& state, request_record& record);

}  // namespace acaciaferry
