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

/** Connections to other daemons; more than a failure domain and one delegate
 * for each remote one. */
inline constexpr std::size_t kMaxPeerConnections = 512;

/**
 * @brief Sends and receives whole messages over nng: one pull socket takes
 * from all peers, and one push socket for each address reconnects by itself.
 */
class peer_transport {
 public:
  using receiver = std::function<void(byte_view)>;

  /**
   * @param address IP:PORT to listen on; port 0 takes a free one.
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
   * @brief Hands a message to the connection of an address, which is opened
   * when there is none. Never blocks.
   * @return Whether the connection took it; it may still be lost.
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
    /** Established connections, counted by nng's threads: 0 or 1. */
    std::shared_ptr<std::atomic<int>> pipes;
    time_point used_at{};
  };

  void Receive();
  [[nodiscard]] connection* Find(const std::string& address);
  void CloseUnused(time_point now);

  const clock_source& clock_;
  const receiver receiver_;
  nng_socket listener_{};
  std::string address_;
  transport_totals totals_;
  std::mutex mutex_;
  std::unordered_map<std::string, connection> connections_;
  time_point swept_at_{};
  std::atomic<bool> stopping_{};
  std::thread thread_;
};

}  // namespace acaciaferry
