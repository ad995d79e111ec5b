#include "acaciaferry/routing/routing.hpp"

#include <algorithm>

namespace acaciaferry {
namespace internal {

// A plain service call counts as one unit.
std::uint64_t Cost(const request& request) noexcept {
  return request.prompt_tokens + request.max_output_tokens + 1;
}

std::uint64_t Outstanding(const routing_state& state, const target_id& target) {
  const auto found = state.outstanding_tokens.find(target);
  return found == state.outstanding_tokens.end() ? 0 : found->second;
}

}  // namespace internal

std::optional<target_id> ChooseTarget(const routing_state& state,
                                      const routing_query& query,
                                      std::span<const target* const> live) {
  std::optional<target_id> best;
  std::uint64_t best_outstanding = 0;
  for (const target* const candidate : live) {
    const bool excluded =
        std::find(query.excluded.begin(), query.excluded.end(),
                  candidate->id) != query.excluded.end();
    const std::uint64_t outstanding =
        internal::Outstanding(state, candidate->id);
    if (!excluded && (!best || outstanding < best_outstanding)) {
      best = candidate->id;
      best_outstanding = outstanding;
    }
  }
  return best;
}

void RecordDispatch(routing_state& state,
                    const target_id& target,
                    const request& request) {
  state.outstanding_tokens[target] += internal::Cost(request);
}

void RecordEnd(routing_state& state,
               const target_id& target,
               const request& request) {
  const auto found = state.outstanding_tokens.find(target);
  if (found == state.outstanding_tokens.end()) {
    return;
  }
  found->second -= std::min(found->second, internal::Cost(request));
  if (found->second == 0) {
    state.outstanding_tokens.erase(found);
  }
}

}  // namespace acaciaferry
