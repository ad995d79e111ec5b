#pragma once

#include "acaciaferry/core/time.hpp"
#include "acaciaferry/reducer/effect.hpp"
#include "acaciaferry/reducer/event.hpp"
#include "acaciaferry/reducer/state.hpp"

namespace acaciaferry {

/**
 * @brief Ends a request with a failure.
 * @param id A request that has not ended.
 */
void FailRequest(state& state,
                 const request_id& id,
                 const failure& reason,
                 time_point now,
                 effects& out);

/** @brief Ends a request whose caller disconnected, unless it runs as an
 * operation. */
void OnCallerDisconnected(state& state,
                          const request_id& id,
                          time_point now,
                          effects& out);

/** @brief Fails every request whose deadline has passed. */
void ExpireRequests(state& state, time_point now, effects& out);

/** @brief Resumes or fails over streams without progress. */
void CheckProgress(state& state, time_point now, effects& out);

/** @brief Handle events of an attempt; those of superseded attempts are
 * ignored. */
void OnAttemptEvent(state& state,
                    const attempt_sent& event,
                    time_point now,
                    effects& out);
void OnAttemptEvent(state& state,
                    const attempt_accepted& event,
                    time_point now,
                    effects& out);
void OnAttemptEvent(state& state,
                    const attempt_rejected& event,
                    time_point now,
                    effects& out);
void OnAttemptEvent(state& state,
                    const attempt_progressed& event,
                    time_point now,
                    effects& out);
void OnAttemptEvent(state& state,
                    const answer_chunk& event,
                    time_point now,
                    effects& out);
void OnAttemptEvent(state& state,
                    const answer_ended& event,
                    time_point now,
                    effects& out);
void OnAttemptEvent(state& state,
                    const attempt_failed& event,
                    time_point now,
                    effects& out);

}  // namespace acaciaferry
