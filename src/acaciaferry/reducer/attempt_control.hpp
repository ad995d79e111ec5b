#pragma once

#include "acaciaferry/core/time.hpp"
#include "acaciaferry/reducer/effect.hpp"
#include "acaciaferry/reducer/state.hpp"

namespace acaciaferry::internal {

/** @brief Refuses a request that has no record. */
void Refuse(const request_id& id, const failure& reason, effects& out);

/** @brief Removes a request's record. */
void Remove(state& state, const request_id& id, time_point now);

/** @brief Ends a request's current attempt and cancels what it holds. */
void ReleaseAttempt(state& state,
                    request_record& record,
                    time_point now,
                    effects& out);

/** @brief Makes room for the answer of a new attempt. */
void ForgetAnswer(request_record& record);

/** @brief Ends a request with a failure; its record is gone afterwards. */
void Fail(state& state,
          request_record& record,
          const failure& reason,
          time_point now,
          effects& out);

/** @brief Ends a request whose answer is whole; its record is gone
 * afterwards. */
void Finish(state& state, request_record& record, time_point now, effects& out);

/**
 * @brief Tries the request on a target that it has not failed on.
 *
 * A suspect waits until there is a target where few others run.
 *
 * @param when_none The failure when there is no target.
 */
void StartAttempt(state& state,
                  request_record& record,
                  const failure& when_none,
                  time_point now,
                  effects& out);

/** @brief Sends the call to the VM that minted its key. */
void StartForward(state& state,
                  request_record& record,
                  const forward_call& owner,
                  time_point now,
                  effects& out);

/** @brief Starts the waiting suspects that have a place now. */
void StartWaitingSuspects(state& state, time_point now, effects& out);

/**
 * @brief Ends the current attempt, and tries again where that is safe and the
 * budget allows it.
 */
void RetryOrFail(state& state,
                 request_record& record,
                 attempt_end end,
                 retry_reason reason,
                 failure_code code,
                 time_point now,
                 effects& out);

/** @return What may be said of a request that ends now without an answer. */
[[nodiscard]] outcome OutcomeNow(const request_record& record,
                                 attempt_end end) noexcept;

/** @return The identity under which evidence of crashes is told to peers. */
[[nodiscard]] evidence_source Self(const state& state);

/** @return The fingerprint under which a request is quarantined. */
[[nodiscard]] std::uint64_t FingerprintOf(const request& request);

}  // namespace acaciaferry::internal
