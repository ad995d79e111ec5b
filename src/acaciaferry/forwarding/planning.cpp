#include <algorithm>
#include <string>
#include <variant>

#include "acaciaferry/forwarding/evacuation/evacuate.hpp"
#include "acaciaferry/forwarding/flights.hpp"

namespace acaciaferry::forwarding::internal {
namespace {

// Keeps calls that wait at several VMs for the same target from taking its room
// at the same time, before the VMs have heard of each other's requests.
constexpr std::uint64_t kRoomJitterMs = 100;
// Planners answer within about a millisecond; one that has used up its share of
// a core for a while, or is gone, is waited for no longer.
constexpr duration kPlannerTimeout = std::chrono::milliseconds(40);
// A silent planner is asked again after this time.
constexpr duration kPlannerPause = std::chrono::milliseconds(1'000);
// A call waits in steps of this until it is known whether the targets of such
// calls have gone.
constexpr duration kEvidenceWait = std::chrono::milliseconds(25);
// Other VMs ask again less often than this VM looks again itself, since each
// time costs two datagrams.
constexpr duration kMinRemoteWait = std::chrono::milliseconds(40);

// Called when no target takes a call now.
placement_verdict PlanWithoutTarget(state& current,
                                    const pending_call& pending,
                                    time_point now) {
  const auto room = NextRoom(
      current, ReachableTargets(current, pending.request.pool, now), now);
  if (!room) {
    return refused_call{IsPoolEvacuated(current, pending.request.pool)
                            ? failure_code::kPoolEvacuated
                            : failure_code::kNoLiveTarget,
                        {}};
  }
  if (pending.may_have_run && CanWaitForRoom(pending, *room, now)) {
    return deferred_call{
        *room - now +
        std::chrono::milliseconds(DrawBelow(current.random, kRoomJitterMs))};
  }
  return refused_call{failure_code::kTargetLimit, {}};
}

// The call of another VM as if it had arrived here.
pending_call ToPendingCall(const placement_query& query, time_point now) {
  pending_call pending;
  pending.request.caller_request_id = "dispatch " + std::to_string(query.key);
  pending.request.pool = query.pool;
  pending.request.prompt_tokens = query.prompt_tokens;
  pending.request.output_tokens = query.output_tokens;
  pending.request.latency_objective = query.latency_objective;
  pending.request.gap_objective = query.gap_objective;
  pending.arrived = now - query.waited;
  pending.deadline = now + query.time_left;
  pending.attempts = query.is_first_attempt ? 0 : 1;
  pending.tried_targets = query.tried;
  pending.refusing_asker = query.refusing;
  pending.asked_as = query.key;
  pending.request.fingerprint = query.fingerprint;
  pending.request.workspace = query.workspace;
  if (query.workspace.empty() && query.fingerprint == 0) {
    // A VM of an old release doesn't say whose call it is.
    pending.request.workspace.value =
        "vm " + std::to_string(ProcessPrefixOf(query.key));
  }
  return pending;
}

placement_query MakeQuery(const state& current,
                          const pending_call& pending,
                          time_point now) {
  placement_query query;
  query.key = DispatchIdOf(current, pending.request.id, pending.attempts + 1);
  query.pool = pending.request.pool;
  query.prompt_tokens = pending.request.prompt_tokens;
  query.output_tokens = pending.request.output_tokens;
  query.latency_objective = pending.request.latency_objective;
  query.gap_objective = pending.request.gap_objective;
  query.waited = now - pending.arrived;
  query.time_left = pending.deadline - now;
  query.is_first_attempt = pending.attempts == 0 &&
                           !pending.partially_delivered &&
                           pending.request.resume_after == 0;
  query.tried = pending.tried_targets;
  query.refusing = current.refusals.Refusing(now);
  query.workspace = pending.request.workspace;
  query.fingerprint = pending.request.fingerprint;
  return query;
}

pending_call* FindAsking(state& current, dispatch_id key) {
  for (auto& [id, pending] : current.pending_calls) {
    if (!pending.running_attempt && !pending.asked_planner.empty() &&
        DispatchIdOf(current, id, pending.attempts + 1) == key) {
      return &pending;
    }
  }
  return nullptr;
}

bool IsRunning(const state& current, dispatch_id key) {
  return std::any_of(
      current.pending_calls.begin(), current.pending_calls.end(),
      [&](const auto& each) {
        const auto is_meant = [&](const std::optional<attempt>& running) {
          return running &&
                 DispatchIdOf(current, each.first, running->number) == key;
        };
        return is_meant(each.second.running_attempt) ||
               is_meant(each.second.silent_attempt);
      });
}

// The planner may know a target that this VM does not, or not know that one
// leaves.
bool CanUse(const state& current, const placed_call& placed, time_point now) {
  const auto is_usable = [&](const target_id& id) {
    return current.targets.Find(id) != nullptr &&
           TakesRequests(current, id, now);
  };
  return is_usable(placed.at.decode_target) &&
         std::all_of(placed.at.helpers.begin(), placed.at.helpers.end(),
                     is_usable);
}

// Applies each kind of verdict to a call of this VM.
struct verdict_applier {
  state& current;
  pending_call& pending;
  told_by source;
  time_point now;
  effects& out;

  void operator()(const placed_call& placed) const {
    StartPlaced(current, pending, placed, source, now, out);
  }
  void operator()(const deferred_call& deferred) const {
    pending.next_placement_at = now + deferred.wait;
  }
  void operator()(const refused_call& refused) const {
    pending.promised_return = refused.retry_after;
    // Planners don't name this code.
    const bool is_evacuated = refused.code == failure_code::kNoLiveTarget &&
                              IsPoolEvacuated(current, pending.request.pool);
    FailCall(current, pending,
             is_evacuated ? failure_code::kPoolEvacuated : refused.code, now,
             out);
  }
};

}  // namespace

const std::string* FindPlanner(const state& current, time_point now) {
  for (const std::string& each : current.planners) {
    const auto silent = current.silent_planners.find(each);
    if (silent == current.silent_planners.end() || silent->second <= now) {
      return &each;
    }
  }
  return nullptr;
}

placement_verdict PlanCall(state& current,
                           const pending_call& pending,
                           time_point now,
                           effects& out) {
  auto candidates = Candidates(current, pending, now);
  if (candidates.empty()) {
    return PlanWithoutTarget(current, pending, now);
  }
  if (current.is_large_fleet && !current.is_hub) {
    // This VM knows the load of its own calls only. All that are in its place
    // would choose the first of the targets that seem equal.
    std::shuffle(candidates.begin(), candidates.end(), current.random);
  }
  const engine_properties* engine = EngineOf(current, pending.request.pool);
  if (auto verdict =
          AwaitSlot(current, pending, engine, candidates, now, out)) {
    return *std::move(verdict);
  }
  if (engine != nullptr && pending.request.prompt_tokens > 0) {
    auto verdict = PlanPrompt(current, pending, *engine, candidates, now, out);
    if (const auto* placed = std::get_if<placed_call>(&verdict)) {
      if (auto refused = RefuseIfLate(current, pending, *engine, candidates,
                                      placed->at, now, out)) {
        return *std::move(refused);
      }
      RecordSlotTaken(current, pending, engine, placed->at.time_to_first_event,
                      now);
    }
    return verdict;
  }
  RecordSlotTaken(current, pending, engine, {}, now);
  placed_call placed;
  placed.at.decode_target =
      PlaceCall(candidates, current.ledger, current.failure_domain,
                current.random, now)
          ->id;
  return placed;
}

void PlaceHere(state& current,
               pending_call& pending,
               time_point now,
               effects& out) {
  const placement_verdict verdict = PlanCall(current, pending, now, out);
  std::visit(verdict_applier{current, pending, told_by::kThisVm, now, out},
             verdict);
}

void StartAttempt(state& current,
                  pending_call& pending,
                  time_point now,
                  effects& out) {
  pending.next_placement_at.reset();
  pending.asked_planner.clear();
  switch (JudgeByCrashes(current, pending, now, out)) {
    case quarantine_verdict::kRuns:
      break;
    case quarantine_verdict::kWaits:
      pending.next_placement_at = now + kEvidenceWait;
      return;
    case quarantine_verdict::kRefused:
      FailCall(current, pending, failure_code::kQuarantined, now, out);
      return;
  }
  const std::string* planner = FindPlanner(current, now);
  if (planner == nullptr) {
    PlaceHere(current, pending, now, out);
    return;
  }
  pending.asked_planner = *planner;
  pending.next_placement_at = now + kPlannerTimeout;
  out.emplace_back(ask_planner{*planner, MakeQuery(current, pending, now)});
}

void AnswerQuery(state& current,
                 const placement_asked& asked,
                 time_point now,
                 effects& out) {
  const placement_query& query = asked.query;
  // Without the pool or its targets a verdict would say nothing; the asker
  // places the call itself.
  if (!current.pools.contains(query.pool) || current.targets.size() == 0) {
    return;
  }
  // A query that is repeated replaces the load of the first one.
  current.admission.EndPlaced(query.key);
  current.ledger.End(query.key, now);
  const pending_call pending = ToPendingCall(query, now);
  placement_answer answer{query.key, PlanCall(current, pending, now, out)};
  if (const auto* placed = std::get_if<placed_call>(&answer.verdict)) {
    auto jobs = JobsOf(current, pending, query.key, *placed);
    for (const job& each : jobs) {
      current.ledger.Add(each, now);
    }
    CountAgainstLimits(current, jobs, target_limits::placed_by::kThisVm, now);
    out.emplace_back(notify_peers{std::move(jobs), {}, {}});
  } else if (auto* deferred = std::get_if<deferred_call>(&answer.verdict)) {
    deferred->wait = std::max(deferred->wait, kMinRemoteWait);
  } else {
    auto& refused = std::get<refused_call>(answer.verdict);
    refused.retry_after =
        std::max(refused.retry_after, RetryAfter(current, pending, now));
    // VMs of release f1be9e1 don't read verdicts with newer codes. They would
    // place the call themselves.
    if (refused.code == failure_code::kPoolEvacuated) {
      refused.code = failure_code::kNoLiveTarget;
    }
  }
  out.emplace_back(answer_query{asked.asker, std::move(answer)});
}

void ApplyAnswer(state& current,
                 const placement_answer& answer,
                 time_point now,
                 effects& out) {
  pending_call* pending = FindAsking(current, answer.key);
  const auto* placed = std::get_if<placed_call>(&answer.verdict);
  if (pending == nullptr) {
    // The call has ended, or was placed elsewhere meanwhile.
    if (placed != nullptr && !IsRunning(current, answer.key)) {
      out.emplace_back(notify_peers{{}, {answer.key}, {}});
    }
    return;
  }
  pending->asked_planner.clear();
  pending->next_placement_at.reset();
  if (placed != nullptr && !CanUse(current, *placed, now)) {
    out.emplace_back(notify_peers{{}, {answer.key}, {}});
    PlaceHere(current, *pending, now, out);
    return;
  }
  std::visit(verdict_applier{current, *pending, told_by::kPlanner, now, out},
             answer.verdict);
}

void RecordSilentPlanner(state& current,
                         const pending_call& pending,
                         time_point now,
                         effects& out) {
  LogDecision(out, decision_kind::kPlannerSilent, pending.asked_planner,
              {{"call", pending.request.caller_request_id}});
  std::erase_if(current.silent_planners,
                [now](const auto& each) { return each.second <= now; });
  current.silent_planners[pending.asked_planner] = now + kPlannerPause;
}

}  // namespace acaciaferry::forwarding::internal
