#include "acaciaferry/reducer/target_knowledge.hpp"

#include <vector>

namespace acaciaferry {
namespace internal {

void ForgetUnlistedCaches(state& state) {
  std::vector<target_id> unlisted;
  for (const auto& [id, cached] : state.prefix_cache.targets) {
    if (FindTarget(state.targets, id) == nullptr) {
      unlisted.push_back(id);
    }
  }
  for (const target_id& id : unlisted) {
    EraseTargetCache(state.prefix_cache, id);
  }
}

}  // namespace internal

void OnVmList(state& state, std::span<const vm_record> vms) {
  ApplyVmList(state.targets, vms);
  RebuildPoolIndex(state.routing, state.targets, state.self.failure_domain);
  EraseUnlistedTargets(state.costs, [&state](const target_id& id) {
    return FindTarget(state.targets, id) != nullptr;
  });
  internal::ForgetUnlistedCaches(state);
}

report_verdict OnLoadReport(state& state,
                            const load_report& report,
                            time_point now,
                            effects& out) {
  const target* const known = FindTarget(state.targets, report.target);
  const bool was_leaving = known != nullptr && known->leaving;
  const report_verdict verdict = ApplyLoadReport(state.targets, report, now);
  out.push_back(count_load_report{verdict});
  if (verdict != report_verdict::kAccepted) {
    return verdict;
  }
  RecordContact(state.reachability, report.target);
  DecayRates(state.costs, report.target);
  // `known` is still valid: a report does not resize the table.
  if (known->leaving != was_leaving) {
    RebuildPoolIndex(state.routing, state.targets, state.self.failure_domain);
  }
  return verdict;
}

bool OnTargetLeaving(state& state, const leaving_target& leaving) {
  const bool is_new =
      MarkLeaving(state.targets, leaving.target, leaving.incarnation);
  if (is_new) {
    RebuildPoolIndex(state.routing, state.targets, state.self.failure_domain);
  }
  return is_new;
}

void OnCacheEvents(state& state,
                   const cache_events_received& answer,
                   time_point now,
                   effects& out) {
  const target* const known = FindTarget(state.targets, answer.target);
  out.push_back(count_cache_events{
      known == nullptr ? cache_verdict::kUnknownTarget
                       : ApplyCacheEvents(state.prefix_cache, answer,
                                          known->incarnation, now)});
}

}  // namespace acaciaferry
