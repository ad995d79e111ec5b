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

// Rounds until the workspace's deficit covers the request, in closed form: a
// prompt of a million tokens would take hundreds of iterations.
double RoundsUntilAffordable(const deficit_round_robin& state,
                             const queue_head& each) {
  const double missing = each.cost - DeficitOf(state, *each.workspace);
  return std::max(0.0, std::ceil(missing / (kRoundQuantum * each.weight)));
}

}  // namespace internal

std::optional<workspace_selection> SelectNextWorkspace(
    const deficit_round_robin& state,
    std::span<const queue_head> heads) {
  std::optional<workspace_selection> best;
  const std::size_t size = heads.size();
  // Iteration starts at the workspace that was served last: it continues while
  // its deficit lasts, and loses ties once it needs more credit.
  const auto first =
      std::lower_bound(heads.begin(), heads.end(), state.last_served,
                       [](const queue_head& each, const workspace_id& id) {
                         return *each.workspace < id;
                       });
  const auto start = static_cast<std::size_t>(first - heads.begin());
  for (std::size_t i = 0; i < size; ++i) {
    const std::size_t index = (start + i) % size;
    const double rounds = internal::RoundsUntilAffordable(state, heads[index]);
    const bool is_last_served = *heads[index].workspace == state.last_served;
    const bool is_tie_with_last_served =
        best && rounds == best->rounds && rounds > 0 &&
        *heads[best->index].workspace == state.last_served && !is_last_served;
    if (!best || rounds < best->rounds || is_tie_with_last_served) {
      best = workspace_selection{index, rounds};
    }
  }
  return best;
}

void ApplySelection(deficit_round_robin& state,
                    std::span<const queue_head> heads,
                    const workspace_selection& selection) {
  std::map<workspace_id, double> next;
  for (const queue_head& each : heads) {
    next.emplace_hint(next.end(), *each.workspace,
                      internal::DeficitOf(state, *each.workspace) +
                          selection.rounds * kRoundQuantum * each.weight);
  }
  const queue_head& winner = heads[selection.index];
  next[*winner.workspace] -= winner.cost;
  state.last_served = *winner.workspace;
  state.deficits = std::move(next);
}

}  // namespace acaciaferry
