#pragma once

#include <span>
#include <unordered_map>
#include <vector>

#include "acaciaferry/core/name.hpp"
#include "acaciaferry/core/request_id.hpp"
#include "acaciaferry/core/time.hpp"

namespace acaciaferry {

/**
 * @brief An attempt that this VM has started and that is still in flight.
 */
struct dispatch {
  attempt_id attempt;
  time_point started_at{};
  double prefill_tokens{};
  double kv_tokens{};
  /** Prefill tokens estimated to be ahead of it at the target. */
  double prefill_ahead_tokens{};
  /** Predicted times from the dispatch to the first chunk and to the end of the
   * answer. */
  duration predicted_first_token{};
  duration predicted_run_time{};
  /** Zero until the first chunk arrives. */
  time_point last_chunk_at{};
  double output_tokens{};
  bool is_long{};

  [[nodiscard]] bool HasAnswered() const noexcept {
    return last_chunk_at != time_point{};
  }
};

/** This VM's dispatches by target; one entry for each attempt in flight. */
using own_dispatches = std::unordered_map<target_id, std::vector<dispatch>>;

/** @return This VM's dispatches to a target. */
[[nodiscard]] std::span<const dispatch> DispatchesTo(
    const own_dispatches& own,
    const target_id& target) noexcept;

/** @return The dispatch of an attempt, or null. */
[[nodiscard]] dispatch* FindDispatch(own_dispatches& own,
                                     const target_id& target,
                                     const attempt_id& attempt) noexcept;

/** @brief Removes a dispatch that has ended; does nothing when it is unknown.
 */
void EraseDispatch(own_dispatches& own,
                   const target_id& target,
                   const attempt_id& attempt);

}  // namespace acaciaferry
