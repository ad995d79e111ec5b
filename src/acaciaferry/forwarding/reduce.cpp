#include <algorithm>
#include <set>
#include <utility>

#include "acaciaferry/forwarding/evacuation/evacuate.hpp"
#include "acaciaferry/forwarding/flights.hpp"
#include "acaciaferry/forwarding/state.hpp"

namespace acaciaferry::forwarding {
namespace internal {
namespace {

// The caller enforces its limit by its own clock, so the response has to be on
// its way slightly earlier.
constexpr duration kDeadlineMargin = std::chrono::milliseconds(10);
// An engine with decodes sends several events within this time.
constexpr duration kRecentActivity = std::chrono::milliseconds(400);

// Finds the call whose running attempt has this number, or returns null: events
// of superseded attempts are ignored.
pending_call* FindRunning(state& current, call_id id, std::uint32_t number) {
  const auto at = current.pending_calls.find(id);
  if (at == current.pending_calls.end() || !at->second.running_attempt ||
      at->second.running_attempt->number != number) {
    return nullptr;
  }
  return &at->second;
}

// As FindRunning. An attempt whose stream was silent runs again, since it has
// been heard.
pending_call* FindHeard(state& current,
                        call_id id,
                        std::uint32_t number,
                        time_point now,
                        effects& out) {
  const auto at = current.pending_calls.find(id);
  if (at != current.pending_calls.end() && at->second.silent_attempt &&
      at->second.silent_attempt->number == number) {
    GoBackToSilentAttempt(current, at->second, way_back::kHeard, now, out);
  }
  return FindRunning(current, id, number);
}

// All input that had arrived by this time has been handled when an event is
// processed. After other events than the timer, responses may be waiting to be
// read.
time_point InputReadUntil(const event& happened, time_point now) {
  const auto* timer = std::get_if<timer_fired>(&happened);
  return timer == nullptr ? time_point::min() : timer->set_for.value_or(now);
}

struct reducer {
  state& current;
  time_point now;
  /** Nobody counts as silent after this time. */
  time_point input_read_until;
  effects out;

  void operator()(const call_arrived& happened) {
    const call& request = happened.request;
    pending_call& pending = current.pending_calls[request.id];
    pending.request = request;
    pending.arrived = now;
    pending.deadline = now + request.time_limit - kDeadlineMargin;
    pending.last_event = request.resume_after;
    current.allowance.CountRequest(request.pool, now);
    StartAttempt(current, pending, now, out);
  }

  void operator()(const caller_disconnected& happened) {
    const auto at = current.pending_calls.find(happened.id);
    if (at == current.pending_calls.end()) {
      return;
    }
    LogDecision(out, decision_kind::kCallerLeft,
                at->second.request.caller_request_id,
                {{"after_ms", ToMillisText(now - at->second.arrived)},
                 {"events", std::to_string(at->second.last_event)}});
    EndSilentAttempt(current, at->second, now, out);
    EndAttempt(current, at->second, true, now, out);
    out.emplace_back(forget_call{happened.id});
    RemoveCall(current, happened.id);
  }

  void operator()(const attempt_sent& happened) {
    if (pending_call* pending =
            FindRunning(current, happened.id, happened.attempt)) {
      pending->running_attempt->sent = true;
      RecordConnection(current, *pending, now, out);
      ++pending->sent_attempts;
      StartProgressTimeout(*pending, now);
    }
  }

