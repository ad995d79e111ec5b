#include <algorithm>
#include <string>

#include "acaciaferry/forwarding/flights.hpp"

namespace acaciaferry::forwarding::internal {
namespace {

// Longest wait for a planner's answer about a target.
constexpr duration kAnswerTimeout = std::chrono::milliseconds(60);

// The reservations of a prompt on several engines must be held before its
// latency objective is missed.
bool CanBePlacedAgain(const state& current,
                      const pending_call& pending,
                      time_point now) {
  const engine_properties* engine = EngineOf(current, pending.request.pool);
  return engine == nullptr || !NeedsSpan(*engine, pending.request) ||
         ReservationTime(pending, now) >= kMinReservationTime;
}

}  // namespace

void Distrust(state& current,
              const target_id& id,
              distrust_reason why,
              time_point now,
              effects& out) {
  const duration remaining = current.targets.Distrust(id, why, now);
  if (remaining <= duration{}) {
    return;
  }
  out.emplace_back(notify_peers{{}, {}, {{id, remaining}}});
  LogDecision(out, decision_kind::kTargetDistrusted, id.value,
              {{"why", std::string(ToString(why))},
               {"for_ms", ToMillisText(remaining)}});
}

duration SilentTime(const pending_call& pending, time_point now) {
  return now -
         std::max(pending.running_attempt->started, pending.last_progress);
}

target_report ReportTarget(const state& current,
                           const target_query& query,
                           time_point now) {
  const auto load = current.ledger.Load(query.target, now);
  return {query.target, query.key,
          current.targets.ActiveSince(query.target, now - query.silent_for) ||
              !load.prefills.empty(),
          load.pass_remaining + load.QueuedPrefill()};
}

bool AskAboutSilence(state& current,
                     pending_call& pending,
                     time_point now,
                     effects& out) {
  const std::string* planner = FindPlanner(current, now);
  if (planner == nullptr) {
    return false;
  }
  attempt& running = *pending.running_attempt;
  running.asked_about_silence = true;
  running.progress_due = now + kAnswerTimeout;
  out.emplace_back(ask_about_target{
      *planner,
      {running.target,
       DispatchIdOf(current, pending.request.id, running.number),
       SilentTime(pending, now)}});
  return true;
}

void JudgeSilence(state& current,
                  pending_call& pending,
                  const target_report& known,
                  time_point now,
                  effects& out) {
  attempt& running = *pending.running_attempt;
  if (known.is_busy && !running.extended) {
    running.extended = true;
    running.progress_due =
        now + std::max(SilentTime(pending, now), known.backlog);
    return;
  }
  const bool is_own_reach = running.tunnel.empty() &&
                            current.reach.IsOutOfReach(pending.request.pool);
  if (!known.is_busy && !is_own_reach) {
    Distrust(current, running.target, distrust_reason::kSilent, now, out);
  }
  running.is_silent = true;
  if (!CanBePlacedAgain(current, pending, now) ||
      !TryRetry(current, pending, running.sent, "silent", now, out)) {
    // The target may still respond; the deadline bounds the wait.
    running.is_silent = false;
    running.progress_due.reset();
  }
}

void ApplyTargetReport(state& current,
                       const target_report& report,
                       time_point now,
                       effects& out) {
  for (auto& [id, pending] : current.pending_calls) {
    if (pending.running_attempt &&
        pending.running_attempt->asked_about_silence &&
        pending.running_attempt->progress_due &&
        !pending.running_attempt->extended &&
        DispatchIdOf(current, id, pending.running_attempt->number) ==
            report.key) {
      JudgeSilence(current, pending, report, now, out);
      return;
    }
  }
}

}  // namespace acaciaferry::forwarding::internal
