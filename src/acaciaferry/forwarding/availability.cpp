#include <string>

#include "acaciaferry/forwarding/evacuation/evacuate.hpp"
#include "acaciaferry/forwarding/flights.hpp"

namespace acaciaferry::forwarding::internal {

void RecordAvailability(state& current,
                        const target_id& id,
                        std::uint64_t incarnation,
                        const availability_statement& stated,
                        time_point now,
                        effects& out) {
  const target* responding = current.targets.Find(id);
  if (responding == nullptr || responding->incarnation != incarnation) {
    return;
  }
  if (stated.leaving && current.targets.MarkLeaving(id, incarnation)) {
    LogDecision(out, decision_kind::kTargetLeaving, id.value,
                {{"why", "response"}});
    notify_peers news;
    news.leaving.push_back({id, incarnation});
    out.emplace_back(std::move(news));
  }
  if (stated.refuses_for) {
    const time_point until =
        current.refusals.Record(id, *stated.refuses_for, now);
    LogDecision(out, decision_kind::kTargetRefusing, id.value,
                {{"for_ms", ToMillisText(until - now)}});
  }
}

void MergeLeavingTargets(state& current,
                         std::span<const leaving_target> leaving,
                         effects& out) {
  for (const leaving_target& each : leaving) {
    if (current.targets.MarkLeaving(each.target, each.incarnation)) {
      LogDecision(out, decision_kind::kTargetLeaving, each.target.value,
                  {{"why", "peer"}});
    }
  }
}

bool TakesRequests(const state& current, const target_id& id, time_point now) {
  return !current.targets.IsLeaving(id) && !IsEvacuated(current, id) &&
         current.refusals.NextRequestAt(id, now) <= now;
}

}  // namespace acaciaferry::forwarding::internal
