#include <algorithm>
#include <utility>
#include <vector>

#include "acaciaferry/forwarding/flights.hpp"
#include "acaciaferry/forwarding/state.hpp"

namespace acaciaferry::forwarding::internal {
namespace {

constexpr duration kSweepInterval = std::chrono::seconds(1);

struct timeout_handler {
  state& current;
  time_point now;
  /** Nobody counts as silent after this time. */
  time_point input_read_until;
  effects& out;

  void Handle() const {
    SettleLostExchanges(current, input_read_until, now, out);
    std::vector<call_id> due;
    for (const auto& [id, pending] : current.pending_calls) {
      if (IsDue(pending)) {
        due.push_back(id);
      }
    }
    for (const call_id id : due) {
      // Handling one call may have moved the others on, or ended them.
      const auto at = current.pending_calls.find(id);
      if (at == current.pending_calls.end() || !IsDue(at->second)) {
        continue;
      }
      pending_call& pending = at->second;
      if (IsPastDeadline(pending)) {
        FailCall(current, pending,
                 pending.may_have_run || (pending.running_attempt &&
                                          pending.running_attempt->sent)
                     ? failure_code::kDeadlineExceeded
                     : failure_code::kDeadlineTooShort,
                 now, out);
      } else if (const auto unused_due =
                     UnusedReservationsDue(current, pending);
                 unused_due && *unused_due <= now) {
        RetryOrFail(current, pending, pending.running_attempt->sent,
                    failure_code::kSpanUnavailable, "unused_reservation", now,
                    out);
      } else if (IsPlacementDue(pending)) {
        if (!pending.asked_planner.empty()) {
          RecordSilentPlanner(current, pending, now, out);
        }
        StartAttempt(current, pending, now, out);
      } else {
        HandleSilentAttempt(pending);
      }
    }
    for (auto& [id, pending] : current.pending_calls) {
      RenewReservations(pending, now, out);
    }
    ReleaseClosingTickets(current, now, out);
    ProbeTargets(current, now, out);
    if (current.next_sweep <= now) {
      current.next_sweep = now + kSweepInterval;
      current.ledger.Expire(now);
      EndPlacedOutsideLedger(current);
      ExpireSuspects(current.quarantine, now);
      ApplyVerdicts(ExpireParts(current.parts, now), out);
      ExpireLimits(current, now, out);
      current.refusals.Expire(now);
      current.admission.Expire(now);
    }
  }

 private:
  [[nodiscard]] bool IsDue(const pending_call& pending) const {
    const auto unused_due = UnusedReservationsDue(current, pending);
    return IsPastDeadline(pending) || (unused_due && *unused_due <= now) ||
           IsPlacementDue(pending) || IsSilent(pending);
  }

  // A response that has arrived is delivered, however late this VM reads it.
  [[nodiscard]] bool IsPastDeadline(const pending_call& pending) const {
    const bool may_have_response =
        pending.silent_attempt ||
        (pending.running_attempt && pending.running_attempt->sent);
    return pending.deadline <= (may_have_response ? input_read_until : now);
  }

  [[nodiscard]] bool IsPlacementDue(const pending_call& pending) const {
    return pending.next_placement_at &&
           *pending.next_placement_at <=
               (pending.asked_planner.empty() ? now : input_read_until);
  }

  [[nodiscard]] bool IsSilent(const pending_call& pending) const {
    return pending.running_attempt && pending.running_attempt->progress_due &&
           *pending.running_attempt->progress_due <= input_read_until;
  }

  // A target that responds to other requests, or that has other prompts to
  // prefill, is busy: its attempt gets the same time again, once. A target
  // without any activity is distrusted and the call is retried elsewhere. A VM
  // of a large fleet sees little of the targets, so it asks its planner first.
  void HandleSilentAttempt(pending_call& pending) const {
    attempt& running = *pending.running_attempt;
    if (!running.reservations.empty() && !running.sent) {
      RetryWithoutReservation(pending);
      return;
    }
    if (!running.sent) {
      HandleSlowConnection(pending);
      return;
    }
    if (!running.asked_about_silence && !running.extended &&
        AskAboutSilence(current, pending, now, out)) {
      return;
    }
    const target_report known = ReportTarget(
        current, {running.target, {}, SilentTime(pending, now)}, now);
    JudgeSilence(current, pending, known, now, out);
  }

  // A target has not answered a reservation in time.
  void RetryWithoutReservation(pending_call& pending) const {
    attempt& running = *pending.running_attempt;
    const auto unanswered =
        std::find_if(running.reservations.begin(), running.reservations.end(),
                     [](const reservation& each) { return !each.held; });
    if (unanswered != running.reservations.end()) {
      running.at_fault = unanswered->target;
    }
    RetryOrFail(current, pending, false, failure_code::kSpanUnavailable,
                "reservation_unanswered", now, out);
  }

  // The call waits no longer than it would for a target that has its request.
  void HandleSlowConnection(pending_call& pending) const {
    const attempt_failure how = pending.running_attempt->tunnel.empty()
                                    ? attempt_failure::kNotConnected
                                    : attempt_failure::kNoTunnel;
    RecordNoConnection(current, pending, how, now, out);
    RetryOrFail(current, pending, false, failure_code::kNoLiveTarget,
                "not_connected", now, out);
  }
};

}  // namespace

void HandleTimeouts(state& current,
                    time_point input_read_until,
                    time_point now,
                    effects& out) {
  timeout_handler{current, now, input_read_until, out}.Handle();
}

}  // namespace acaciaferry::forwarding::internal
