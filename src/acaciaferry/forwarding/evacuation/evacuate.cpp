#include "acaciaferry/forwarding/evacuation/evacuate.hpp"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>

#include "acaciaferry/forwarding/flights.hpp"

namespace acaciaferry::forwarding {
namespace internal {
namespace {

bool Uses(const std::optional<attempt>& running,
          const failure_domain_id& domain) {
  return running && std::find(running->failure_domains.begin(),
                              running->failure_domains.end(),
                              domain) != running->failure_domains.end();
}

bool IsUnsentToEvacuated(const state& current, const pending_call& pending) {
  return pending.running_attempt && !pending.running_attempt->sent &&
         IsEvacuated(current, *pending.running_attempt);
}

// Attempts that are connecting, or reserve memory, have not run.
std::size_t MoveUnsentAttempts(state& current, time_point now, effects& out) {
  std::vector<call_id> unsent;
  for (const auto& [id, pending] : current.pending_calls) {
    if (IsUnsentToEvacuated(current, pending)) {
      unsent.push_back(id);
    }
  }
  for (const call_id id : unsent) {
    const auto at = current.pending_calls.find(id);
    if (at != current.pending_calls.end() &&
        IsUnsentToEvacuated(current, at->second)) {
      RetryOrFail(current, at->second, false,
                  IsPoolEvacuated(current, at->second.request.pool)
                      ? failure_code::kPoolEvacuated
                      : failure_code::kNoLiveTarget,
                  "evacuated", now, out);
    }
  }
  return unsent.size();
}

// Waiting calls may wait for room at a target that takes none any more.
void PlaceWaitingCallsAgain(state& current, time_point now) {
  for (auto& [id, pending] : current.pending_calls) {
    if (pending.next_placement_at && pending.asked_planner.empty()) {
      pending.next_placement_at = now;
    }
  }
}

}  // namespace

bool IsEvacuated(const state& current, const target_id& id) {
  const target* found = current.targets.Find(id);
  return found != nullptr &&
         current.evacuations.IsEvacuated(found->failure_domain);
}

bool IsEvacuated(const state& current, const attempt& placed) {
  return std::any_of(placed.failure_domains.begin(),
                     placed.failure_domains.end(),
                     [&](const failure_domain_id& each) {
                       return current.evacuations.IsEvacuated(each);
                     });
}

void RemoveEvacuated(const state& current,
                     std::vector<const target*>& targets) {
  std::erase_if(targets, [&](const target* each) {
    return current.evacuations.IsEvacuated(each->failure_domain);
  });
}

std::vector<const target*> StayingTargets(const state& current,
                                          const pool_id& pool) {
  auto staying = current.targets.NotLeaving(pool);
  RemoveEvacuated(current, staying);
  return staying;
}

bool IsPoolEvacuated(const state& current, const pool_id& pool) {
  const auto targets = current.targets.NotLeaving(pool);
  return !targets.empty() &&
         std::all_of(targets.begin(), targets.end(), [&](const target* each) {
           return current.evacuations.IsEvacuated(each->failure_domain);
         });
}

void ApplyEvacuations(state& current,
                      const domains_evacuated& evacuated,
                      time_point now,
                      effects& out) {
  const auto changed = current.evacuations.Set(evacuated.domains, now);
  for (const auto& each : changed.ended) {
    // Its targets may have become cold, which their entries tell later.
    MarkDomainCold(current, each.domain, now);
    LogDecision(
        out, decision_kind::kEvacuationEnded, each.domain.value,
        {{"after_ms", ToMillisText(each.lasted)},
         {"running", std::to_string(CountAttemptsIn(current, each.domain))},
         {"still_evacuated",
          std::to_string(current.evacuations.Domains().size())}});
  }
  if (changed.begun.empty()) {
    return;
  }
  const std::size_t moved = MoveUnsentAttempts(current, now, out);
  PlaceWaitingCallsAgain(current, now);
  for (const failure_domain_id& each : changed.begun) {
    LogDecision(out, decision_kind::kDomainEvacuated, each.value,
                {{"running", std::to_string(CountAttemptsIn(current, each))},
                 {"moved", std::to_string(moved)}});
  }
}

void ReportDrained(state& current, time_point now, effects& out) {
  for (const failure_domain_id& each : current.evacuations.Draining()) {
    if (CountAttemptsIn(current, each) == 0) {
      const duration took = current.evacuations.RecordDrained(each, now);
      LogDecision(out, decision_kind::kDomainDrained, each.value,
                  {{"after_ms", ToMillisText(took)}});
    }
  }
}

}  // namespace internal

std::size_t CountAttemptsIn(const state& current,
                            const failure_domain_id& domain) {
  std::size_t count = 0;
  for (const auto& [id, pending] : current.pending_calls) {
    count += internal::Uses(pending.running_attempt, domain) ? 1 : 0;
    count += internal::Uses(pending.silent_attempt, domain) ? 1 : 0;
  }
  return count;
}

}  // namespace acaciaferry::forwarding
