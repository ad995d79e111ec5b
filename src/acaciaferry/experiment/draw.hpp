#pragma once

#include <cmath>

#include "acaciaferry/core/random.hpp"

namespace acaciaferry {

/** @return A uniform number in [0, 1), the same with every standard library. */
[[nodiscard]] inline double DrawUniform(random_engine& random) {
  constexpr unsigned kUnusedBits = 11;
  constexpr double kScale = 0x1.0p-53;
  return static_cast<double>(random() >> kUnusedBits) * kScale;
}

/** @return A uniform number in [from, to). */
[[nodiscard]] inline double DrawBetween(random_engine& random,
                                        double from,
                                        double to) {
  return from + (to - from) * DrawUniform(random);
}

/** @return A number from the exponential distribution with this mean. */
[[nodiscard]] inline double DrawExponential(random_engine& random,
                                            double mean) {
  return -mean * std::log1p(-DrawUniform(random));
}

}  // namespace acaciaferry
