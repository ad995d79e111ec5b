#include "acaciaferry/workspaces/round_robin.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace acaciaferry {
namespace internal {

double DeficitOf(const deficit_round_robin& state, const workspace_id& id) {
  const auto found = state.deficits.find(id);
  return found == state.deficits.end() ? 0 : found->second;
}

// Rounds until the workspace can pay, in closed form: prompts of a million
// tokens would take hundreds of rounds of credit.
double RoundsUntilAffordable(const deficit_round_robin& state,
                             const queue_head& each) {
  const double missing = each.cost - DeficitOf(state, *each.workspace);
  return std::max(0.0, std::ceil(missing / (kRoundQuantum * each.weight)));
}

}  // namespace internal

std::optional<workspace_selection> SelectNextWorkspace(
    const deficit_round_robin& state,
    std::span<const queue_head> contenders) {
  std::optional<workspace_selection> best;
  const std::size_t size = contenders.size();
  // The ring starts at the workspace that was served last: it goes on while
  // its deficit lasts, and comes last once it needs more credit.
  const auto first =
      std::lower_bound(contenders.begin(), contenders.end(), state.last_served,
                       [](const queue_head& each, const workspace_id& id) {
                         return *each.workspace < id;
                       });
  const auto start = static_cast<std::size_t>(first - contenders.begin());
  for (std::size_t i = 0; i < size; ++i) {
    const std::size_t index = (start + i) % size;
    const double rounds =
        internal::RoundsUntilAffordable(state, contenders[index]);
    const bool is_last_served =
        *contenders[index].workspace == state.last_served;
    const bool is_tie_with_last_served =
        best && rounds == best->rounds && rounds > 0 &&
        *contenders[best->index].workspace == state.last_served &&
        !is_last_served;
    if (!best || rounds < best->rounds || is_tie_with_last_served) {
      best = workspace_selection{index, rounds};
    }
  }
  return best;
}

void ApplySelection(deficit_round_robin& state,
                    std::span<const queue_head> contenders,
                    const workspace_selection& selection) {
  std::map<workspace_id, double> next;
  for (const queue_head& each : contenders) {
    next.emplace_hint(next.end(), *each.workspace,
                      internal::DeficitOf(state, *each.workspace) +
                          selection.rounds * kRoundQuantum * each.weight);
  }
  const queue_head& winner = contenders[selection.index];
  next[*winner.workspace] -= winner.cost;
  state.last_served = *winner.workspace;
  state.deficits = std::move(next);
}

}  // namespace acaciaferry
