#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "acaciaferry/core/random.hpp"
#include "acaciaferry/forwarding/load_ledger.hpp"
#include "acaciaferry/forwarding/routing_table.hpp"
#include "acaciaferry/forwarding/target_table.hpp"

namespace acaciaferry::forwarding {

/**
 * @brief The requirements of a prompt that is to be placed.
 */
struct placement_request {
  std::uint64_t prompt_tokens{};
  /** Memory that the decode target must have free; 0 to place it anywhere. */
  std::uint64_t memory_tokens{};
  /** Smallest number of engines to split the prefill over, the decode target
   * included. */
  std::size_t min_parts{1};
  /** Time left until the latency objective is missed. */
  duration latency_budget{};
  /** Longest acceptable gap between two events; 0 for no limit. */
  duration gap_objective{};
  /** Targets that may generate the response, but prefill no part of a prompt
   * for another one. */
  std::vector<target_id> not_as_helpers{};
};

/**
 * @brief The targets that prefill a prompt and generate its response.
 */
struct placement {
  target_id decode_target;
  /** Targets that prefill one part each, besides the decode target. */
  std::vector<target_id> helpers;
  /** Prefill time of each part. */
  duration part_time{};
  /** Predicted time to the first event. */
  duration time_to_first_event{};
  /** Predicted cost to other requests, in units of one late short request. */
  double interference{};

  [[nodiscard]] bool operator==(const placement&) const = default;
};

/**
 * @brief Weighs a request by the length of its prompt, as callers value a
 * generation in proportion to its size.
 * @return The weight relative to a very short request, which has 1.
 */
[[nodiscard]] double RequestWeight(const engine_properties& engine,
                                   std::uint64_t prompt_tokens) noexcept;

/**
 * @brief Chooses targets for a prompt.
 *
 * For each number of parts it takes the engines with the lowest cost: the
 * predicted lateness of the part, and the interference that the part causes to
 * requests there. It returns the number of parts with the lowest total cost.
 *
 * @param engine Properties of the pool's engines.
 * @param candidates Targets that may be chosen.
 * @param ledger Load of the targets.
 * @param wanted Requirements of the request.
 * @param max_helpers Largest number of helpers, 0 for none.
 * @param now The time.
 * @return The placement, or nothing if no candidate has enough free memory or
 * there are too few candidates.
 */
[[nodiscard]] std::optional<placement> PlacePrompt(
    const engine_properties& engine,
    std::span<const target* const> candidates,
    const load_ledger& ledger,
    const placement_request& wanted,
    std::size_t max_helpers,
    time_point now);

/**
 * @brief Chooses a target for a call of a plain service: the one with the
 * fewest calls per slot, preferring the given failure domain among those, and a
 * random one among equals.
 */
[[nodiscard]] const target* PlaceCall(std::span<const target* const> candidates,
                                      const load_ledger& ledger,
                                      const failure_domain_id& own_domain,
                                      random_engine& random,
                                      time_point now);

}  // namespace acaciaferry::forwarding
