#include "acaciaferry/forwarding/target_limits.hpp"

#include <cmath>

namespace acaciaferry::forwarding {
namespace internal {

// A change of a limit by a smaller part is not worth a line.
constexpr double kMinorChange = 0.1;

target_limits::change Compare(std::optional<double> before,
                              std::optional<double> after) {
  using change = target_limits::change;
  if (before == after) {
    return change::kNone;
  }
  if (!after) {
    return change::kEnded;
  }
  if (!before) {
    return change::kNamed;
  }
  return std::abs(*after - *before) > kMinorChange * *before ? change::kChanged
                                                             : change::kMinor;
}

}  // namespace internal

target_limits::change target_limits::Record(
    const target_id& id,
    std::optional<double> requests_per_s) {
  const change changed = internal::Compare(LimitOf(id), requests_per_s);
  if (requests_per_s) {
    limits_[id] = *requests_per_s;
  } else {
    limits_.erase(id);
  }
  return changed;
}

std::optional<double> target_limits::LimitOf(const target_id& id) const {
  const auto at = limits_.find(id);
  return at == limits_.end() ? std::nullopt : std::optional(at->second);
}

}  // namespace acaciaferry::forwarding
