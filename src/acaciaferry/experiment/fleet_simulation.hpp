#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "acaciaferry/core/failure.hpp"
#include "acaciaferry/core/time.hpp"
#include "acaciaferry/experiment/baseline.hpp"
#include "acaciaferry/experiment/fleet_document.hpp"
#include "acaciaferry/experiment/traffic.hpp"

namespace acaciaferry {

/**
 * @brief Faults injected during a run.
 */
struct fleet_faults {
  /** Number of engines that stop at `from` and restart empty at `until`. */
  std::size_t engines_lost{};
  /** Index of the failure domain that is partitioned from the others between
   * `from` and `until`. */
  std::optional<std::size_t> domain_cut_off;
  /** Times since the start of the run. */
  duration from{};
  duration until{};
};

enum class request_result { kPending, kAnswered, kRefused, kFailed };

/**
 * @brief The outcome of one request at its simulated client.
 */
struct request_observation {
  request_result result{request_result::kPending};
  /** Why the request was refused or failed; empty when it was answered. */
  std::optional<failure_code> reason;
  /** Both times are measured by the client from sending the request. */
  std::optional<duration> time_to_first_token;
  duration total_time{};
  duration deadline{};
  std::uint64_t received_tokens{};
  /** Number of times that a target started the request. */
  std::uint32_t executions{};
};

/**
 * @brief Configuration of one run.
 */
struct simulation_plan {
  deployment_kind deployment{deployment_kind::kWorks};
  fleet_parameters fleet;
  policy_kind policy{policy_kind::kAcaciaferry};
  std::uint64_t seed{1};
  /** Whether each request is sent only after the one before has ended. */
  bool one_at_a_time{};
  fleet_faults faults;
};

/**
 * @brief The results of one run.
 */
struct simulation_result {
  /** One for each request, in the order of the traffic. */
  std::vector<request_observation> requests;
  /** Virtual time from the start to the end of the run. */
  duration elapsed{};
  /** KV memory still reserved at the end, after every deadline and the grace
   * period for releases. */
  std::uint64_t leaked_bytes{};
  std::uint64_t prefilled_tokens{};
  std::uint64_t generated_tokens{};
  /** Events that the entry VMs handled. */
  std::uint64_t reduced_events{};
};

/**
 * @brief Simulates a fleet in virtual time.
 * @param plan The fleet and policy.
 * @param traffic The requests, in the order of their sending times.
 * @return Outcomes of the requests and totals of the engines.
 */
[[nodiscard]] simulation_result Simulate(
    const simulation_plan& plan,
    std::span<const traffic_request> traffic);

}  // namespace acaciaferry
