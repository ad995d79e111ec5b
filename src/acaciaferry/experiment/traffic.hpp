#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "acaciaferry/core/request.hpp"
#include "acaciaferry/core/time.hpp"
#include "acaciaferry/experiment/parameters.hpp"

namespace acaciaferry {

/**
 * @brief A request of a simulated client.
 */
struct traffic_request {
  /** Time of sending since the start of the run. */
  duration sent{};
  /** The request as the entry VM receives it; its id is set on sending. */
  acaciaferry::request request;
  /** Actual token counts, which only the target knows. */
  std::uint64_t prompt_tokens{};
  std::uint64_t output_tokens{};
  bool idempotent{true};
  /** Index of the entry VM that the load balancer selects. */
  std::size_t entry_vm{};
};

/**
 * @brief Configuration of the generated traffic.
 */
struct traffic_plan {
  fleet_parameters fleet;
  traffic_parameters mix;
  std::uint64_t seed{1};
  duration send_duration{};
  /** Load of the prompts as a share of the fleet's capacity. */
  double load{0.7};
  /** Number of long prompts sent at once after a third of the run. */
  std::size_t burst_prompts{};
  /** Load added by the largest workspace in the middle third of the run. */
  double large_workspace_load{};
};

/**
 * @brief Mean engine time of a generated prompt, without cache hits.
 * @return Seconds.
 */
[[nodiscard]] double MeanEngineSeconds(const fleet_parameters& fleet,
                                       const traffic_parameters& mix);

/**
 * @brief Generates the requests of a run.
 * @return Requests in the order of their sending times; the same plan gives
 * the same requests.
 */
[[nodiscard]] std::vector<traffic_request> GenerateTraffic(
    const traffic_plan& plan);

}  // namespace acaciaferry
