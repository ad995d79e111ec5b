#include "acaciaferry/reducer/isolation.hpp"

#include <algorithm>
#include <cstdint>
#include <unordered_map>
#include <utility>

#include "acaciaferry/reducer/attempt_control.hpp"

namespace acaciaferry {
namespace internal {

// Other requests of this VM that may run on a target where a suspect starts.
constexpr std::size_t kFewOthers = 1;

struct occupancy {
  std::size_t requests{};
  bool has_suspect{};
};

std::unordered_map<target_id, occupancy> Occupancies(const state& state,
                                                     time_point now) {
  std::unordered_map<target_id, occupancy> result;
  for (const auto& [id, record] : state.requests) {
    if (record.current_attempt && !record.forwards) {
      occupancy& seen = result[record.current_attempt->target];
      ++seen.requests;
      seen.has_suspect =
          seen.has_suspect || IsSuspectRequest(state, record, now);
    }
  }
  return result;
}

// VMs do not know where the others' suspects run. Were they all to choose the
// least loaded target, a culprit and an innocent would meet again; a choice by
// hash sends different requests different ways.
void LeaveOneByHash(const state& state,
                    const request_record& record,
                    std::vector<target_id>& avoided) {
  const auto contains = [](const std::vector<target_id>& list,
                           const target_id& id) {
    return std::find(list.begin(), list.end(), id) != list.end();
  };
  std::vector<std::pair<std::uint64_t, target_id>> scored;
  for (const target* const each :
       LiveTargets(state.targets, record.request.pool)) {
    if (!contains(avoided, each->id) && !contains(record.excluded, each->id)) {
      scored.emplace_back(
          CallFingerprint(FingerprintOf(record.request), "", each->id.value),
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
  return IsSuspect(state.quarantine, internal::FingerprintOf(record.request),
                   now);
}

std::vector<target_id> TargetsToAvoid(const state& state,
                                      const request_record& record,
                                      time_point now) {
  std::vector<target_id> avoided;
  if (state.quarantine.suspects.empty()) {
    return avoided;
  }
  const bool is_suspect = IsSuspectRequest(state, record, now);
  for (const auto& [target, there] : internal::Occupancies(state, now)) {
    const bool is_crowded = is_suspect && there.requests > internal::kFewOthers;
    if (there.has_suspect || is_crowded) {
      avoided.push_back(target);
    }
  }
  if (is_suspect) {
    internal::LeaveOneByHash(state, record, avoided);
  }
  return avoided;
}

}  // namespace acaciaferry
