#pragma once

#include <span>
#include <string>
#include <vector>

#include "acaciaferry/experiment/measurement.hpp"

namespace acaciaferry {

enum class bound_verdict { kMet, kNotMet, kNotMeasured };

/**
 * @brief A bound of the design's section 1.3 and what was measured.
 */
struct bound_check {
  std::string name;
  bound_verdict verdict{bound_verdict::kNotMeasured};
  /** The measured figures and the limit, for a reader. */
  std::string figures;
};

/**
 * @brief Checks the bounds of section 1.3 for the policy `acaciaferry`.
 * @param rows All rows of a benchmark.
 * @return One entry for each bound, deployment and seed; a bound whose runs
 * are missing is not measured.
 */
[[nodiscard]] std::vector<bound_check> CheckBounds(
    std::span<const measurement_row> rows);

/** @return The bound as one line. */
[[nodiscard]] std::string ToString(const bound_check& value);

}  // namespace acaciaferry