  void operator()(const response_started& happened) {
    pending_call* pending = FindRunning(current, happened.id, happened.attempt);
    if (pending == nullptr) {
      return;
    }
    pending->running_attempt->load = happened.load;
    if (happened.limit) {
      RecordLimit(current, pending->running_attempt->target, *happened.limit,
                  now, out);
    }
    if (happened.cold_for) {
      RecordCold(current, pending->running_attempt->target,
                 pending->running_attempt->target_incarnation,
                 *happened.cold_for, now, out);
    }
    RecordAvailability(current, pending->running_attempt->target,
                       pending->running_attempt->target_incarnation,
                       happened.availability, now, out);
    current.targets.RecordActivity(pending->running_attempt->target, now);
    if (happened.verdict == response_verdict::kServed ||
        happened.verdict == response_verdict::kFailed) {
      current.refusals.RecordTaken(pending->running_attempt->target, now);
      RecordAlive(current, *pending->running_attempt, out);
    }
    switch (happened.verdict) {
      case response_verdict::kServed:
        pending->running_attempt->response_started = true;
        pending->may_have_run = true;
        return;
      case response_verdict::kNotRun:
        DistrustTargetAtFault(*pending, happened);
        RetryOrFail(current, *pending, false, failure_code::kTargetRejected,
                    "not_run", now, out);
        return;
      case response_verdict::kFailed:
        RecordFailure(pending->running_attempt->target);
        // If it can't be retried, the target's own error response is passed on,
        // unless the caller has got a part of another response already.
        if (!TryRetry(current, *pending, true, "target_failed", now, out) &&
            pending->partially_delivered) {
          FailCall(current, *pending, failure_code::kTargetLost, now, out);
        }
        return;
      case response_verdict::kUnusable:
        RecordFailure(pending->running_attempt->target);
        RetryOrFail(current, *pending, true, failure_code::kAnswerCorrupt,
                    "unusable_answer", now, out);
        return;
    }
  }

  void operator()(const response_progressed& happened) {
    pending_call* pending =
        FindHeard(current, happened.id, happened.attempt, now, out);
    if (pending == nullptr) {
      return;
    }
    EndSilentAttempt(current, *pending, now, out);
    pending->running_attempt->has_progressed = true;
    if (!pending->first_event_at) {
      pending->first_event_at = now;
      RecordAnswer(current, *pending, now, out);
    } else {
      pending->longest_gap =
          std::max(pending->longest_gap, now - pending->last_progress);
    }
    pending->last_progress = now;
    current.ledger.RecordPassEnd(pending->running_attempt->target, now);
    pending->running_attempt->extended = false;
    pending->running_attempt->asked_about_silence = false;
    current.targets.RecordActivity(pending->running_attempt->target, now);
    pending->partially_delivered = true;
    pending->may_have_run = true;
    pending->last_event = happened.last_event;
    if (pending->running_attempt->progress_due) {
      pending->running_attempt->progress_due =
          now + ProgressTimeout(pending->request);
    }
  }

  void operator()(const response_completed& happened) {
    pending_call* pending =
        FindHeard(current, happened.id, happened.attempt, now, out);
    if (pending == nullptr) {
      return;
    }
    EndSilentAttempt(current, *pending, now, out);
    current.targets.RecordSuccess(pending->running_attempt->target);
    RecordWhole(current, *pending, now, out);
    if (!pending->partially_delivered &&
        pending->running_attempt->response_started) {
      RecordAnswer(current, *pending, now, out);
    }
    RecordResponse(*pending, now, out);
    const std::uint32_t number = pending->running_attempt->number;
    const bool stream = pending->partially_delivered;
    EndAttempt(current, *pending, false, now, out);
    if (stream) {
      out.emplace_back(finish_stream{pending->request.id});
    } else {
      out.emplace_back(deliver_response{pending->request.id, number});
    }
    RemoveCall(current, happened.id);
  }

  void operator()(const attempt_failed& happened) {
    if (EndFailedSilentAttempt(happened)) {
      return;
    }
    pending_call* pending = FindRunning(current, happened.id, happened.attempt);
    if (pending == nullptr) {
      return;
    }
    const target_id id = pending->running_attempt->target;
    if (happened.how == attempt_failure::kNotConnected ||
        happened.how == attempt_failure::kNoTunnel) {
      RecordNoConnection(current, *pending, happened.how, now, out);
      RetryOrFail(current, *pending, false, failure_code::kNoLiveTarget,
                  happened.how == attempt_failure::kNoTunnel ? "no_tunnel"
                                                             : "not_connected",
                  now, out);
      return;
    }
    RecordLostExchange(current, *pending, now, out);
    RecordFailure(id);
    RetryOrFail(
        current, *pending, true,
        happened.how == attempt_failure::kBroken ? failure_code::kAnswerCorrupt
                                                 : failure_code::kTargetLost,
        happened.how == attempt_failure::kBroken ? "broken" : "no_answer", now,
        out);
  }

