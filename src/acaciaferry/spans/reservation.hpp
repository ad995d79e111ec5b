#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "acaciaferry/core/name.hpp"
#include "acaciaferry/core/request_id.hpp"
#include "acaciaferry/core/time.hpp"

namespace acaciaferry {

/** Lifetime of a reservation that is not renewed. */
inline constexpr duration kSpanLease = std::chrono::seconds(5);
/** Pause between two renewals of a reservation. */
inline constexpr duration kSpanRenewal = std::chrono::seconds(1);

/**
 * @brief Identifies one member's reservation in one round of a span.
 */
struct reservation_id {
  request_id request;
  /** Grows each time the span is attempted anew. */
  std::uint32_t round{};
  /** Position of the member in id order. */
  std::uint32_t index{};

  [[nodiscard]] auto operator<=>(const reservation_id&) const = default;
};

/**
 * @brief Formats a reservation's id as engines see it.
 * @param id The id.
 * @return The request id, the round and the index, joined by dots.
 */
[[nodiscard]] inline std::string ToString(const reservation_id& id) {
  return ToString(id.request) + ".r" + std::to_string(id.round) + "." +
         std::to_string(id.index);
}

/** The engine holds the memory until the lease lapses. */
struct reservation_granted {
  reservation_id reservation;
};

/** The engine had no room, or could not be asked. */
struct reservation_refused {
  reservation_id reservation;
};

/** A renewal failed: the engine died or no longer knows the reservation. */
struct reservation_lost {
  reservation_id reservation;
};

/** Ask an engine to hold memory. */
struct reserve_memory {
  reservation_id reservation;
  target_id target;
  std::string address;
  std::uint64_t tokens{};
  duration lease{};
  /** Time left until the request's deadline. */
  duration remaining{};
};

/** Extend a reservation's lease. */
struct renew_reservation {
  reservation_id reservation;
  std::string address;
  duration lease{};
};

/** Give up a reservation; harmless when the engine does not know it. */
struct release_reservation {
  reservation_id reservation;
  std::string address;
};

}  // namespace acaciaferry
