#pragma once

#include <span>

#include "acaciaferry/core/time.hpp"
#include "acaciaferry/reducer/effect.hpp"
#include "acaciaferry/reducer/state.hpp"

namespace acaciaferry {

/** @brief Takes over the platform's list in every module that follows it. */
void OnVmList(state& state, std::span<const vm_record> vms);

/**
 * @brief Takes over a load report, or counts why it was not used.
 * @return What became of the report.
 */
report_verdict OnLoadReport(state& state,
                            const load_report& report,
                            time_point now,
                            effects& out);

/**
 * @brief Takes over a peer's word that a target is leaving.
 * @return Whether it was news.
 */
bool OnTargetLeaving(state& state, const leaving_target& leaving);

/** @brief Takes over cache events, or counts why they were not used. */
void OnCacheEvents(state& state,
                   const cache_events_received& answer,
                   time_point now,
                   effects& out);

}  // namespace acaciaferry
