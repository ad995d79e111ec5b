#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "acaciaferry/core/name.hpp"
#include "acaciaferry/core/time.hpp"

namespace acaciaferry {

/**
 * @brief Failed connections to one target since it last answered or reported.
 */
struct connect_failures {
  std::uint32_t count{};
  time_point avoided_until{};
};

/**
 * @brief Targets that could not be reached. A dead target sends no load reports
 * and would look idle, so it is avoided even before it disappears from the VM
 * list.
 */
struct reachability_state {
  std::unordered_map<target_id, connect_failures> failures;
};

/** @brief Records that no connection could be opened. Each consecutive failure
 * doubles the time for which the target is avoided, up to 30 s. */
void RecordConnectFailure(reachability_state& state,
                          const target_id& target,
                          time_point now);

/** @brief Records that the target answered or sent a load report. */
void RecordContact(reachability_state& state, const target_id& target);

/** @return The targets to avoid now. */
[[nodiscard]] std::vector<target_id> UnreachableTargets(
    const reachability_state& state,
    time_point now);

}  // namespace acaciaferry
