#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "acaciaferry/core/name.hpp"
#include "acaciaferry/core/time.hpp"

namespace acaciaferry {

/**
 * @brief A target that went while it ran a request.
 */
struct request_crash {
  target_id target;
  time_point at{};
  /** How long the target had had the request. */
  duration ran_for{};

  [[nodiscard]] bool operator==(const request_crash&) const = default;
};

/** Number of targets that one request may crash. */
inline constexpr std::uint32_t kMaxRequestCrashes = 3;

/**
 * @brief What the crashes of one request amount to.
 */
struct crash_tally {
  /** Crashes in halves; one that may have had a cause in common with another
   * counts half. */
  std::uint32_t halves{};
  /** When the request had crashed kMaxRequestCrashes. */
  std::optional<time_point> limit_reached_at;
  /** Targets that went later than the VMs need to hear of the limit; each of
   * them was a test. */
  std::uint32_t failed_tests{};
};

/**
 * @brief Counts the crashes of one request.
 *
 * Crashes of one target within a second are one crash that several VMs have
 * seen. Crashes of several targets at a time, none of which got the request
 * after the first of them, are one crash and a half for each further target.
 * @param crashes The crashes that all VMs have seen, in any order.
 * @param unlisted Crashes that are known by their number only; they are taken
 * to be the earliest.
 */
[[nodiscard]] crash_tally Tally(std::vector<request_crash> crashes,
                                std::uint32_t unlisted);

}  // namespace acaciaferry
