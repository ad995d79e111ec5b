#pragma once

#include <cstdint>
#include <random>

namespace acaciaferry {

/** The reducer's source of random numbers; its seed is part of the state. */
using random_engine = std::mt19937_64;

/**
 * @brief Draws a whole number without the modulo bias.
 *
 * std::uniform_int_distribution differs between standard libraries, which
 * would break replay of a recorded event log elsewhere.
 *
 * @param engine The source.
 * @param bound Exclusive upper bound, above zero.
 * @return A number in [0, bound).
 */
[[nodiscard]] inline std::uint64_t DrawBelow(random_engine& engine,
                                             std::uint64_t bound) {
  const std::uint64_t reject_above =
      ~std::uint64_t{0} - (~std::uint64_t{0} % bound);
  std::uint64_t draw = engine();
  while (draw >= reject_above) {
    draw = engine();
  }
  return draw % bound;
}

}  // namespace acaciaferry
