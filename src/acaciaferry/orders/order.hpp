#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "acaciaferry/core/name.hpp"
#include "acaciaferry/core/time.hpp"

namespace acaciaferry {

enum class order_action { kLoad, kUnload };

/** How a target answered an order. */
enum class order_verdict {
  kAccepted,
  /** Its fencing number is older than one that the target has seen. */
  kFenced,
  /** No answer, or one that cannot be understood. */
  kFailed,
};

inline constexpr std::size_t kOrderVerdicts =
    static_cast<std::size_t>(order_verdict::kFailed) + 1;

/** Ask a target to load or unload a model. */
struct issue_order {
  target_id target;
  std::string address;
  /** The same for the same action at the same revision, so that an order that
   * is sent twice acts once. */
  std::string id;
  order_action action{};
  std::string model;
  std::uint64_t fencing{};
  duration expires{};
};

/** A target answered an order, or the connection failed. */
struct order_answered {
  target_id target;
  std::string id;
  order_verdict verdict{};
};

/** @return The name of the action as the order carries it. */
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
