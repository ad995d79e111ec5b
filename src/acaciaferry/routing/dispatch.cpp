#include "acaciaferry/routing/dispatch.hpp"

#include <algorithm>

namespace acaciaferry {

std::span<const dispatch> DispatchesTo(const own_dispatches& own,
                                       const target_id& target) noexcept {
  const auto found = own.find(target);
  return found == own.end() ? std::span<const dispatch>{}
                            : std::span<const dispatch>(found->second);
}

dispatch* FindDispatch(own_dispatches& own,
                       const target_id& target,
                       const attempt_id& attempt) noexcept {
  const auto found = own.find(target);
  if (found == own.end()) {
    return nullptr;
  }
  for (dispatch& each : found->second) {
    if (each.attempt == attempt) {
      return &each;
    }
  }
  return nullptr;
}

void EraseDispatch(own_dispatches& own,
                   const target_id& target,
                   const attempt_id& attempt) {
  const auto found = own.find(target);
  if (found == own.end()) {
    return;
  }
  std::erase_if(found->second, [&attempt](const dispatch& each) {
    return each.attempt == attempt;
  });
  if (found->second.empty()) {
    own.erase(found);
  }
}

}  // namespace acaciaferry
