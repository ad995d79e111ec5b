#include "acaciaferry/reducer/isolation.hpp"

#include <algorithm>
#include <cstdint>
#include <unordered_map>
#include <utility>

#include "acaciaferry/reducer/attempt_control.hpp"

namespace acaciaferry {
namespace internal {

// How many other requests of this VM may run on a target on which a suspect is
// started.
constexpr std::size_t kMaxOthersBesideSuspect = 1;

struct target_occupancy {
  std::size_t requests{};
  bool has_suspect{};
};

std::unordered_map<target_id, target_occupancy> OccupancyByTarget(
    const state& state,
    time_point now) {
  std::unordered_map<target_id, target_occupancy> result;
  for (const auto& [id, record] : state.requests) {
    if (record.current_attempt && !record.forwarded_to_owner) {
      target_occupancy& entry = result[record.current_attempt->target];
      ++entry.requests;
      entry.has_suspect =
          entry.has_suspect || IsSuspectRequest(state, record, now);
    }
  }
  return result;
}

// Leaves a suspect one target, chosen by hash. A VM does not know where other
// VMs run their suspects. If every VM chose the least loaded target, the
// request that causes the crashes and one that does not would share a target
// again. A hash spreads different requests over different targets.
void AvoidAllButOneByHash(const state& state,
                          const request_record& record,
                          std::vector<target_id>& avoided) {
  const auto contains = [](const std::vector<target_id>& list,
                           const target_id& id) {
    return std::find(list.begin(), list.end(), id) != list.end();
  };
  std::vector<std::pair<std::uint64_t, target_id>> scored;
  for (const target* const each :
       LiveTargets(state.targets, record.request.pool)) {
    if (!contains(avoided, each->id) &&
        !contains(record.excluded_targets, each->id)) {
      scored.emplace_back(CallFingerprint(RequestFingerprint(record.request),
                                          "", each->id.value),
                          each->id);
    }
  }
  std::sort(scored.begin(), scored.end());
  for (std::size_t i = 0; i + 1 < scored.size(); ++i) {
    avoided.push_back(scored[i].second);
  }
}

}  // namespace internal

bool IsSuspectRequest(const state& state,
                      const request_record& record,
                      time_point now) {
  return IsSuspect(state.quarantine,
                   internal::RequestFingerprint(record.request), now);
}

std::vector<target_id> TargetsToAvoid(const state& state,
                                      const request_record& record,
                                      time_point now) {
  std::vector<target_id> avoided;
  if (state.quarantine.suspects.empty()) {
    return avoided;
  }
  const bool is_suspect = IsSuspectRequest(state, record, now);
  for (const auto& [target, occupancy] :
       internal::OccupancyByTarget(state, now)) {
    const bool is_crowded =
        is_suspect && occupancy.requests > internal::kMaxOthersBesideSuspect;
    if (occupancy.has_suspect || is_crowded) {
      avoided.push_back(target);
    }
  }
  if (is_suspect) {
    internal::AvoidAllButOneByHash(state, record, avoided);
  }
  return avoided;
}

}  // namespace acaciaferry
