#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "acaciaferry/forwarding/state.hpp"

namespace acaciaferry::forwarding::internal {

/** Less time than this is no use to a target. */
inline constexpr duration kLeastTimeLeft = std::chrono::milliseconds(30);

/** @brief Places a call and starts its next attempt, or ends the call. */
void StartAttempt(state& current, flight& of, time_point now, effects& out);

/** @brief Places a prompt and sends it; or lets it wait, or refuses it. */
void StartPrompt(state& current,
                 flight& of,
                 const engine_properties& engine,
                 const std::vector<const target*>& candidates,
                 time_point now,
                 effects& out);

/** @brief Begins the next attempt of a call at a target. */
attempt& NewAttempt(flight& of, const target_id& first, time_point now);

/** @brief Sends the running attempt. */
void Send(state& current, flight& of, time_point now, effects& out);

/** @brief Adds jobs to the ledgers of this VM and of its peers. */
void Announce(state& current,
              std::vector<job> jobs,
              time_point now,
              effects& out);

/** @return Time until the first event is late; above zero. */
[[nodiscard]] duration AimLeft(const flight& of, time_point now);

/** @brief Ends the running attempt: its jobs, its tickets and, when asked, its
 * connection. */
void EndAttempt(state& current,
                flight& of,
                bool close,
                time_point now,
                effects& out);

/** @brief Answers the caller with a failure and forgets the call. */
void Fail(state& current,
          flight& of,
          failure_code code,
          time_point now,
          effects& out);

/** @brief Forgets a call whose answer is complete or whose caller left. */
void Forget(state& current, call_id id);

/**
 * @brief Starts another attempt when the call may be repeated and the bounds
 * on attempts and repeats allow it.
 * @param ran Whether the last attempt may have run.
 * @return Whether it did; else nothing was changed.
 */
[[nodiscard]] bool TryRepeat(state& current,
                             flight& of,
                             bool ran,
                             std::string_view reason,
                             time_point now,
                             effects& out);

/**
 * @brief As TryRepeat; when that does nothing, ends the call with a failure.
 */
void RepeatOrFail(state& current,
                  flight& of,
                  bool ran,
                  failure_code code,
                  std::string_view reason,
                  time_point now,
                  effects& out);

/** @brief Settles one reservation of the running attempt. */
void SettleReservation(state& current,
                       flight& of,
                       const reservation_settled& settled,
                       time_point now,
                       effects& out);

/** @brief Renews the reservations that are due. */
void RenewReservations(flight& of, time_point now, effects& out);

/** @return The key of a call's attempt in the ledgers of all VMs. */
[[nodiscard]] dispatch_id KeyOf(const state& current,
                                call_id id,
                                std::uint32_t number);

/** @brief Adds a decision to the effects. */
void Record(effects& out,
            decision_kind kind,
            const std::string& subject,
            std::vector<std::pair<std::string_view, std::string>> inputs);

/** @return Whole milliseconds as text. */
[[nodiscard]] std::string Millis(duration value);

}  // namespace acaciaferry::forwarding::internal
