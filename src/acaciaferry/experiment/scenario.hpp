#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "acaciaferry/experiment/fleet_simulation.hpp"
#include "acaciaferry/experiment/traffic.hpp"

namespace acaciaferry {

enum class scenario_kind {
  kIdle,
  kShortOnly,
  kMixed,
  kLongBurst,
  kLargeWorkspace,
  kOverloadX2,
  kOverloadX5,
  kEnginesLost,
  kDomainCutOff,
};

inline constexpr std::size_t kScenarioCount = 9;

/** @return The scenario's name in reports. */
[[nodiscard]] std::string_view ToString(scenario_kind kind) noexcept;

/** The load of every scenario except overload, as a share of capacity. */
inline constexpr double kDefaultLoad = 0.7;

/**
 * @brief Configuration of one run of the benchmark.
 */
struct run_plan {
  deployment_kind deployment{deployment_kind::kWorks};
  policy_kind policy{policy_kind::kAcaciaferry};
  scenario_kind scenario{scenario_kind::kMixed};
  /** Share of the fleet's capacity. */
  double load{kDefaultLoad};
  std::uint64_t seed{1};
  /** Virtual time during which requests are sent. */
  duration send_duration{};
};

/** @return The load of a scenario as a share of the fleet's capacity. */
[[nodiscard]] double ScenarioLoad(scenario_kind kind) noexcept;

/** @return The requests of a run; they do not depend on the policy. */
[[nodiscard]] std::vector<traffic_request> MakeTraffic(const run_plan& plan);

/** @return The fleet, policy and faults of a run. */
[[nodiscard]] simulation_plan MakeSimulationPlan(const run_plan& plan);

}  // namespace acaciaferry
