#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <span>

#include "acaciaferry/core/name.hpp"

namespace acaciaferry {

/** Quantum: predicted tokens credited to a workspace of weight 1 in each round.
 */
inline constexpr double kRoundQuantum = 4'096;

/**
 * @brief Deficit round robin between the workspaces of one queue. Has one
 * deficit for each workspace with waiting requests.
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
  /** Predicted tokens of the request; never negative. */
  double cost{};
  /** Greater than zero. */
  double weight{1};
};

/**
 * @brief Index of the workspace that is served next, and the rounds of credit
 * that this takes.
 */
struct workspace_selection {
  std::size_t index{};
  double rounds{};
};

/**
 * @brief Selects the workspace that is served next, without changing the state.
 * @param state The deficits.
 * @param heads The heads of the queues, ordered by workspace id without
 * duplicates.
 * @return The selection, or nothing when `heads` is empty.
 */
[[nodiscard]] std::optional<workspace_selection> SelectNextWorkspace(
    const deficit_round_robin& state,
    std::span<const queue_head> heads);

/**
 * @brief Credits the rounds to all workspaces and charges the selected one.
 * @param state The deficits; those of workspaces without waiting requests are
 * removed.
 * @param heads As passed to SelectNextWorkspace.
 * @param selection The result of SelectNextWorkspace.
 */
void ApplySelection(deficit_round_robin& state,
                    std::span<const queue_head> heads,
                    const workspace_selection& selection);

}  // namespace acaciaferry
