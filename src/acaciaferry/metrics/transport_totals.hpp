#pragma once

#include <atomic>
#include <cstdint>

namespace acaciaferry {

/**
 * @brief Bytes and messages over all peers since the start.
 */
struct transport_totals {
  std::atomic<std::uint64_t> sent_messages{};
  std::atomic<std::uint64_t> sent_bytes{};
  /** Not sent because the peer is unreachable or reads too slowly. */
  std::atomic<std::uint64_t> dropped_messages{};
  std::atomic<std::uint64_t> received_messages{};
  std::atomic<std::uint64_t> received_bytes{};
};

}  // namespace acaciaferry
