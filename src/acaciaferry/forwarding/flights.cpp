#include "acaciaferry/forwarding/flights.hpp"

#include <algorithm>
#include <string>

#include "acaciaferry/forwarding/evacuation/evacuate.hpp"

namespace acaciaferry::forwarding::internal {
namespace {

// Bounds attempts that found no connection, which don't count as sent.
constexpr std::uint32_t kMaxUnsentAttempts = 6;
// A stream is considered silent after this many gap objectives without an
// event.
constexpr int kProgressTimeoutGaps = 4;
// Shortest time after which a stream is considered silent; also used for routes
// without a gap objective.
constexpr duration kMinProgressTimeout = std::chrono::milliseconds(1'000);
// An idempotent call is retried after this multiple of its latency objective.
constexpr double kIdempotentTimeoutFactor = 1.5;
// Calls with a higher latency objective are less urgent.
constexpr duration kRelaxedLatency = std::chrono::milliseconds(1'000);
constexpr std::uint32_t kMaxUrgency = 9;

std::uint32_t Urgency(const call& request) {
  const std::uint32_t by_latency =
      request.latency_objective > kRelaxedLatency ? 2 : 0;
  return std::min(kMaxUrgency, request.priority * 2 + by_latency);
}

std::optional<time_point> ProgressDeadline(const pending_call& pending,
                                           duration predicted,
                                           time_point now) {
  switch (pending.request.kind) {
    case call_kind::kIdempotent:
      return now +
             std::chrono::duration_cast<duration>(
                 pending.request.latency_objective * kIdempotentTimeoutFactor);
    case call_kind::kNonIdempotent:
      return std::nullopt;
    case call_kind::kStreaming:
      break;
  }
  if (!pending.request.resumable) {
    return std::nullopt;
  }
  return now + predicted + ProgressTimeout(pending.request);
}

// "running/waiting/slots", as reported by the target.
std::string LoadText(const std::optional<reported_load>& load) {
  return load ? std::to_string(load->running) + "/" +
                    std::to_string(load->waiting) + "/" +
                    std::to_string(load->slots)
              : "";
}

// Ends the jobs of an attempt and releases its tickets.
void End(state& current,
         const pending_call& pending,
         const attempt& ended,
         bool close,
         time_point now,
         effects& out) {
  const dispatch_id key =
      DispatchIdOf(current, pending.request.id, ended.number);
  EndDispatch(current, key, now);
  out.emplace_back(notify_peers{{}, {key}, {}});
  if (close) {
    out.emplace_back(cancel_attempt{pending.request.id, ended.number});
  }
  ReleaseReservations(current, pending, ended, now, out);
}

// Whether the running attempt may still be the one that ends its stream.
bool CanGoOn(const pending_call& pending) {
  return pending.running_attempt && pending.running_attempt->is_silent &&
         pending.running_attempt->has_progressed && !pending.silent_attempt;
}

std::string HelperNames(const std::vector<helper>& helpers) {
  std::string names;
  for (const helper& each : helpers) {
    names += (names.empty() ? "" : "+") + each.target.value;
  }
  return names;
}

}  // namespace

duration ProgressTimeout(const call& request) {
  return std::max(kMinProgressTimeout,
                  request.gap_objective * kProgressTimeoutGaps);
}

void StartProgressTimeout(pending_call& pending, time_point now) {
  attempt& running = *pending.running_attempt;
  running.progress_due =
      ProgressDeadline(pending, running.predicted_first_event, now);
}

void RecordResponse(const pending_call& pending, time_point now, effects& out) {
  const duration first = pending.first_event_at
                             ? *pending.first_event_at - pending.arrived
                             : now - pending.arrived;
  out.emplace_back(record_latency{
      pending.request, pending.first_attempt_at.value_or(now) - pending.arrived,
      first, pending.longest_gap, now - pending.arrived});
  LogDecision(out, decision_kind::kAnswered, pending.request.caller_request_id,
              {{"route", pending.request.route_name},
               {"kind", std::string(ToString(pending.request.kind))},
               {"target", pending.running_attempt->target.value},
               {"attempts", std::to_string(pending.attempts)},
               {"prompt_tokens", std::to_string(pending.request.prompt_tokens)},
               {"first_ms", ToMillisText(first)},
               {"aim_ms", ToMillisText(pending.request.latency_objective)},
               {"predicted_ms",
                ToMillisText(pending.running_attempt->predicted_first_event)},
               {"load", LoadText(pending.running_attempt->load)},
               {"gap_ms", ToMillisText(pending.longest_gap)},
               {"gap_aim_ms", ToMillisText(pending.request.gap_objective)},
               {"whole_ms", ToMillisText(now - pending.arrived)}});
}

duration RemainingLatency(const pending_call& pending, time_point now) {
  return std::max(pending.arrived + pending.request.latency_objective - now,
                  duration{1});
}

void SendAttempt(state& current,
                 pending_call& pending,
                 time_point now,
                 effects& out) {
  attempt& running = *pending.running_attempt;
  const target* to = current.targets.Find(running.target);
  StartProgressTimeout(pending, now);
  running.tunnel = current.reach.NextTunnel(pending.request.pool, now);
  out.emplace_back(send_attempt{
      pending.request.id, running.number, running.target, to ? to->address : "",
      running.helpers, pending.deadline - now, Urgency(pending.request),
      pending.partially_delivered ? pending.last_event
                                  : pending.request.resume_after,
      running.tunnel});
  LogDecision(
      out, decision_kind::kSent, pending.request.caller_request_id,
      {{"attempt", std::to_string(running.number)},
       {"target", running.target.value},
       {"helpers", HelperNames(running.helpers)},
       {"tunnel", running.tunnel},
       {"predicted_ms", ToMillisText(running.predicted_first_event)},
       {"writers",
        std::to_string(current.ledger.Load(running.target, now).decodes)},
       {"memory",
        std::to_string(current.ledger.Load(running.target, now).memory_tokens)},
       {"waited_ms", ToMillisText(now - pending.arrived)},
       {"left_ms", ToMillisText(pending.deadline - now)}});
}

dispatch_id NextDispatch(const state& current, const pending_call& pending) {
  return pending.asked_as != 0
             ? pending.asked_as
             : DispatchIdOf(current, pending.request.id, pending.attempts + 1);
}

dispatch_id DispatchIdOf(const state& current,
                         call_id id,
                         std::uint32_t number) {
  constexpr unsigned kSequenceBits = 32;
  constexpr unsigned kAttemptBits = 8;
  const std::uint64_t sequence =
      (id << kAttemptBits | (number & 0xFFU)) & 0xFFFF'FFFFU;
  return current.dispatch_prefix << kSequenceBits | sequence;
}

std::string ToMillisText(duration value) {
  return std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(value).count());
}

void LogDecision(effects& out,
                 decision_kind kind,
                 const std::string& subject,
                 std::vector<std::pair<std::string_view, std::string>> inputs) {
  out.emplace_back(record_decision{kind, subject, std::move(inputs)});
}

void EndAttempt(state& current,
                pending_call& pending,
                bool close,
                time_point now,
                effects& out) {
  if (pending.running_attempt) {
    End(current, pending, *pending.running_attempt, close, now, out);
    pending.running_attempt.reset();
  }
}

void EndSilentAttempt(state& current,
                      pending_call& pending,
                      time_point now,
                      effects& out) {
  if (pending.silent_attempt) {
    End(current, pending, *pending.silent_attempt, true, now, out);
    pending.silent_attempt.reset();
  }
}

void GoBackToSilentAttempt(state& current,
                           pending_call& pending,
                           way_back why,
                           time_point now,
                           effects& out) {
  EndAttempt(current, pending, true, now, out);
  pending.next_placement_at.reset();
  pending.asked_planner.clear();
  pending.running_attempt = std::exchange(pending.silent_attempt, std::nullopt);
  attempt& again = *pending.running_attempt;
  again.is_silent = false;
  again.extended = false;
  again.asked_about_silence = false;
  // Each further try takes one of the retries of the pool.
  again.progress_due = now + (why == way_back::kHeard ? 1 : 2) *
                                 ProgressTimeout(pending.request);
  LogDecision(out, decision_kind::kWentBack, pending.request.caller_request_id,
              {{"target", again.target.value},
               {"heard", why == way_back::kHeard ? "yes" : "no"},
               {"last_event", std::to_string(pending.last_event)},
               {"after_ms", ToMillisText(now - pending.arrived)}});
}

void RemoveCall(state& current, call_id id) {
  current.pending_calls.erase(id);
}

void FailCall(state& current,
              pending_call& pending,
              failure_code code,
              time_point now,
              effects& out) {
  if (pending.silent_attempt && now < pending.deadline) {
    GoBackToSilentAttempt(current, pending, way_back::kNoOtherTarget, now, out);
    return;
  }
  EndSilentAttempt(current, pending, now, out);
  const bool ran = pending.may_have_run ||
                   (pending.running_attempt && pending.running_attempt->sent);
  EndAttempt(current, pending, true, now, out);
  // A 503 promises that the request has not run.
  constexpr int kUnavailable = 503;
  if (ran && (Describe(code).http_status == kUnavailable ||
              code == failure_code::kQuarantined)) {
    code = failure_code::kTargetLost;
  }
  const failure_description& described = Describe(code);
  failure why{code, ran ? outcome::kUnknown : outcome::kNotRun, {}};
  if (!ran && described.retryable) {
    why.retry_after =
        std::max(RetryAfter(current, pending, now), pending.promised_return);
  }
  LogDecision(out,
              pending.partially_delivered ? decision_kind::kFailed
                                          : decision_kind::kRefused,
              pending.request.caller_request_id,
              {{"code", std::string(described.code)},
               {"outcome", std::string(ToString(why.result))},
               {"attempts", std::to_string(pending.attempts)},
               {"route", pending.request.route_name},
               {"prompt_tokens", std::to_string(pending.request.prompt_tokens)},
               {"after_ms", ToMillisText(now - pending.arrived)}});
  const call_id id = pending.request.id;
  if (pending.partially_delivered) {
    out.emplace_back(abort_response{id});
  } else {
    out.emplace_back(refuse_call{id, why});
  }
  RemoveCall(current, id);
}

bool TryRetry(state& current,
              pending_call& pending,
              bool ran,
              std::string_view reason,
              time_point now,
              effects& out) {
  const bool retryable = !ran ||
                         pending.request.kind == call_kind::kIdempotent ||
                         (pending.request.kind == call_kind::kStreaming &&
                          pending.request.resumable);
  const bool allowed =
      pending.sent_attempts < pending.request.max_attempts &&
      pending.attempts < pending.request.max_attempts + kMaxUnsentAttempts &&
      now + kMinTimeLeft < pending.deadline;
  const bool was_sent =
      pending.running_attempt && pending.running_attempt->sent;
  const auto room = NextRoom(
      current, ReachableTargets(current, pending.request.pool, now), now);
  // Without another target, one that is evacuated may still answer.
  const bool has_room =
      room ? *room <= now || ((ran || pending.may_have_run) &&
                              CanWaitForRoom(pending, *room, now))
           : !IsPoolEvacuated(current, pending.request.pool);
  if (!retryable || !allowed || !has_room ||
      (was_sent && !current.allowance.TryTake(pending.request.pool,
                                              current.vm_count, now))) {
    return false;
  }
  pending.may_have_run = pending.may_have_run || ran;
  if (pending.running_attempt) {
    pending.tried_targets.push_back(pending.running_attempt->at_fault.value_or(
        pending.running_attempt->target));
  }
  if (CanGoOn(pending)) {
    pending.silent_attempt =
        std::exchange(pending.running_attempt, std::nullopt);
  }
  EndAttempt(current, pending, true, now, out);
  LogDecision(out,
              pending.partially_delivered ? decision_kind::kResumed
                                          : decision_kind::kRepeated,
              pending.request.caller_request_id,
              {{"reason", std::string(reason)},
               {"reached", std::to_string(pending.sent_attempts)},
               {"last_event", std::to_string(pending.last_event)},
               {"after_ms", ToMillisText(now - pending.arrived)}});
  StartAttempt(current, pending, now, out);
  return true;
}

void RetryOrFail(state& current,
                 pending_call& pending,
                 bool ran,
                 failure_code code,
                 std::string_view reason,
                 time_point now,
                 effects& out) {
  if (!TryRetry(current, pending, ran, reason, now, out)) {
    pending.may_have_run = pending.may_have_run || ran;
    EndAttempt(current, pending, true, now, out);
    FailCall(current, pending, code, now, out);
  }
}

}  // namespace acaciaferry::forwarding::internal
