#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "acaciaferry/forwarding/state.hpp"

namespace acaciaferry::forwarding::internal {

/** Less time than this is no use to a target. */
inline constexpr duration kMinTimeLeft = std::chrono::milliseconds(30);

/** @brief Places a call and starts its next attempt, or ends the call. */
void StartAttempt(state& current,
                  pending_call& pending,
                  time_point now,
                  effects& out);

/** @brief Places a prompt and sends it; or lets it wait, or refuses it. */
void StartPrompt(state& current,
                 pending_call& pending,
                 const engine_properties& engine,
                 const std::vector<const target*>& candidates,
                 time_point now,
                 effects& out);

/** @brief Begins the next attempt of a call at a target. */
attempt& NewAttempt(pending_call& pending,
                    const target_id& first,
                    time_point now);

/** @brief Sends the running attempt. */
void SendAttempt(state& current,
                 pending_call& pending,
                 time_point now,
                 effects& out);

/** @brief Adds jobs to the ledgers of this VM and of its peers. */
void RecordDispatch(state& current,
                    std::vector<job> jobs,
                    time_point now,
                    effects& out);

/** @return Time until the first event is late; above zero. */
[[nodiscard]] duration RemainingLatency(const pending_call& pending,
                                        time_point now);

/** @brief Ends the running attempt: its jobs, its tickets and, when asked, its
 * connection. */
void EndAttempt(state& current,
                pending_call& pending,
                bool close,
                time_point now,
                effects& out);

/** @brief Answers the caller with a failure and forgets the call. */
void FailCall(state& current,
              pending_call& pending,
              failure_code code,
              time_point now,
              effects& out);

/** @brief Forgets a call whose answer is complete or whose caller left. */
void RemoveCall(state& current, call_id id);

/**
 * @brief Starts another attempt when the call may be repeated and the bounds
 * on attempts and repeats allow it.
 * @param ran Whether the last attempt may have run.
 * @return Whether it did; else nothing was changed.
 */
[[nodiscard]] bool TryRetry(state& current,
                            pending_call& pending,
                            bool ran,
                            std::string_view reason,
                            time_point now,
                            effects& out);

/**
 * @brief As TryRepeat; when that does nothing, ends the call with a failure.
 */
void RetryOrFail(state& current,
                 pending_call& pending,
                 bool ran,
                 failure_code code,
                 std::string_view reason,
                 time_point now,
                 effects& out);

/** @brief Settles one reservation of the running attempt. */
void SettleReservation(state& current,
                       pending_call& pending,
                       const reservation_settled& settled,
                       time_point now,
                       effects& out);

/** @brief Renews the reservations that are due. */
void RenewReservations(pending_call& pending, time_point now, effects& out);

/** @return The key of a call's attempt in the ledgers of all VMs. */
[[nodiscard]] dispatch_id DispatchIdOf(const state& current,
                                       call_id id,
                                       std::uint32_t number);

/** @brief Adds a decision to the effects. */
void LogDecision(effects& out,
                 decision_kind kind,
                 const std::string& subject,
                 std::vector<std::pair<std::string_view, std::string>> inputs);

/** @return Whole milliseconds as text. */
[[nodiscard]] std::string ToMillisText(duration value);

}  // namespace acaciaferry::forwarding::internal
