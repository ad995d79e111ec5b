#include <algorithm>
#include <string>
#include <string_view>

#include "acaciaferry/forwarding/evacuation/evacuate.hpp"
#include "acaciaferry/forwarding/flights.hpp"
#include "acaciaferry/forwarding/state.hpp"

namespace acaciaferry::forwarding {
namespace internal {
namespace {

void SetEngines(state& current) {
  current.pool_slots.clear();
  for (const auto& [pool, engine] : current.pools) {
    published_slots slots;
    for (const target* each : current.targets.NotLeaving(pool)) {
      current.ledger.SetPool(each->id, pool);
      if (engine) {
        current.ledger.SetEngine(each->id, *engine);
      }
      const std::uint32_t own = std::max(each->slots, 1U);
      slots.least = slots.all == 0 ? own : std::min(slots.least, own);
      slots.all += own;
    }
    current.pool_slots.emplace(pool, slots);
  }
}

void LogTargetChange(effects& out,
                     decision_kind kind,
                     const target_id& id,
                     std::string_view why) {
  LogDecision(out, kind, id.value, {{"why", std::string(why)}});
}

}  // namespace

void ApplyPublishedTargets(state& current,
                           const targets_published& published,
                           time_point now,
                           effects& out) {
  using type = target_table::change::type;
  for (const auto& change : current.targets.Update(published.targets)) {
    switch (change.kind) {
      case type::kFound:
        LogTargetChange(out, decision_kind::kTargetFound, change.id,
                        "published");
        break;
      case type::kLost:
        current.ledger.RemoveTarget(change.id);
        LogTargetChange(out, decision_kind::kTargetLost, change.id,
                        "no_longer_published");
        break;
      case type::kLeaving:
        LogTargetChange(out, decision_kind::kTargetLeaving, change.id,
                        "published");
        break;
      case type::kRestarted:
        current.ledger.RemoveTarget(change.id);
        if (const target* restarted = current.targets.Find(change.id)) {
          current.limits.Forget(change.id, restarted->incarnation);
        }
        current.refusals.Forget(change.id);
        LogTargetChange(out, decision_kind::kTargetRestarted, change.id,
                        "new_incarnation");
        break;
    }
  }
  SetEngines(current);
  for (const target& each : published.targets) {
    current.target_domains.insert(each.failure_domain);
  }
  UpdateOwnShare(current, now);
  ApplyStatedColdTimes(current, published, now, out);
}

}  // namespace internal

void SetPools(state& current, const routing_table& table) {
  current.pools.clear();
  current.cold_pools.clear();
  for (const pool& each : table.pools) {
    current.pools.emplace(each.name, each.engine);
    if (each.cold) {
      current.cold_pools.emplace(each.name, *each.cold);
    }
  }
  current.limits.EndCold([&current](const target_id& id) {
    const target* at = current.targets.Find(id);
    return at != nullptr && !current.cold_pools.contains(at->pool);
  });
  internal::SetEngines(current);
}

}  // namespace acaciaferry::forwarding
