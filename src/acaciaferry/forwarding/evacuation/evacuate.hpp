#pragma once

#include <cstddef>
#include <vector>

#include "acaciaferry/forwarding/state.hpp"

namespace acaciaferry::forwarding {

/** @return The attempts of this VM that use a target of a failure domain,
 * helpers included. */
[[nodiscard]] std::size_t CountAttemptsIn(const state& current,
                                          const failure_domain_id& domain);

namespace internal {

/** @return Whether a target is in an evacuated failure domain, so that no
 * request may be sent to it. */
[[nodiscard]] bool IsEvacuated(const state& current, const target_id& id);

/** @return Whether an attempt uses a target of an evacuated failure domain,
 * which may not be published any more. */
[[nodiscard]] bool IsEvacuated(const state& current, const attempt& placed);

/** @brief Drops the targets of evacuated failure domains. */
void RemoveEvacuated(const state& current, std::vector<const target*>& targets);

/** @return The targets of a pool that are neither leaving nor evacuated. */
[[nodiscard]] std::vector<const target*> StayingTargets(const state& current,
                                                        const pool_id& pool);

/** @return Whether a pool has targets that are not leaving, all of them in
 * evacuated failure domains. */
[[nodiscard]] bool IsPoolEvacuated(const state& current, const pool_id& pool);

/** @brief Applies changed evacuations: attempts that were not sent to an
 * evacuated target move on at once; those that were sent run to their end. */
void ApplyEvacuations(state& current,
                      const domains_evacuated& evacuated,
                      time_point now,
                      effects& out);

/** @brief Logs the evacuated failure domains in which the last attempt of this
 * VM has ended. */
void ReportDrained(state& current, time_point now, effects& out);

}  // namespace internal
}  // namespace acaciaferry::forwarding
