#pragma once

#include <span>

#include "acaciaferry/core/time.hpp"
#include "acaciaferry/reducer/effect.hpp"
#include "acaciaferry/reducer/state.hpp"

namespace acaciaferry {

/** @brief Applies the platform's list of VMs to targets, routing, costs and
 * prefix caches. */
void OnVmList(state& state, std::span<const vm_record> vms);

/**
 * @brief Applies a load report, and counts its verdict.
 * @return The verdict on the report.
 */
report_verdict OnLoadReport(state& state,
                            const load_report& report,
                            time_point now,
                            effects& out);

/**
 * @brief Marks a target as leaving when a peer reports it.
 * @return Whether the target was not marked before.
 */
bool OnTargetLeaving(state& state, const leaving_target& leaving);

/** @brief Applies cache events, and counts their verdict. */
void OnCacheEvents(state& state,
                   const cache_events_received& answer,
                   time_point now,
                   effects& out);

}  // namespace acaciaferry