  void operator()(const ticket_order_settled& happened) {
    SettleTicketOrder(current, happened, now, out);
  }

  void operator()(const targets_published& happened) {
    ApplyPublishedTargets(current, happened, now, out);
  }

  void operator()(const peer_load_update& happened) {
    for (const job& each : happened.jobs) {
      current.ledger.Add(each, now);
      const pool_id* pool = current.ledger.PoolOf(each.target);
      if (each.is_decode && pool != nullptr) {
        current.admission.RecordPlacedElsewhere(*pool, now);
      }
    }
    CountAgainstLimits(current, happened.jobs, target_limits::placed_by::kOther,
                       now);
    for (const dispatch_id key : happened.ended) {
      EndDispatch(current, key, now);
    }
    for (const peer_distrust& each : happened.distrusted) {
      current.targets.DistrustUntil(each.target, now + each.remaining);
    }
    MergeLeavingTargets(current, happened.leaving, out);
    for (const target_id& id : happened.active) {
      current.targets.RecordActivity(id, now);
    }
  }

  void operator()(const domains_cut_off& happened) {
    const std::set<failure_domain_id> before(current.cut_off.begin(),
                                             current.cut_off.end());
    std::set<failure_domain_id> after(happened.domains.begin(),
                                      happened.domains.end());
    // Targets that respond are reachable, even if the VMs of their domain are
    // not.
    std::erase_if(after, [&](const failure_domain_id& each) {
      return !before.contains(each) &&
             current.targets.AnyActiveSince(each, now - kRecentActivity);
    });
    for (const failure_domain_id& each : before) {
      if (!after.contains(each)) {
        LogDecision(out, decision_kind::kDomainBack, each.value, {});
      }
    }
    for (const failure_domain_id& each : after) {
      if (!before.contains(each)) {
        LogDecision(out, decision_kind::kDomainCutOff, each.value, {});
        AbandonDomain(each);
      }
    }
    current.cut_off.assign(after.begin(), after.end());
  }

  void operator()(const domains_evacuated& happened) {
    ApplyEvacuations(current, happened, now, out);
  }

  void operator()(const peer_lost& happened) {
    current.ledger.EndProcess(ProcessPrefix(happened.incarnation), now);
    EndPlacedOutsideLedger(current);
  }

  void operator()(const peer_live_dispatches& happened) {
    const std::size_t dropped = current.ledger.Reconcile(
        ProcessPrefix(happened.incarnation), happened.dispatches, now);
    if (dropped > 0) {
      EndPlacedOutsideLedger(current);
      LogDecision(out, decision_kind::kLoadCorrected,
                  std::to_string(happened.incarnation),
                  {{"dropped", std::to_string(dropped)},
                   {"live", std::to_string(happened.dispatches.size())}});
    }
  }

  void operator()(const vm_count_updated& happened) {
    current.vm_count = std::max<std::uint64_t>(happened.vm_count, 1);
    const std::uint64_t heard =
        std::clamp<std::uint64_t>(happened.heard_vm_count, 1, current.vm_count);
    current.heard_vm_count = heard;
    current.limits.SetShare(
        static_cast<double>(heard) / static_cast<double>(current.vm_count),
        now);
    UpdateOwnShare(current, now);
  }

  void operator()(const limit_reports_received& happened) {
    MergeLimits(current, happened, now, out);
  }

  void operator()(const suspect_reports_received& happened) {
    MergeSuspectReports(current, happened, now, out);
  }

  void operator()(const part_crashes_received& happened) {
    ApplyVerdicts(MergePartCrashes(current.parts, current.self, happened, now),
                  out);
  }

  void operator()(const begun_parts_received& happened) {
    ApplyVerdicts(MergeBegunParts(current.parts, happened, now), out);
  }

  void operator()(const placement_asked& happened) {
    AnswerQuery(current, happened, now, out);
  }

  void operator()(const placement_answered& happened) {
    ApplyAnswer(current, happened.answer, now, out);
  }

