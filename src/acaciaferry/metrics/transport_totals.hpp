#pragma once

#include <atomic>
#include <cstdint>

namespace acaciaferry {

/**
 * @brief Messages and bytes exchanged with all peers since the process started.
 */
struct transport_totals {
  std::atomic<std::uint64_t> sent_messages{};
  std::atomic<std::uint64_t> sent_bytes{};
  /** Messages not sent because the peer was unreachable or read too slowly. */
  std::atomic<std::uint64_t> dropped_messages{};
  std::atomic<std::uint64_t> received_messages{};
  std::atomic<std::uint64_t> received_bytes{};
};

}  // namespace acaciaferry
