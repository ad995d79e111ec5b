#pragma once

#include <nng/nng.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <unordered_map>

#include "acaciaferry/core/time.hpp"
#include "acaciaferry/metrics/transport_totals.hpp"
#include "acaciaferry/peer/codec.hpp"

namespace acaciaferry {

/** Maximum number of connections to peers. Exceeds the VMs of a failure domain
 * plus one delegate for each remote failure domain. */
inline constexpr std::size_t kMaxPeerConnections = 512;

/**
 * @brief Sends and receives messages over nng. One subscriber socket receives
 * from all peers; one publisher socket per address sends and reconnects
 * automatically.
 */
class peer_transport {
 public:
  using receiver = std::function<void(byte_view)>;

  /**
   * @param address IP:PORT to listen on; port 0 selects a free port.
   * @param clock The time source; must outlive the transport.
   * @param receiver Called on the transport's thread for each message.
   * @throws Poco::Exception when the address cannot be bound.
   */
  peer_transport(const std::string& address,
                 const clock_source& clock,
                 receiver receiver);
  ~peer_transport();

  peer_transport(const peer_transport&) = delete;
  peer_transport& operator=(const peer_transport&) = delete;

  /** @brief Starts receiving. */
  void Start();

  /**
   * @brief Queues a message on the connection to an address and opens the
   * connection if there is none. Never blocks.
   * @return Whether the message was queued; it may still be lost.
   */
  bool Send(const std::string& address, std::string_view bytes);

  /** @return The bound IP:PORT. */
  [[nodiscard]] const std::string& Address() const noexcept { return address_; }

  [[nodiscard]] const transport_totals& Totals() const noexcept {
    return totals_;
  }

 private:
  struct connection {
    nng_socket socket{};
    /** Number of established nng pipes, 0 or 1; updated by nng's threads. */
    std::shared_ptr<std::atomic<int>> pipes;
    time_point last_used_at{};
  };

  void Receive();
  [[nodiscard]] connection* FindOrOpen(const std::string& address);
  void CloseUnused(time_point now);

  const clock_source& clock_;
  const receiver receiver_;
  nng_socket listener_{};
  std::string address_;
  transport_totals totals_;
  std::mutex mutex_;
  std::unordered_map<std::string, connection> connections_;
  time_point last_close_unused_{};
  std::atomic<bool> stopping_{};
  std::thread thread_;
};

}  // namespace acaciaferry
