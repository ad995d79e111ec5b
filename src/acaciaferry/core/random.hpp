#pragma once

#include <cstdint>
#include <random>

namespace acaciaferry {

/** Random engine of the reducer; its seed is part of the reducer's state. */
using random_engine = std::mt19937_64;

/**
 * @brief Draws a uniformly distributed integer without modulo bias.
 *
 * std::uniform_int_distribution gives different numbers with different standard
 * libraries, so an event log recorded with one could not be replayed with
 * another.
 *
 * @param engine The random engine.
 * @param bound Exclusive upper bound, above zero.
 * @return A number in [0, bound).
 */
[[nodiscard]] inline std::uint64_t DrawBelow(random_engine& engine,
                                             std::uint64_t bound) {
  const std::uint64_t rejection_threshold =
      ~std::uint64_t{0} - (~std::uint64_t{0} % bound);
  std::uint64_t draw = engine();
  while (draw >= rejection_threshold) {
    draw = engine();
  }
  return draw % bound;
}

/**
 * @brief Draws a fraction in steps of a millionth.
 * @param engine The random engine.
 * @return A number in [0, 1).
 */
[[nodiscard]] inline double DrawFraction(random_engine& engine) {
  constexpr std::uint64_t kSteps = 1'000'000;
  return static_cast<double>(DrawBelow(engine, kSteps)) /
         static_cast<double>(kSteps);
}

}  // namespace acaciaferry
