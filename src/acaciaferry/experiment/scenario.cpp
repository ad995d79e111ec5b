#include "acaciaferry/experiment/scenario.hpp"

#include <array>

#include "acaciaferry/core/length_class.hpp"

namespace acaciaferry {
namespace internal {

constexpr double kOverloadX2Load = 2;
constexpr double kOverloadX5Load = 5;
// With the default load of 0.7, this exceeds the fleet's capacity.
constexpr double kLargeWorkspaceLoad = 0.6;
// One engine in five, as when a rack fails.
constexpr std::size_t kLostEnginesDivisor = 5;
// The scenario `idle` sends one request at a time. Of the many prompts up to
// 32k tokens every eighth is enough; longer prompts are all sent.
constexpr std::size_t kIdleSampleInterval = 8;

std::vector<traffic_request> SampleForIdle(
    std::vector<traffic_request> requests) {
  std::size_t index = 0;
  std::erase_if(requests, [&index](const traffic_request& each) {
    const bool is_call = each.request.kind == request_kind::kServiceCall;
    const bool is_short = each.prompt_tokens <= kLengthClassLimits[1];
    return is_call || (is_short && index++ % kIdleSampleInterval != 0);
  });
  return requests;
}

}  // namespace internal

std::string_view ToString(scenario_kind kind) noexcept {
  constexpr std::array<std::string_view, kScenarioCount> kNames{
      "idle",        "short_only",      "mixed",
      "long_burst",  "large_workspace", "overload_x2",
      "overload_x5", "engines_lost",    "domain_cut_off"};
  return kNames[static_cast<std::size_t>(kind)];
}

double ScenarioLoad(scenario_kind kind) noexcept {
  switch (kind) {
    case scenario_kind::kOverloadX2:
      return internal::kOverloadX2Load;
    case scenario_kind::kOverloadX5:
      return internal::kOverloadX5Load;
    default:
      return kDefaultLoad;
  }
}

std::vector<traffic_request> MakeTraffic(const run_plan& plan) {
  traffic_plan traffic;
  traffic.fleet = MakeFleetParameters(plan.deployment);
  traffic.seed = plan.seed;
  traffic.send_duration = plan.send_duration;
  traffic.load = plan.load;
  if (plan.scenario == scenario_kind::kLongBurst) {
    traffic.burst_prompts = traffic.fleet.engines;
  }
  if (plan.scenario == scenario_kind::kLargeWorkspace) {
    traffic.large_workspace_load = internal::kLargeWorkspaceLoad;
  }
  std::vector<traffic_request> requests = GenerateTraffic(traffic);
  if (plan.scenario == scenario_kind::kIdle) {
    return internal::SampleForIdle(std::move(requests));
  }
  if (plan.scenario == scenario_kind::kShortOnly) {
    // Keeps the short requests of `mixed` with their sending times, so that
    // their rate is the same.
    std::erase_if(requests, [](const traffic_request& each) {
      return ClassifyLength(each.prompt_tokens) != length_class::kUpTo4k;
    });
  }
  return requests;
}

simulation_plan MakeSimulationPlan(const run_plan& plan) {
  simulation_plan result;
  result.deployment = plan.deployment;
  result.fleet = MakeFleetParameters(plan.deployment);
  result.policy = plan.policy;
  result.seed = plan.seed;
  result.one_at_a_time = plan.scenario == scenario_kind::kIdle;
  result.faults.from = plan.send_duration / 3;
  result.faults.until = plan.send_duration * 2 / 3;
  if (plan.scenario == scenario_kind::kEnginesLost) {
    result.faults.engines_lost =
        result.fleet.engines / internal::kLostEnginesDivisor;
  }
  if (plan.scenario == scenario_kind::kDomainCutOff) {
    result.faults.domain_cut_off = result.fleet.failure_domains - 1;
  }
  return result;
}

}  // namespace acaciaferry
