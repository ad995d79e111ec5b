#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <span>

#include "acaciaferry/core/name.hpp"

namespace acaciaferry {

/** Predicted tokens that a workspace of weight 1 is credited in a round. */
inline constexpr double kRoundQuantum = 4'096;

/**
 * @brief Deficit round robin between the workspaces that wait for one kind of
 * capacity. One deficit for each workspace that has requests waiting.
 */
struct deficit_round_robin {
  std::map<workspace_id, double> deficits;
  /** The workspace that was served last. */
  workspace_id last_served;
};

/**
 * @brief A workspace with a request at the head of its queue.
 */
struct queue_head {
  const workspace_id* workspace{};
  /** Predicted tokens of the request; not negative. */
  double cost{};
  /** Above zero. */
  double weight{1};
};

/**
 * @brief Whose turn it is, and how many rounds of credit that takes.
 */
struct workspace_selection {
  std::size_t index{};
  double rounds{};
};

/**
 * @brief Finds the workspace that is served next, without changing anything.
 * @param state The deficits.
 * @param contenders In the order of their ids, each once.
 * @return The turn, or nothing when there are no contenders.
 */
[[nodiscard]] std::optional<workspace_selection> SelectNextWorkspace(
    const deficit_round_robin& state,
    std::span<const queue_head> contenders);

/**
 * @brief Credits the rounds and charges the served workspace.
 * @param state The deficits; those of workspaces that no longer wait go.
 * @param contenders As given to SelectNextWorkspace.
 * @param served What SelectNextWorkspace returned.
 */
void ApplySelection(deficit_round_robin& state,
                    std::span<const queue_head> contenders,
                    const workspace_selection& selection);

}  // namespace acaciaferry
