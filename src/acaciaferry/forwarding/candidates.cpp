#include <algorithm>

#include "acaciaferry/forwarding/evacuation/evacuate.hpp"
#include "acaciaferry/forwarding/flights.hpp"

namespace acaciaferry::forwarding::internal {
namespace {

// Minimum and jitter of Retry-After. The jitter keeps callers that are rejected
// together from returning together.
constexpr duration kMinRetryAfter = std::chrono::milliseconds(250);
constexpr std::uint64_t kRetryAfterJitterMs = 250;
// The same for callers of a pool that is evacuated: VMs learn of the end within
// about a second, which is not near in most cases.
constexpr duration kEvacuatedRetryAfter = std::chrono::milliseconds(1'000);
constexpr std::uint64_t kEvacuatedJitterMs = 1'000;

// Drops the targets that don't satisfy a condition, unless that would drop all.
template <typename Condition>
void Prefer(std::vector<const target*>& targets, const Condition& holds) {
  auto kept = targets;
  std::erase_if(kept, [&](const target* each) { return !holds(each); });
  if (!kept.empty()) {
    targets = std::move(kept);
  }
}

bool Contains(const std::vector<target_id>& ids, const target_id& id) {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

// A refusal speaks to the VM that sends, which may be another one.
bool TakesCall(const state& current,
               const pending_call& pending,
               const target_id& id,
               time_point now) {
  return pending.refusing_asker
             ? current.limits.NextRequestAt(id, now) <= now &&
                   !Contains(*pending.refusing_asker, id)
             : HasRoom(current, id, now);
}

}  // namespace

const engine_properties* EngineOf(const state& current, const pool_id& pool) {
  const auto at = current.pools.find(pool);
  return at == current.pools.end() || !at->second ? nullptr : &*at->second;
}

// Falls back to distrusted targets when there are no others: an attempt may
// still succeed, while a refusal is certain to fail the call.
std::vector<const target*> ReachableTargets(const state& current,
                                            const pool_id& pool,
                                            time_point now) {
  auto usable = current.targets.Usable(pool, now);
  RemoveEvacuated(current, usable);
  if (usable.empty()) {
    usable = StayingTargets(current, pool);
  }
  Prefer(usable, [&](const target* each) {
    return std::find(current.cut_off.begin(), current.cut_off.end(),
                     each->failure_domain) == current.cut_off.end();
  });
  return usable;
}

std::vector<const target*> Candidates(const state& current,
                                      const pending_call& pending,
                                      time_point now) {
  auto usable = ReachableTargets(current, pending.request.pool, now);
  std::erase_if(usable, [&](const target* each) {
    return !TakesCall(current, pending, each->id, now);
  });
  Prefer(usable, [&](const target* each) {
    return !Contains(pending.tried_targets, each->id);
  });
  return usable;
}

// A call that may have run can't be refused as not run, so it waits for room at
// a target as long as a caller waits for the next event.
bool CanWaitForRoom(const pending_call& pending,
                    time_point room,
                    time_point now) {
  return room - now <= ProgressTimeout(pending.request) &&
         room + kMinTimeLeft < pending.deadline;
}

duration RetryAfter(state& current,
                    const pending_call& pending,
                    time_point now) {
  if (IsPoolEvacuated(current, pending.request.pool)) {
    return kEvacuatedRetryAfter + std::chrono::milliseconds(DrawBelow(
                                      current.random, kEvacuatedJitterMs));
  }
  const duration shortest =
      kMinRetryAfter +
      std::chrono::milliseconds(DrawBelow(current.random, kRetryAfterJitterMs));
  const auto targets = ReachableTargets(current, pending.request.pool, now);
  return std::max({shortest, WaitForRoom(current, pending, targets, now),
                   pending.promised_return});
}

}  // namespace acaciaferry::forwarding::internal
