#pragma once

#include <chrono>

namespace acaciaferry {

using duration = std::chrono::microseconds;
using time_point = std::chrono::time_point<std::chrono::steady_clock, duration>;

/**
 * @brief Source of monotonic time, injected into all code that needs the time.
 */
class clock_source {
 public:
  virtual ~clock_source() = default;

  /** @return The current monotonic time in microseconds. */
  [[nodiscard]] virtual time_point Now() const noexcept = 0;
};

/**
 * @brief Clock source backed by std::chrono::steady_clock.
 */
class steady_clock_source final : public clock_source {
 public:
  [[nodiscard]] time_point Now() const noexcept override {
    return std::chrono::time_point_cast<duration>(
        std::chrono::steady_clock::now());
  }
};

/**
 * @brief Converts a duration to fractional milliseconds.
 * @param value A duration of any sign.
 * @return The duration in milliseconds.
 */
[[nodiscard]] constexpr double ToMilliseconds(duration value) noexcept {
  return std::chrono::duration<double, std::milli>(value).count();
}

/**
 * @brief Converts a duration to fractional seconds.
 * @param value A duration of any sign.
 * @return The duration in seconds.
 */
[[nodiscard]] constexpr double ToSeconds(duration value) noexcept {
  return std::chrono::duration<double>(value).count();
}

/**
 * @brief Converts seconds to a duration, rounding towards zero.
 * @param seconds A finite number of seconds, at most 1e9.
 * @return The duration in whole microseconds.
 */
[[nodiscard]] constexpr duration FromSeconds(double seconds) noexcept {
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace acaciaferry
