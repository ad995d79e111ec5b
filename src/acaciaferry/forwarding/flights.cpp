#include "acaciaferry/forwarding/flights.hpp"

#include <algorithm>
#include <string>

namespace acaciaferry::forwarding::internal {
namespace {

// Attempts that found no connection are not sends; this bounds them.
constexpr std::uint32_t kMostUnsent = 6;
// A stream is taken for silent after this many of its longest pauses.
constexpr int kSilentGaps = 4;
// Without a bound on pauses, after this.
constexpr duration kSilentStream = std::chrono::milliseconds(1'000);
// An idempotent call is sent again after this many of its latency objectives.
constexpr double kSilentCall = 1.5;
// The shortest and the spread of the time after which a refused caller is
// asked to come back: callers refused together do not return together.
constexpr duration kReturnAfter = std::chrono::milliseconds(250);
constexpr std::uint64_t kReturnSpreadMs = 250;
constexpr duration kLateUrgency = std::chrono::milliseconds(1'000);
constexpr std::uint32_t kMostUrgencyNumber = 9;

duration RetryAfter(state& current) {
  return kReturnAfter +
         std::chrono::milliseconds(DrawBelow(current.random, kReturnSpreadMs));
}

std::uint32_t Urgency(const call& what) {
  const std::uint32_t by_aim = what.latency_objective > kLateUrgency ? 2 : 0;
  return std::min(kMostUrgencyNumber, what.priority * 2 + by_aim);
}

const engine_properties* EngineOf(const state& current, const pool_id& pool) {
  const auto at = current.pools.find(pool);
  return at == current.pools.end() || !at->second ? nullptr : &*at->second;
}

// Keeps the targets that a condition holds for, when there are any.
template <typename Condition>
void Prefer(std::vector<const target*>& targets, const Condition& holds) {
  auto kept = targets;
  std::erase_if(kept, [&](const target* each) { return !holds(each); });
  if (!kept.empty()) {
    targets = std::move(kept);
  }
}

// Distrusted targets are used when there are no others: a refusal would be
// certain, a try may succeed.
std::vector<const target*> Candidates(const state& current,
                                      const flight& of,
                                      time_point now) {
  const pool_id& pool = of.request.pool;
  auto usable = current.targets.Usable(pool, now);
  if (usable.empty()) {
    usable = current.targets.Staying(pool);
  }
  Prefer(usable, [&](const target* each) {
    return std::find(current.cut_off.begin(), current.cut_off.end(),
                     each->failure_domain) == current.cut_off.end();
  });
  Prefer(usable, [&](const target* each) {
    return std::find(of.tried.begin(), of.tried.end(), each->id) ==
           of.tried.end();
  });
  return usable;
}

std::optional<time_point> SilentAt(const flight& of,
                                   duration predicted,
                                   time_point now) {
  switch (of.request.kind) {
    case call_kind::kIdempotent:
      return now + std::chrono::duration_cast<duration>(
                       of.request.latency_objective * kSilentCall);
    case call_kind::kNonIdempotent:
      return std::nullopt;
    case call_kind::kStreaming:
      break;
  }
  if (!of.request.resumable) {
    return std::nullopt;
  }
  const duration pause =
      std::max(kSilentStream, of.request.gap_objective * kSilentGaps);
  return now + predicted + pause;
}

std::string Names(const std::vector<helper>& helpers) {
  std::string names;
  for (const helper& each : helpers) {
    names += (names.empty() ? "" : "+") + each.target.value;
  }
  return names;
}

}  // namespace

duration AimLeft(const flight& of, time_point now) {
  return std::max(of.arrived + of.request.latency_objective - now, duration{1});
}

void Announce(state& current,
              std::vector<job> jobs,
              time_point now,
              effects& out) {
  for (const job& each : jobs) {
    current.ledger.Add(each, now);
  }
  out.emplace_back(notify_peers{std::move(jobs), {}, {}});
}

void Send(state& current, flight& of, time_point now, effects& out) {
  attempt& running = *of.current;
  const target* to = current.targets.Find(running.target);
  running.silent_at = SilentAt(of, running.predicted_first_event, now);
  out.emplace_back(send_attempt{
      of.request.id, running.number, running.target, to ? to->address : "",
      running.helpers, of.deadline - now, Urgency(of.request),
      of.delivered ? of.last_event : of.request.resume_after});
  Record(
      out, decision_kind::kSent, of.request.caller_request_id,
      {{"attempt", std::to_string(running.number)},
       {"target", running.target.value},
       {"helpers", Names(running.helpers)},
       {"predicted_ms", Millis(running.predicted_first_event)},
       {"writers",
        std::to_string(current.ledger.Load(running.target, now).writers)},
       {"memory",
        std::to_string(current.ledger.Load(running.target, now).memory_tokens)},
       {"waited_ms", Millis(now - of.arrived)},
       {"left_ms", Millis(of.deadline - now)}});
}

attempt& NewAttempt(flight& of, const target_id& first, time_point now) {
  of.current.emplace();
  of.current->number = ++of.attempts;
  of.current->target = first;
  of.current->started = now;
  of.first_attempt_at = of.first_attempt_at.value_or(now);
  return *of.current;
}

dispatch_id KeyOf(const state& current, call_id id, std::uint32_t number) {
  constexpr unsigned kSequenceBits = 32;
  constexpr unsigned kAttemptBits = 8;
  const std::uint64_t sequence =
      (id << kAttemptBits | (number & 0xFFU)) & 0xFFFF'FFFFU;
  return current.dispatch_prefix << kSequenceBits | sequence;
}

std::string Millis(duration value) {
  return std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(value).count());
}

void Record(effects& out,
            decision_kind kind,
            const std::string& subject,
            std::vector<std::pair<std::string_view, std::string>> inputs) {
  out.emplace_back(record_decision{kind, subject, std::move(inputs)});
}

void StartAttempt(state& current, flight& of, time_point now, effects& out) {
  of.place_at.reset();
  const auto candidates = Candidates(current, of, now);
  if (candidates.empty()) {
    Fail(current, of, failure_code::kNoLiveTarget, now, out);
    return;
  }
  const engine_properties* engine = EngineOf(current, of.request.pool);
  if (engine != nullptr && of.request.prompt_tokens > 0) {
    StartPrompt(current, of, *engine, candidates, now, out);
    return;
  }
  const target* chosen = PlaceCall(candidates, current.ledger,
                                   current.failure_domain, current.random, now);
  NewAttempt(of, chosen->id, now);
  job taken;
  taken.key = KeyOf(current, of.request.id, of.current->number);
  taken.target = chosen->id;
  taken.writes = true;
  taken.latest_end = of.deadline;
  Announce(current, {taken}, now, out);
  Send(current, of, now, out);
}

void EndAttempt(state& current,
                flight& of,
                bool close,
                time_point now,
                effects& out) {
  if (!of.current) {
    return;
  }
  const dispatch_id key = KeyOf(current, of.request.id, of.current->number);
  current.ledger.End(key, now);
  out.emplace_back(notify_peers{{}, {key}, {}});
  if (close) {
    out.emplace_back(cancel_attempt{of.request.id, of.current->number});
  }
  // An order without an answer may have been carried out, so every ticket is
  // released.
  for (const reservation& each : of.current->reservations) {
    out.emplace_back(release_memory{each.address, each.target, each.ticket});
  }
  of.current.reset();
}

void Forget(state& current, call_id id) {
  current.flights.erase(id);
}

void Fail(state& current,
          flight& of,
          failure_code code,
          time_point now,
          effects& out) {
  const bool ran = of.may_have_run || (of.current && of.current->sent);
  EndAttempt(current, of, true, now, out);
  // These statuses promise that the request has not run.
  constexpr int kUnavailable = 503;
  if (ran && Describe(code).http_status == kUnavailable) {
    code = failure_code::kTargetLost;
  }
  const failure_description& described = Describe(code);
  failure why{code, ran ? outcome::kUnknown : outcome::kNotRun, {}};
  if (!ran && described.retryable) {
    why.retry_after = RetryAfter(current);
  }
  Record(out, of.delivered ? decision_kind::kFailed : decision_kind::kRefused,
         of.request.caller_request_id,
         {{"code", std::string(described.code)},
          {"outcome", std::string(ToString(why.result))},
          {"attempts", std::to_string(of.attempts)},
          {"route", of.request.route_name},
          {"prompt_tokens", std::to_string(of.request.prompt_tokens)},
          {"after_ms", Millis(now - of.arrived)}});
  const call_id id = of.request.id;
  if (of.delivered) {
    out.emplace_back(abort_response{id});
  } else {
    out.emplace_back(refuse_call{id, why});
  }
  Forget(current, id);
}

bool TryRepeat(state& current,
               flight& of,
               bool ran,
               std::string_view reason,
               time_point now,
               effects& out) {
  const bool repeatable =
      !ran || of.request.kind == call_kind::kIdempotent ||
      (of.request.kind == call_kind::kStreaming && of.request.resumable);
  const bool allowed = of.reached < of.request.max_attempts &&
                       of.attempts < of.request.max_attempts + kMostUnsent &&
                       now + kLeastTimeLeft < of.deadline;
  const bool reached = of.current && of.current->sent;
  if (!repeatable || !allowed ||
      (reached && !current.allowance.Take(of.request.pool, current.vms, now))) {
    return false;
  }
  of.may_have_run = of.may_have_run || ran;
  if (of.current) {
    of.tried.push_back(of.current->target);
  }
  EndAttempt(current, of, true, now, out);
  Record(out, of.delivered ? decision_kind::kResumed : decision_kind::kRepeated,
         of.request.caller_request_id,
         {{"reason", std::string(reason)},
          {"reached", std::to_string(of.reached)},
          {"last_event", std::to_string(of.last_event)},
          {"after_ms", Millis(now - of.arrived)}});
  StartAttempt(current, of, now, out);
  return true;
}

void RepeatOrFail(state& current,
                  flight& of,
                  bool ran,
                  failure_code code,
                  std::string_view reason,
                  time_point now,
                  effects& out) {
  if (!TryRepeat(current, of, ran, reason, now, out)) {
    of.may_have_run = of.may_have_run || ran;
    EndAttempt(current, of, true, now, out);
    Fail(current, of, code, now, out);
  }
}

}  // namespace acaciaferry::forwarding::internal
