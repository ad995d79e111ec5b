#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "acaciaferry/core/name.hpp"
#include "acaciaferry/core/time.hpp"

namespace acaciaferry {

/** What an order tells a target to do with a model. */
enum class order_action { kLoad, kUnload };

/** How a target answered an order. */
enum class order_verdict {
  kAccepted,
  /** Its fencing number is lower than one that the target has seen. */
  kFenced,
  /** No answer, or a malformed one. */
  kFailed,
};

inline constexpr std::size_t kOrderVerdictCount =
    static_cast<std::size_t>(order_verdict::kFailed) + 1;

/** Order a target to load or unload a model. */
struct issue_order {
  target_id target;
  std::string address;
  /** Equal for equal orders at the same revision, so that a target executes an
   * order once even if it is sent twice. */
  std::string id;
  order_action action{};
  std::string model;
  /** Fencing number; a target refuses one below the highest it has seen. */
  std::uint64_t fencing{};
  /** Time until the order expires. */
  duration expires{};
};

/** A target answered an order, or the connection failed. */
struct order_answered {
  target_id target;
  std::string id;
  order_verdict verdict{};
};

/** @return The name of the action in the message to the target. */
[[nodiscard]] constexpr std::string_view ToString(
    order_action action) noexcept {
  return action == order_action::kLoad ? "load" : "unload";
}

/** @return The name of the verdict as metrics print it. */
[[nodiscard]] constexpr std::string_view ToString(
    order_verdict verdict) noexcept {
  switch (verdict) {
    case order_verdict::kAccepted:
      return "accepted";
    case order_verdict::kFenced:
      return "fenced";
    case order_verdict::kFailed:
      return "failed";
  }
  return "unknown";
}

}  // namespace acaciaferry
