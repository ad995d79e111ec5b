#pragma once

#include "acaciaferry/core/length_class.hpp"
#include "acaciaferry/core/time.hpp"

namespace acaciaferry {

/** @return Whether prompts of this class delay short ones that wait for them.
 */
[[nodiscard]] constexpr bool IsLong(length_class value) noexcept {
  return value >= length_class::kUpTo128k;
}

/**
 * @brief The work that recent requests of one pool asked for.
 */
struct request_mix {
  double short_work{};
  double long_work{};
  time_point updated_at{};
  /** The measured share, in steps of 1 / kShareSteps. */
  unsigned step{};
  /** The share in force: the measured one or the floor. */
  double share{};
};

inline constexpr unsigned kShareSteps = 16;

/**
 * @brief Adds a request to the mix.
 * @param mix The mix; older work fades with a half-life of a minute.
 * @param work The request's predicted tokens.
 * @param is_long Whether its prompt is long.
 * @param now When it arrived.
 */
void AddToMix(request_mix& mix, double work, bool is_long, time_point now);

/**
 * @brief Sizes the share of engines that take no long prompts.
 *
 * The share changes in steps, and only when the mix has clearly moved, so that
 * VMs that see slightly different mixes agree.
 *
 * @param mix The mix, which keeps the step in force.
 * @param floor The least share, 0 to 0.9.
 * @return The share, 0 to 1.
 */
[[nodiscard]] double UpdateShortOnlyShare(request_mix& mix, double floor);

}  // namespace acaciaferry
