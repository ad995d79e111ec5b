#pragma once

#include <span>
#include <string>
#include <vector>

#include "acaciaferry/experiment/measurement.hpp"

namespace acaciaferry {

enum class bound_verdict { kMet, kNotMet, kNotMeasured };

/**
 * @brief The check of one bound of section 1.3 of the design.
 */
struct bound_check {
  std::string name;
  bound_verdict verdict{bound_verdict::kNotMeasured};
  /** The measured figures and the limit as text. */
  std::string figures;
};

/**
 * @brief Checks the bounds of section 1.3 for the policy `acaciaferry`.
 * @param rows All rows of a benchmark.
 * @return One check for each bound, deployment and seed; its verdict is
 * `kNotMeasured` when the runs it needs are missing.
 */
[[nodiscard]] std::vector<bound_check> CheckBounds(
    std::span<const measurement_row> rows);

/** @return The check as one line of text. */
[[nodiscard]] std::string ToString(const bound_check& value);

}  // namespace acaciaferry
