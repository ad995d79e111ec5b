#include "acaciaferry/targets/reachability.hpp"

#include <algorithm>

namespace acaciaferry {
namespace internal {

constexpr duration kMinAvoidance = std::chrono::seconds(1);
constexpr duration kMaxAvoidance = std::chrono::seconds(30);
constexpr std::uint32_t kMaxDoublings = 5;

}  // namespace internal

void RecordConnectFailure(reachability_state& state,
                          const target_id& target,
                          time_point now) {
  connect_failures& failures = state.failures[target];
  const std::uint32_t doublings =
      std::min(failures.count, internal::kMaxDoublings);
  ++failures.count;
  failures.avoided_until =
      now + std::min(internal::kMinAvoidance * (1U << doublings),
                     internal::kMaxAvoidance);
}

void RecordContact(reachability_state& state, const target_id& target) {
  state.failures.erase(target);
}

std::vector<target_id> UnreachableTargets(const reachability_state& state,
                                          time_point now) {
  std::vector<target_id> unreachable;
  for (const auto& [target, failures] : state.failures) {
    if (failures.avoided_until > now) {
      unreachable.push_back(target);
    }
  }
  return unreachable;
}

}  // namespace acaciaferry
