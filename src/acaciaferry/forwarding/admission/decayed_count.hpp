#pragma once

#include <algorithm>
#include <cmath>

#include "acaciaferry/core/time.hpp"

namespace acaciaferry::forwarding {

/**
 * @brief Counts what happened lately: each event adds one, which fades
 * exponentially.
 */
class decayed_count {
 public:
  /** @param window_s Time constant in seconds, above 0. */
  explicit decayed_count(double window_s = kDefaultWindowS)
      : window_s_(window_s) {}

  static constexpr double kDefaultWindowS = 2;

  void Add(double amount, time_point now) {
    value_ = At(now) + amount;
    at_ = std::max(at_, now);
  }

  [[nodiscard]] double At(time_point now) const {
    return value_ * std::exp(-std::max(ToSeconds(now - at_), 0.0) / window_s_);
  }
  [[nodiscard]] double WindowS() const noexcept { return window_s_; }

 private:
  double window_s_;
  double value_{};
  time_point at_{};
};

}  // namespace acaciaferry::forwarding
