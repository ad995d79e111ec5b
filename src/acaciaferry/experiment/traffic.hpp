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
  /** When the client sends it, from the start of the run. */
  duration sent{};
  /** What the entry VM is told; its id is set on sending. */
  acaciaferry::request request;
  /** True tokens, which only the target knows. */
  std::uint64_t prompt_tokens{};
  std::uint64_t output_tokens{};
  bool idempotent{true};
  /** Entry VM that the load balancer picks. */
  std::size_t entry_vm{};
};

/**
 * @brief A source of requests with stable texts for each workspace.
 */
struct traffic_plan {
  fleet_parameters fleet;
  traffic_parameters mix;
  std::uint64_t seed{1};
  duration send_duration{};
  /** Share of the fleet's capacity that the prompts need. */
  double load{0.7};
  /** Long prompts that are sent at once after a third of the run. */
  std::size_t burst_prompts{};
  /** Load that the largest workspace adds in the middle third of the run. */
  double large_workspace_load{};
};

/**
 * @brief Mean engine time of one prompt of the mix, without cache hits.
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
