#pragma once

#include <cstddef>

#include "acaciaferry/core/time.hpp"
#include "acaciaferry/reducer/state.hpp"

namespace acaciaferry {

/** @brief Learns a target's rates from a chunk of the current attempt. */
void ObserveChunk(state& state,
                  const request_record& record,
                  std::size_t bytes,
                  time_point now);

/**
 * @brief Forgets the current attempt's dispatch, and learns from how long it
 * took.
 * @param is_complete Whether the answer is complete; if not, what was seen is
 * only a lower bound.
 */
void ObserveAttemptEnd(state& state,
                       const request_record& record,
                       bool is_complete,
                       time_point now);

}  // namespace acaciaferry
