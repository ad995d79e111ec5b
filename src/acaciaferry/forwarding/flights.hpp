#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "acaciaferry/forwarding/state.hpp"

namespace acaciaferry::forwarding::internal {

/** An attempt with less time left than this is not started. */
inline constexpr duration kMinTimeLeft = std::chrono::milliseconds(30);

/** @brief Starts the next attempt of a call: asks a planner for its targets or
 * chooses them, or fails the call. */
void StartAttempt(state& current,
                  pending_call& pending,
                  time_point now,
                  effects& out);

/** @return The targets of a call's pool that take it now, without those that
 * were tried if there are others. */
[[nodiscard]] std::vector<const target*> Candidates(const state& current,
                                                    const pending_call& pending,
                                                    time_point now);

/** @return The targets of a pool that are neither leaving nor evacuated, the
 * reachable ones if there are any. */
[[nodiscard]] std::vector<const target*> ReachableTargets(const state& current,
                                                          const pool_id& pool,
                                                          time_point now);

/** @return The engine of a pool; null for a plain service. */
[[nodiscard]] const engine_properties* EngineOf(const state& current,
                                                const pool_id& pool);

/** @brief Decides where a call goes, or that it waits or is refused. */
[[nodiscard]] placement_verdict PlanCall(state& current,
                                         const pending_call& pending,
                                         time_point now,
                                         effects& out);

/**
 * @brief Decides whether a call waits for a slot.
 * @param engine Null for a plain service.
 * @param candidates Not empty.
 * @return That it waits here or is refused; nothing if it may be placed now.
 */
[[nodiscard]] std::optional<placement_verdict> AwaitSlot(
    state& current,
    const pending_call& pending,
    const engine_properties* engine,
    const std::vector<const target*>& candidates,
    time_point now,
    effects& out);

/** @return A refusal if slots are scarce and a short prompt that was not sent
 * yet would be late where it was placed; otherwise nothing. */
[[nodiscard]] std::optional<placement_verdict> RefuseIfLate(
    state& current,
    const pending_call& pending,
    const engine_properties& engine,
    const std::vector<const target*>& candidates,
    const placement& at,
    time_point now,
    effects& out);

/** @brief Records that a call was placed.
 * @param first_event Predicted time to its first event; 0 if unknown. */
void RecordSlotTaken(state& current,
                     const pending_call& pending,
                     const engine_properties* engine,
                     duration first_event,
                     time_point now);

/** @brief Ends a dispatch, which frees its slot. */
void EndDispatch(state& current, dispatch_id key, time_point now);

/** @brief Frees the slots of the dispatches that the ledger has ended on its
 * own, since their process is lost, is not running them or is overdue. */
void EndPlacedOutsideLedger(state& current);

/** @brief Decides on a prompt as PlanCall does.
 * @param candidates Not empty. */
[[nodiscard]] placement_verdict PlanPrompt(
    state& current,
    const pending_call& pending,
    const engine_properties& engine,
    const std::vector<const target*>& candidates,
    time_point now,
    effects& out);

/** @return Whether no single engine can hold a prompt and its response. */
[[nodiscard]] bool NeedsSpan(const engine_properties& engine,
                             const call& request) noexcept;

/** @return The jobs of a placed call at its targets. */
[[nodiscard]] std::vector<job> JobsOf(const state& current,
                                      const pending_call& pending,
                                      dispatch_id key,
                                      const placed_call& placed);

/** Whether peers are told of a dispatch: a planner tells them of those that it
 * has placed. */
enum class told_by { kThisVm, kPlanner };

/** @brief Starts the next attempt of a call as placed. */
void StartPlaced(state& current,
                 pending_call& pending,
                 const placed_call& placed,
                 told_by source,
                 time_point now,
                 effects& out);

/** @brief Places a call on this VM, whether or not it has planners. */
void PlaceHere(state& current,
               pending_call& pending,
               time_point now,
               effects& out);

/** @brief Answers the query of another VM, and counts the load that it will
 * cause. */
void AnswerQuery(state& current,
                 const placement_asked& asked,
                 time_point now,
                 effects& out);

/** @brief Applies the answer of a planner. */
void ApplyAnswer(state& current,
                 const placement_answer& answer,
                 time_point now,
                 effects& out);

/** @return The planner that is asked now; null if this VM decides itself. */
[[nodiscard]] const std::string* FindPlanner(const state& current,
                                             time_point now);

/** @brief Excludes a target from being chosen for a while, and tells the peers.
 */
void Distrust(state& current,
              const target_id& id,
              distrust_reason why,
              time_point now,
              effects& out);

/**
 * @brief Records that the running attempt found no connection: distrusts its
 * target or avoids its tunnel. If no target can be reached directly any more,
 * the other calls that are connecting move on through tunnels.
 */
void RecordNoConnection(state& current,
                        const pending_call& pending,
                        attempt_failure how,
                        time_point now,
                        effects& out);

/** @brief Records that the running attempt has a connection. */
void RecordConnection(state& current,
                      const pending_call& pending,
                      time_point now,
                      effects& out);

/** @brief Applies changed tunnels of other VMs. Calls that were connecting
 * directly for want of one move on. */
void ApplyTunnels(state& current,
                  const tunnels_changed& changed,
                  time_point now,
                  effects& out);

/** @brief Sends a probe that is due while targets are out of reach. */
void ProbeTargets(state& current, time_point now, effects& out);

/** @brief Applies the result of a probe. */
void ApplyProbe(state& current,
                const target_probed& result,
                time_point now,
                effects& out);

/** @return Time since the target of the running attempt was last heard. */
[[nodiscard]] duration SilentTime(const pending_call& pending, time_point now);

/** @return What this VM knows of a target that is silent for another one. */
[[nodiscard]] target_report ReportTarget(const state& current,
                                         const target_query& query,
                                         time_point now);

/** @brief Asks a planner about the silent target of the running attempt.
 * @return Whether there is a planner. */
[[nodiscard]] bool AskAboutSilence(state& current,
                                   pending_call& pending,
                                   time_point now,
                                   effects& out);

/** @brief Gives the target of the running attempt more time, or retries the
 * call elsewhere. */
void JudgeSilence(state& current,
                  pending_call& pending,
                  const target_report& known,
                  time_point now,
                  effects& out);

/** @brief Applies a planner's answer about a silent target, unless the target
 * was heard meanwhile. */
void ApplyTargetReport(state& current,
                       const target_report& report,
                       time_point now,
                       effects& out);

/** @brief Notes that the planner of a call has not answered in time. */
void RecordSilentPlanner(state& current,
                         const pending_call& pending,
                         time_point now,
                         effects& out);

/** Share of the latency objective that is left within which all reservations
 * of a prompt must be held. */
[[nodiscard]] duration ReservationTime(const pending_call& pending,
                                       time_point now);

/** Engines don't answer reservations in less time. */
inline constexpr duration kMinReservationTime = std::chrono::milliseconds(20);

/** @return A shortest wait for refused callers, with jitter that keeps those
 * that are refused together from returning together; longer if the pool has no
 * room until later. */
[[nodiscard]] duration RetryAfter(state& current,
                                  const pending_call& pending,
                                  time_point now);

/** @return Whether a call that may have run waits until a target has room. */
[[nodiscard]] bool CanWaitForRoom(const pending_call& pending,
                                  time_point room,
                                  time_point now);

/** @brief Creates the next attempt of a call at a target. */
attempt& NewAttempt(pending_call& pending,
                    const target_id& chosen,
                    time_point now);

/** @return Time without an event after which a stream is silent. */
[[nodiscard]] duration ProgressTimeout(const call& request);

/** @brief Counts the time in which the running attempt may be silent from now
 * on; its request was just sent. */
void StartProgressTimeout(pending_call& pending, time_point now);

/** @brief Logs a complete response and records its latencies. */
void RecordResponse(const pending_call& pending, time_point now, effects& out);

/** @brief Sends the running attempt to its target. */
void SendAttempt(state& current,
                 pending_call& pending,
                 time_point now,
                 effects& out);

/** @brief Adds jobs to this VM's ledger and publishes them to peers. */
void RecordDispatch(state& current,
                    std::vector<job> jobs,
                    told_by source,
                    time_point now,
                    effects& out);

/** @return Time left until the latency objective is missed, at least 1 µs. */
[[nodiscard]] duration RemainingLatency(const pending_call& pending,
                                        time_point now);

/** @brief Ends the running attempt: ends its jobs, releases its tickets and
 * closes its connection if `close` is set. */
void EndAttempt(state& current,
                pending_call& pending,
                bool close,
                time_point now,
                effects& out);

/** @brief Ends the attempt whose stream is silent, if there is one, as
 * EndAttempt does with `close` set. */
void EndSilentAttempt(state& current,
                      pending_call& pending,
                      time_point now,
                      effects& out);

/** Why a call goes back to its silent attempt. */
enum class way_back { kHeard, kNoOtherTarget };

/** @brief Ends the attempt that was to go on with a silent stream, and runs the
 * silent one, which must exist, again. */
void GoBackToSilentAttempt(state& current,
                           pending_call& pending,
                           way_back why,
                           time_point now,
                           effects& out);

/** @brief Responds to the caller with a failure, or aborts a response that was
 * passed on in part, and removes the call. Before its deadline, a call with a
 * silent attempt goes back to that one instead. */
void FailCall(state& current,
              pending_call& pending,
              failure_code code,
              time_point now,
              effects& out);

/** @brief Removes a call that is complete or whose caller has disconnected. */
void RemoveCall(state& current, call_id id);

/**
 * @brief Starts another attempt if the call may be retried and the limits on
 * attempts and retries allow it.
 * @param ran Whether the last attempt may have run.
 * @return Whether an attempt was started; otherwise nothing has changed.
 */
[[nodiscard]] bool TryRetry(state& current,
                            pending_call& pending,
                            bool ran,
                            std::string_view reason,
                            time_point now,
                            effects& out);

/**
 * @brief Retries a call as TryRetry does, or fails it if that is not possible.
 */
void RetryOrFail(state& current,
                 pending_call& pending,
                 bool ran,
                 failure_code code,
                 std::string_view reason,
                 time_point now,
                 effects& out);

/** Lease time of reserved memory. It is short, so that engines get the memory
 * back soon after this process has ended without releasing it. */
inline constexpr duration kLeaseTime = std::chrono::milliseconds(3'000);
inline constexpr duration kRenewAfter = std::chrono::milliseconds(1'200);

/** @brief Processes the result of an order about a ticket: fails the call if
 * its reservation was refused, sends the attempt once all are held, and
 * releases a ticket again whose release the order has overtaken. */
void SettleTicketOrder(state& current,
                       const ticket_order_settled& settled,
                       time_point now,
                       effects& out);

/** @brief Releases the tickets of an attempt of a call. */
void ReleaseReservations(state& current,
                         const pending_call& pending,
                         const attempt& ended,
                         time_point now,
                         effects& out);

/** @return When a running attempt has to give back its tickets because no
 * response has begun; nothing if it has none, or a response has begun. */
[[nodiscard]] std::optional<time_point> UnusedReservationsDue(
    const state& current,
    const pending_call& pending);

/** @brief Renews the reservations that are due for renewal. */
void RenewReservations(pending_call& pending, time_point now, effects& out);

/** @brief Releases closing tickets again while an unanswered order may still
 * set their memory aside, and forgets the others. */
void ReleaseClosingTickets(state& current, time_point now, effects& out);

enum class quarantine_verdict {
  kRuns,
  /** It is not known yet whether the last targets of such requests have gone.
   */
  kWaits,
  kRefused,
};

/** @return Whether a call may run although requests like it have crashed their
 * targets. The first attempt of a call that tests whether they still do may. */
[[nodiscard]] quarantine_verdict JudgeByCrashes(state& current,
                                                pending_call& pending,
                                                time_point now,
                                                effects& out);

/** @brief Records that the running attempt lost its connection after its
 * request was sent. It is evidence against the call if the target has gone, and
 * at once against the parts of its prompt unless its stream had begun. */
void RecordLostExchange(state& current,
                        const pending_call& pending,
                        time_point now,
                        effects& out);

/** @return Whether a call is refused for parts of its prompt that crash their
 * targets. A stream that has begun is not, nor is the first attempt of a call
 * that tests a refused part. */
[[nodiscard]] bool IsRefusedForParts(state& current,
                                     pending_call& pending,
                                     time_point now);

/** @brief Records that the target of the running attempt crashed before the
 * call's first event. */
void RecordCrashOfParts(state& current,
                        const pending_call& pending,
                        time_point now,
                        effects& out);

/** @brief Drops the lost exchanges of a target that has responded to an attempt
 * which started after them. */
void RecordAlive(state& current, const attempt& heard, effects& out);

/** @brief Judges the lost exchanges of a target that was checked. */
void ApplyCheck(state& current,
                const target_checked& result,
                time_point now,
                effects& out);

/** @brief Checks the targets of lost exchanges that are due, and takes those
 * that were not heard in time to have gone. */
void SettleLostExchanges(state& current,
                         time_point input_read_until,
                         time_point now,
                         effects& out);

/** @brief Does what is due: fails the calls that are past their deadline,
 * retries deferred placements, handles attempts without progress, judges lost
 * exchanges, and forgets what has expired.
 * @param input_read_until All input that had arrived by then has been handled;
 * nobody counts as silent after it. */
void HandleTimeouts(state& current,
                    time_point input_read_until,
                    time_point now,
                    effects& out);

/** @brief Records that a call was answered in full, which clears the evidence
 * against requests like it. */
void RecordWhole(state& current,
                 const pending_call& pending,
                 time_point now,
                 effects& out);

/** @brief Merges what a peer knows of requests that crash their targets. A hub
 * passes on what makes it refuse one. */
void MergeSuspectReports(state& current,
                         const suspect_reports_received& received,
                         time_point now,
                         effects& out);

/** @brief Records that an answer began, or is complete if it has no events,
 * which clears the call's parts. */
void RecordAnswer(state& current,
                  const pending_call& pending,
                  time_point now,
                  effects& out);

/** @brief Replaces the published targets, and forgets what is known of those
 * that have gone or restarted. */
void ApplyPublishedTargets(state& current,
                           const targets_published& published,
                           time_point now,
                           effects& out);

/** @brief Limits the published targets whose entries say that they are cold. */
void ApplyStatedColdTimes(state& current,
                          const targets_published& published,
                          time_point now,
                          effects& out);

/** @brief Records that a response of a target says for how much longer it is
 * cold, and tells the peers if that is news. A response of another process of
 * the target than the published one, by its incarnation, says nothing. */
void RecordCold(state& current,
                const target_id& id,
                std::uint64_t incarnation,
                duration cold_for,
                time_point now,
                effects& out);

/** @brief Sets the part of a cold target's limit that this VM uses by the
 * number of VMs that place calls. */
void UpdateOwnShare(state& current, time_point now);

/** @brief Forgets limits that have ended. */
void ExpireLimits(state& current, time_point now, effects& out);

/** @brief Records what a response says of its target's limit, and tells the
 * peers of a change. */
void RecordLimit(state& current,
                 const target_id& id,
                 const limit_statement& stated,
                 time_point now,
                 effects& out);

/** @brief Applies what a peer knows of limits. */
void MergeLimits(state& current,
                 const limit_reports_received& received,
                 time_point now,
                 effects& out);

/** @brief Records what a response says of whether its target takes further
 * requests, and tells the peers if it is leaving. A response of another process
 * of the target than the published one, by its incarnation, says nothing. */
void RecordAvailability(state& current,
                        const target_id& id,
                        std::uint64_t incarnation,
                        const availability_statement& stated,
                        time_point now,
                        effects& out);

/** @brief Marks targets as leaving that have said so to a peer. */
void MergeLeavingTargets(state& current,
                         std::span<const leaving_target> leaving,
                         effects& out);

/** @return Whether a target that was chosen still takes a request: it has not
 * said that it leaves, or that it wants none now, and is not evacuated. */
[[nodiscard]] bool TakesRequests(const state& current,
                                 const target_id& id,
                                 time_point now);

/** @brief Counts the requests of some jobs against the limits of their
 * targets. */
void CountAgainstLimits(state& current,
                        std::span<const job> jobs,
                        target_limits::placed_by source,
                        time_point now);

/** @return Whether a target takes a request now: its limit leaves room for it,
 * and it has not refused this VM for some time. */
[[nodiscard]] bool HasRoom(const state& current,
                           const target_id& id,
                           time_point now);

/** @return When any of some targets takes a request: `now` or later; nothing if
 * there are no targets. */
[[nodiscard]] std::optional<time_point> NextRoom(
    const state& current,
    std::span<const target* const> targets,
    time_point now);

/** @return Those of some targets that have a limit, as cold ones have. Parts of
 * prompts are read elsewhere if possible: each uses up one of the requests that
 * the target takes. */
[[nodiscard]] std::vector<target_id> LimitedAmong(
    const state& current,
    std::span<const target* const> targets,
    time_point now);

/** @return How long a refused caller should wait until a pool without room
 * takes its call. */
[[nodiscard]] duration WaitForRoom(state& current,
                                   const pending_call& pending,
                                   std::span<const target* const> targets,
                                   time_point now);

/** @brief Logs changed verdicts on parts of prompts and tells the peers. */
void ApplyVerdicts(const part_verdicts& verdicts, effects& out);

/** @return The fleet-wide id of an attempt's dispatch. */
[[nodiscard]] dispatch_id DispatchIdOf(const state& current,
                                       call_id id,
                                       std::uint32_t number);

/** @return The fleet-wide id of the dispatch that a call's next attempt will
 * be.
 */
[[nodiscard]] dispatch_id NextDispatch(const state& current,
                                       const pending_call& pending);

/** @brief Adds an entry of the decision log to the effects. */
void LogDecision(effects& out,
                 decision_kind kind,
                 const std::string& subject,
                 std::vector<std::pair<std::string_view, std::string>> inputs);

/** @return A duration in whole milliseconds, as text. */
[[nodiscard]] std::string ToMillisText(duration value);

}  // namespace acaciaferry::forwarding::internal
