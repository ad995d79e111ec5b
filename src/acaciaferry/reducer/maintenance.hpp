#pragma once

#include <optional>

#include "acaciaferry/core/time.hpp"
#include "acaciaferry/reducer/effect.hpp"
#include "acaciaferry/reducer/state.hpp"

namespace acaciaferry {

/** @brief Records which owners of holdings exist: the VMs of the list, this VM
 * and its live peers. */
void ObserveHoldingOwners(state& state,
                          const vm_list_received& event,
                          time_point now);

/**
 * @brief Requests the holdings of the targets that this VM sweeps, and issues
 * orders if this VM is the issuer of its failure domain.
 */
void MaintainTargets(state& state, time_point now, effects& out);

/** @return When MaintainTargets must run next. */
[[nodiscard]] std::optional<time_point> NextMaintenance(const state& state);

/** @brief Releases the listed holdings whose owners no longer exist. */
void OnMaintenanceEvent(state& state,
                        const holdings_listed& event,
                        time_point now,
                        effects& out);

/** @brief Handles the answer to an order. */
void OnMaintenanceEvent(state& state,
                        const order_answered& event,
                        time_point now,
                        effects& out);

}  // namespace acaciaferry
