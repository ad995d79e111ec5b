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
 * @brief What happens to the fleet during a run.
 */
struct fleet_faults {
  /** Engines that die at `from` and start again, empty, at `until`. */
  std::size_t engines_lost{};
  /** The failure domain that is cut off from the others. */
  std::optional<std::size_t> domain_cut_off;
  duration from{};
  duration until{};
};

enum class request_result { kPending, kAnswered, kRefused, kFailed };

/**
 * @brief What a simulated client saw of one request.
 */
struct request_observation {
  request_result result{request_result::kPending};
  /** Why it was refused or failed; nothing when it was answered. */
  std::optional<failure_code> reason;
  /** From sending, as the client measures. */
  std::optional<duration> time_to_first_token;
  duration total_time{};
  duration deadline{};
  std::uint64_t received_tokens{};
  /** How often a target began to run it. */
  std::uint32_t executions{};
};

/**
 * @brief One run: a fleet, a policy and the requests.
 */
struct simulation_plan {
  deployment_kind deployment{deployment_kind::kWorks};
  fleet_parameters fleet;
  policy_kind policy{policy_kind::kAcaciaferry};
  std::uint64_t seed{1};
  /** Whether each request is sent when the one before has ended. */
  bool one_at_a_time{};
  fleet_faults faults;
};

/**
 * @brief The outcome of one run.
 */
struct simulation_result {
  /** One for each request, in the same order. */
  std::vector<request_observation> requests;
  /** Virtual time at the end. */
  duration elapsed{};
  /** KV memory still held after every deadline and its grace. */
  std::uint64_t leaked_bytes{};
  std::uint64_t prefilled_tokens{};
  std::uint64_t generated_tokens{};
  /** Events that the entry VMs handled. */
  std::uint64_t reduced_events{};
};

/**
 * @brief Runs a fleet in virtual time.
 * @param plan The fleet and policy.
 * @param traffic The requests, in the order of their sending times.
 * @return What the clients saw and what the engines did.
 */
[[nodiscard]] simulation_result Simulate(
    const simulation_plan& plan,
    std::span<const traffic_request> traffic);

}  // namespace acaciaferry
