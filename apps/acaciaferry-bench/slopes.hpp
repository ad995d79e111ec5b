#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

/**
 * @brief Cost of one reducer at one size of the fleet.
 */
struct slope_row {
  std::size_t targets{};
  /** Entry VMs in the VM list. */
  std::size_t peers{};
  /** What was fed: `vm_list`, `load_report` or `request`. */
  std::string_view event;
  /** Events a second on one core; a request is five events. */
  double events_per_s{};
  /** Bytes allocated for the state after the VM list and two reports of each
   * target, with no request in it. */
  std::size_t state_bytes{};
};

/** @brief Measures reducers at the sizes of the design, on this thread. */
[[nodiscard]] std::vector<slope_row> MeasureSlopes();

/** @return The row as one JSON object on one line. */
[[nodiscard]] std::string ToJson(const slope_row& row);
