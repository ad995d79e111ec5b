#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "acaciaferry/core/name.hpp"
#include "acaciaferry/core/request_id.hpp"
#include "acaciaferry/core/time.hpp"

namespace acaciaferry {

/** Lease of a reservation; it expires unless it is renewed. */
inline constexpr duration kSpanLease = std::chrono::seconds(5);
/** Interval between two renewals of a reservation. */
inline constexpr duration kSpanRenewal = std::chrono::seconds(1);

/**
 * @brief Identifies the reservation of one member in one round of a span. A
 * round is one attempt to reserve memory on all members.
 */
struct reservation_id {
  request_id request;
  /** Number of the round; it grows with each new round on this VM. */
  std::uint32_t round{};
  /** Index of the member in target-id order. */
  std::uint32_t index{};

  [[nodiscard]] auto operator<=>(const reservation_id&) const = default;
};

/**
 * @brief Formats a reservation's id as it is sent to engines.
 * @param id The id.
 * @return The request id, the round and the index, joined by dots.
 */
[[nodiscard]] inline std::string ToString(const reservation_id& id) {
  return ToString(id.request) + ".r" + std::to_string(id.round) + "." +
         std::to_string(id.index);
}

/** The engine has reserved the memory until the lease expires. */
struct reservation_granted {
  reservation_id reservation;
  std::string address;
};

/** The engine has extended the lease. */
struct reservation_renewed {
  reservation_id reservation;
};

/** The engine had no room or did not answer. */
struct reservation_refused {
  reservation_id reservation;
};

/** The engine no longer has the reservation. */
struct reservation_lost {
  reservation_id reservation;
};

/** Asks an engine to reserve memory. */
struct reserve_memory {
  reservation_id reservation;
  target_id target;
  std::string address;
  std::uint64_t tokens{};
  duration lease{};
  /** Time left until the request's deadline. */
  duration remaining{};
};

/** Extends a reservation's lease. */
struct renew_reservation {
  reservation_id reservation;
  std::string address;
  duration lease{};
};

/** Releases a reservation; has no effect when the engine does not have it. */
struct release_reservation {
  reservation_id reservation;
  std::string address;
};

}  // namespace acaciaferry
