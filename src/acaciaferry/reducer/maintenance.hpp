#pragma once

#include <optional>

#include "acaciaferry/core/time.hpp"
#include "acaciaferry/reducer/effect.hpp"
#include "acaciaferry/reducer/state.hpp"

namespace acaciaferry {

/** @brief Takes the owners that the list of VMs names, this VM itself and the
 * peers that it hears. */
void ObserveOwners(state& state, const vm_list_received& event, time_point now);

/**
 * @brief Lists the holdings of the targets that this VM sweeps, and issues the
 * orders that this VM has to issue.
 */
void MaintainTargets(state& state, time_point now, effects& out);

/** @return When MaintainTargets must run next. */
[[nodiscard]] std::optional<time_point> NextMaintenance(const state& state);

/** @brief Releases what a target holds for nobody. */
void OnMaintenanceEvent(state& state,
                        const holdings_listed& event,
                        time_point now,
                        effects& out);

/** @brief Takes the answer to an order. */
void OnMaintenanceEvent(state& state,
                        const order_answered& event,
                        time_point now,
                        effects& out);

}  // namespace acaciaferry
