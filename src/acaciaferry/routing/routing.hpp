#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>

#include "acaciaferry/core/name.hpp"
#include "acaciaferry/core/request.hpp"
#include "acaciaferry/targets/target.hpp"

namespace acaciaferry {

/**
 * @brief What this VM has sent to each target and not yet seen ended.
 */
struct routing_state {
  std::unordered_map<target_id, std::uint64_t> outstanding_tokens;
};

/**
 * @brief What routing needs to know of a request.
 */
struct routing_query {
  const acaciaferry::request& request;
  /** Targets on which earlier attempts of the request failed. */
  std::span<const target_id> excluded;
};

/**
 * @brief Chooses a target for a request.
 * @param state This VM's outstanding work.
 * @param query The request.
 * @param live The pool's targets that may take work, in id order.
 * @return The target, or nothing when all are excluded.
 */
[[nodiscard]] std::optional<target_id> ChooseTarget(
    const routing_state& state,
    const routing_query& query,
    std::span<const target* const> live);

/** @brief Accounts for work sent to a target. */
void RecordDispatch(routing_state& state,
                    const target_id& target,
                    const request& request);

/** @brief Accounts for the end of work that was sent to a target. */
void RecordEnd(routing_state& state,
               const target_id& target,
               const request& request);

}  // namespace acaciaferry
