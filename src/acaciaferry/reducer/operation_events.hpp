#pragma once

#include <cstdint>
#include <optional>
#include <variant>

#include "acaciaferry/core/time.hpp"
#include "acaciaferry/operations/event.hpp"
#include "acaciaferry/reducer/effect.hpp"
#include "acaciaferry/reducer/state.hpp"

namespace acaciaferry {

/** @brief Mints an operation key for a caller. */
void OnOperationKeyRequested(state& state,
                             const operation_key_requested& event,
                             time_point now,
                             effects& out);

/** The call was answered, refused or forwarded. */
struct call_handled {};

/** The call may run here. The sequence number is that of its operation key, if
 * it has one. */
struct call_may_run {
  std::optional<std::uint64_t> operation_sequence;
};

/**
 * @brief Checks the operation key of a call, and marks it as spent before the
 * call may run here.
 * @param state The state.
 * @param request The call.
 * @param now The time.
 * @param out Receives the reply, or the attempt that forwards the call.
 * @return Whether the call was handled or may run here.
 */
[[nodiscard]] std::variant<call_handled, call_may_run> CheckOperationKey(
    state& state,
    const request& request,
    time_point now,
    effects& out);

}  // namespace acaciaferry
