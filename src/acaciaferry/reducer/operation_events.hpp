#pragma once

#include <cstdint>
#include <optional>
#include <variant>

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

/** The call was answered, refused or forwarded. */
struct call_replied {};

/** The call may run here, as the operation if there is one. */
struct call_may_run {
  std::optional<std::uint64_t> operation;
};

/**
 * @brief Decides what the key of a call means; spends it before the call may
 * run here.
 * @param state The state.
 * @param request The call.
 * @param now The time.
 * @param out Receives the reply, or the attempt that forwards the call.
 * @return Whether the call is still to be run.
 */
[[nodiscard]] std::variant<call_replied, call_may_run> ConsultOperations(
    state& state,
    const request& request,
    time_point now,
    effects& out);

}  // namespace acaciaferry
