#pragma once

#include <cstddef>

#include "acaciaferry/core/time.hpp"
#include "acaciaferry/reducer/state.hpp"

namespace acaciaferry {

/** @brief Updates a target's measured rates from a chunk of the current
 * attempt. */
void ObserveChunk(state& state,
                  const request_record& record,
                  std::size_t bytes,
                  time_point now);

/**
 * @brief Erases the current attempt's dispatch, and updates the run time
 * estimate from its duration.
 * @param is_complete Whether the answer is complete; if not, the duration is
 * only a lower bound.
 */
void ObserveAttemptEnd(state& state,
                       const request_record& record,
                       bool is_complete,
                       time_point now);

}  // namespace acaciaferry
