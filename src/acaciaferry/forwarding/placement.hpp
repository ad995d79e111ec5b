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
 * @brief What placement knows of a request.
 */
struct placement_request {
  std::uint64_t prompt_tokens{};
  /** Memory that the first engine must have; 0 to place it anywhere. */
  std::uint64_t memory_tokens{};
  /** Smallest number of engines that read, the first one included. */
  std::size_t min_parts{1};
  /** Time left until the first event is late. */
  duration latency_budget{};
  /** Longest pause between two events that is on time; 0 for no bound. */
  duration gap_objective{};
};

/**
 * @brief Where a prompt is read and its answer written.
 */
struct placement {
  target_id decode_target;
  /** Targets that read a part each, beside the first. */
  std::vector<target_id> helpers;
  /** Reading time of each part. */
  duration part_time{};
  /** Predicted time until the first event. */
  duration time_to_first_event{};
  /** Cost to other requests, in late short ones. */
  double interference{};
};

/**
 * @brief Values a request by its prompt: callers value a generation in
 * proportion to its size.
 * @return The worth in units of a very short request.
 */
[[nodiscard]] double RequestWeight(const engine_properties& engine,
                                   std::uint64_t prompt_tokens) noexcept;

/**
 * @brief Chooses targets for a prompt.
 *
 * For each number of parts it takes the engines that finish a part soonest,
 * charged with the pauses that the part causes to the writers there, and keeps
 * the number with the least total.
 *
 * @param engine Properties of the pool's engines.
 * @param candidates Targets that can be given work.
 * @param ledger Load of the targets.
 * @param wanted The request.
 * @param most_helpers Largest number of helpers, 0 for none.
 * @param now The time.
 * @return The choice, or nothing when no candidate has the memory or a place.
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
 * fewest calls for its slots, one in the caller's failure domain before
 * others, and a random one among equals.
 */
[[nodiscard]] const target* PlaceCall(std::span<const target* const> candidates,
                                      const load_ledger& ledger,
                                      const failure_domain_id& own_domain,
                                      random_engine& random,
                                      time_point now);

}  // namespace acaciaferry::forwarding
