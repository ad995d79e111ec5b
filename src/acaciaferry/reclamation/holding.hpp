#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "acaciaferry/core/name.hpp"
#include "acaciaferry/core/time.hpp"

namespace acaciaferry {

enum class holding_kind { kStream, kReservation, kPinnedPrefix, kKvSegment };

/**
 * @brief Memory that an engine holds for the entry VM that owns it.
 */
struct holding {
  std::string id;
  holding_kind kind{};
  vm_id owner;
  std::uint64_t owner_incarnation{};
  /** Time until its deadline when it was listed; negative after the deadline.
   */
  duration remaining{};
  std::uint64_t tokens{};

  [[nodiscard]] bool operator==(const holding&) const = default;
};

/** A target's list of its holdings arrived. */
struct holdings_listed {
  target_id target;
  std::vector<holding> holdings;
};

/** Asks a target for its holdings. */
struct list_holdings {
  target_id target;
  std::string address;
};

/** Why a holding is released. */
enum class release_reason { kDeadlinePassed, kOwnerSuperseded, kOwnerGone };

inline constexpr std::size_t kReleaseReasonCount =
    static_cast<std::size_t>(release_reason::kOwnerGone) + 1;

/** Releases a holding; has no effect when the target no longer has it. */
struct release_holding {
  target_id target;
  std::string address;
  std::string holding;
  release_reason reason{};
};

}  // namespace acaciaferry
