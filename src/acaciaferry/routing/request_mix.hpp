#pragma once

#include "acaciaferry/core/length_class.hpp"
#include "acaciaferry/core/time.hpp"

namespace acaciaferry {

/** @return Whether prompts of this class noticeably delay short ones queued
 * behind them. */
[[nodiscard]] constexpr bool IsLong(length_class value) noexcept {
  return value >= length_class::kUpTo128k;
}

/**
 * @brief Predicted tokens of the recent requests of one pool, by prompt length.
 */
struct request_mix {
  double short_work{};
  double long_work{};
  time_point updated_at{};
  /** The measured share, in multiples of 1 / kShareSteps. */
  unsigned step{};
  /** The share in use: the measured one, but at least the floor. */
  double share{};
};

inline constexpr unsigned kShareSteps = 16;

/**
 * @brief Adds a request to the mix.
 * @param mix The mix; older requests decay with a half-life of a minute.
 * @param work The request's predicted tokens.
 * @param is_long Whether its prompt is long.
 * @param now When it arrived.
 */
void AddToMix(request_mix& mix, double work, bool is_long, time_point now);

/**
 * @brief Computes the share of engines that accept only short prompts.
 *
 * The share changes in steps with hysteresis, so that VMs that see slightly
 * different mixes agree.
 *
 * @param mix The mix, which stores the current step.
 * @param floor The minimum share, 0 to 0.9.
 * @return The share, 0 to 1.
 */
[[nodiscard]] double UpdateShortOnlyShare(request_mix& mix, double floor);

}  // namespace acaciaferry
