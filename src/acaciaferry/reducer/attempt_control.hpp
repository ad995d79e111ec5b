#pragma once

#include "acaciaferry/core/time.hpp"
#include "acaciaferry/reducer/effect.hpp"
#include "acaciaferry/reducer/state.hpp"

namespace acaciaferry::internal {

/** @brief Refuses a request that has no record yet. */
void RefuseRequest(const request_id& id, const failure& reason, effects& out);

/** @brief Removes a request's record, its queue entries and its deadline. */
void RemoveRequest(state& state, const request_id& id, time_point now);

/** @brief Ends a request's current attempt, and cancels it on the target if it
 * may still hold memory there. */
void ReleaseAttempt(state& state,
                    request_record& record,
                    time_point now,
                    effects& out);

/** @brief Discards the partial answer of the previous attempt. */
void ResetAnswer(request_record& record);

/** @brief Fails a request and removes its record. */
void FailAndRemove(state& state,
                   request_record& record,
                   const failure& reason,
                   time_point now,
                   effects& out);

/** @brief Finishes a request whose answer is complete, and removes its
 * record. */
void FinishAndRemove(state& state,
                     request_record& record,
                     time_point now,
                     effects& out);

/**
 * @brief Starts an attempt on a target that the request has not failed on.
 *
 * A request suspected of crashing targets waits until a target runs few other
 * requests.
 *
 * @param no_target_failure The failure if there is no such target.
 */
void StartAttempt(state& state,
                  request_record& record,
                  const failure& no_target_failure,
                  time_point now,
                  effects& out);

/** @brief Forwards the call to the VM that minted its key. */
void StartForwardAttempt(state& state,
                         request_record& record,
                         const forward_call& owner,
                         time_point now,
                         effects& out);

/** @brief Starts the waiting suspects for which there is a target now. */
void StartWaitingSuspects(state& state, time_point now, effects& out);

/**
 * @brief Fails the waiting and running copies of quarantined requests.
 *
 * Operations that were started continue, because the outcome of a cancelled one
 * would stay unknown.
 */
void FailQuarantinedRequests(state& state, time_point now, effects& out);

/**
 * @brief Ends the current attempt, and retries if that is safe and the retry
 * budget allows it; otherwise fails the request.
 */
void RetryOrFail(state& state,
                 request_record& record,
                 attempt_end end,
                 retry_reason reason,
                 failure_code code,
                 time_point now,
                 effects& out);

/** @return The outcome to report if the request ends now without an answer. */
[[nodiscard]] outcome OutcomeIfEnded(const request_record& record,
                                     attempt_end end) noexcept;

/** @return The source of this process's evidence of crashes. */
[[nodiscard]] evidence_source OwnEvidenceSource(const state& state);

/** @return The fingerprint under which a request is quarantined. */
[[nodiscard]] std::uint64_t RequestFingerprint(const request& request);

}  // namespace acaciaferry::internal
