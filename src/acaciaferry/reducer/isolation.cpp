#include "acaciaferry/reducer/isolation.hpp"

#include <unordered_map>

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
    if (record.current && !record.forwards) {
      occupancy& seen = result[record.current->target];
      ++seen.requests;
      seen.has_suspect =
          seen.has_suspect || IsSuspectRequest(state, record, now);
    }
  }
  return result;
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
  return avoided;
}

}  // namespace acaciaferry
