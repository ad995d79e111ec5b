#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "acaciaferry/core/name.hpp"
#include "acaciaferry/core/time.hpp"

namespace acaciaferry {

/**
 * @brief Connections to one target that failed since it was last heard of.
 */
struct connect_failures {
  std::uint32_t count{};
  time_point avoided_until{};
};

/**
 * @brief Targets that could not be reached. A dead target reports no load and
 * would look idle, so it is avoided before the VM list drops it.
 */
struct reachability_state {
  std::unordered_map<target_id, connect_failures> failures;
};

/** @brief Records that no connection could be opened; each failure in a row
 * doubles the time for which the target is avoided, up to 30 s. */
void RecordConnectFailure(reachability_state& state,
                          const target_id& target,
                          time_point now);

/** @brief Records that the target answered or reported. */
void RecordContact(reachability_state& state, const target_id& target);

/** @return The targets to avoid now; usually none. */
[[nodiscard]] std::vector<target_id> UnreachableTargets(
    const reachability_state& state,
    time_point now);

}  // namespace acaciaferry
