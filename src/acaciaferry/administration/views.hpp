#pragma once

#include <nlohmann/json.hpp>

#include "acaciaferry/core/time.hpp"
#include "acaciaferry/reducer/state.hpp"

namespace acaciaferry {

/** @return Identity and state of this VM, its configuration's revision and
 * counts of requests and targets. */
[[nodiscard]] nlohmann::json StatusView(const state& state);

/** @return One object for each target, with its load as last reported. */
[[nodiscard]] nlohmann::json TargetsView(const state& state, time_point now);

/** @return One object for each workspace, without token digests. */
[[nodiscard]] nlohmann::json WorkspacesView(const state& state);

/** @return The pools, workloads and policy in force. */
[[nodiscard]] nlohmann::json ConfigurationView(const state& state);

/** @return One object for each other entry VM that this one knows. */
[[nodiscard]] nlohmann::json PeersView(const state& state, time_point now);

/** @return One object for each request that has not ended. */
[[nodiscard]] nlohmann::json RequestsView(const state& state, time_point now);

}  // namespace acaciaferry
