#pragma once

#include <algorithm>

#include "acaciaferry/core/time.hpp"

namespace acaciaferry {

/**
 * @brief A token bucket: limits a rate, with a bounded burst.
 */
struct token_bucket {
  double tokens{};
  time_point refilled_at{};

  /**
   * @brief Takes one token if there is one.
   * @param rate Tokens per second.
   * @param burst Capacity of the bucket.
   * @param now The current time.
   * @return Whether a token was taken.
   */
  [[nodiscard]] bool Take(double rate, double burst, time_point now) noexcept {
    const double gained = rate * ToSeconds(now - refilled_at);
    tokens = std::min(burst, tokens + std::max(0.0, gained));
    refilled_at = now;
    if (tokens < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }
};

}  // namespace acaciaferry