  void operator()(const planners_changed& happened) {
    current.planners = happened.addresses;
    current.is_large_fleet = happened.is_large_fleet;
    current.is_hub = happened.is_hub;
    UpdateOwnShare(current, now);
  }

  void operator()(const target_asked& happened) {
    out.emplace_back(answer_about_target{
        happened.asker, ReportTarget(current, happened.query, now)});
  }

  void operator()(const target_reported& happened) {
    ApplyTargetReport(current, happened.report, now, out);
  }

  void operator()(const tunnels_changed& happened) {
    ApplyTunnels(current, happened, now, out);
  }

  void operator()(const target_probed& happened) {
    ApplyProbe(current, happened, now, out);
  }

  void operator()(const target_checked& happened) {
    ApplyCheck(current, happened, now, out);
  }

  void operator()(const timer_fired& /*happened*/) {}

 private:
  // The attempt that goes on with the stream, or looks for a target, is not
  // concerned.
  bool EndFailedSilentAttempt(const attempt_failed& happened) {
    const auto at = current.pending_calls.find(happened.id);
    if (at == current.pending_calls.end() || !at->second.silent_attempt ||
        at->second.silent_attempt->number != happened.attempt) {
      return false;
    }
    RecordFailure(at->second.silent_attempt->target);
    EndSilentAttempt(current, at->second, now, out);
    return true;
  }

  // Attempts in a domain that is cut off time out at once, without more time
  // for busy targets, unless they show progress first. Attempts that only the
  // call's deadline bounds go on.
  void AbandonDomain(const failure_domain_id& domain) {
    for (auto& [id, pending] : current.pending_calls) {
      const target* to =
          pending.running_attempt
              ? current.targets.Find(pending.running_attempt->target)
              : nullptr;
      if (to != nullptr && pending.running_attempt->progress_due &&
          to->failure_domain == domain) {
        pending.running_attempt->extended = true;
        pending.running_attempt->progress_due = now;
      }
    }
  }

  void RecordFailure(const target_id& id) {
    if (current.targets.RecordFailure(id, now)) {
      Distrust(current, id, distrust_reason::kFailing, now, out);
    }
  }

  // A target that rejects a request because it is full is not at fault. One
  // that another target waited for in vain is, and so is one that is no longer
  // the process that was published.
  void DistrustTargetAtFault(const pending_call& pending,
                             const response_started& response) {
    constexpr int kMisdirected = 421;
    const target* at_fault = current.targets.FindByAddress(response.at_fault);
    const target_id& own = pending.running_attempt->target;
    if (at_fault != nullptr && at_fault->id != own) {
      Distrust(current, at_fault->id, distrust_reason::kSilent, now, out);
    } else if (response.status == kMisdirected) {
      Distrust(current, own, distrust_reason::kBroken, now, out);
    }
  }
};

}  // namespace
}  // namespace internal

state::state(evidence_source process,
             const retry_bound& bound,
             std::uint64_t seed)
    : self(std::move(process)),
      allowance(bound),
      random(seed),
      limits(seed),
      refusals(seed),
      admission(seed) {
  dispatch_prefix = ProcessPrefix(self.second);
}

double state::SlotShare() const noexcept {
  const std::uint64_t heard = is_large_fleet && !is_hub ? 1 : heard_vm_count;
  return std::min(
      1.0, static_cast<double>(heard) /
               static_cast<double>(std::max<std::uint64_t>(vm_count, 1)));
}

effects Reduce(state& current, const event& happened, time_point now) {
  internal::reducer step{
      current, now, internal::InputReadUntil(happened, now), {}};
  // Timeouts are handled first, so that a process that was paused doesn't
  // decide on outdated state. Progress is handled even before them: a stream
  // must be resumed after the last event that was passed on.
  // What was sent may run, so that is known before them as well.
  const bool progress = std::holds_alternative<response_progressed>(happened) ||
                        std::holds_alternative<attempt_sent>(happened);
  if (progress) {
    std::visit(step, happened);
  }
  internal::HandleTimeouts(current, step.input_read_until, now, step.out);
  if (!progress) {
    std::visit(step, happened);
  }
  internal::ReportDrained(current, now, step.out);
  return std::move(step.out);
}

}  // namespace acaciaferry::forwarding
