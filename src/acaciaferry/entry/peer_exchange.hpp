#pragma once

#include <utility>
// Boost 1.74 needs <utility> before its own headers with g++ 12.
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <optional>
#include <string>

#include "acaciaferry/entry/decision_log.hpp"
#include "acaciaferry/entry/entry_metrics.hpp"
#include "acaciaferry/entry/entry_settings.hpp"
#include "acaciaferry/mesh/peer_protocol.hpp"
#include "acaciaferry/net/datagram.hpp"

namespace acaciaferry::entry {

/**
 * @brief Carries the messages between VMs as datagrams, and runs the timers of
 * mesh::peer_protocol.
 */
class peer_exchange {
 public:
  /** Calls into the daemon. */
  struct handlers {
    std::function<void(const forwarding::event&)> post;
    std::function<mesh::local_status()> status;
    std::function<bool(const mesh::view_source& source)> on_newer_view;
    std::function<void()> on_heartbeat_interval;
  };

  /**
   * @param loop The event loop.
   * @param settings Must outlive the exchange.
   * @param incarnation Incarnation of this process.
   * @param state Source of the load and suspects to send; must outlive the
   * exchange.
   * @param log Receives changes of membership.
   * @param metrics Receives the counts of rejected datagrams.
   * @param clock Source of the current time.
   * @param callbacks See mesh::peer_protocol.
   */
  peer_exchange(boost::asio::io_context& loop,
                const entry_settings& settings,
                std::uint64_t incarnation,
                const forwarding::state& state,
                decision_log& log,
                entry_metrics& metrics,
                const clock_source& clock,
                handlers callbacks);

  /** @return An error message, or nothing on success. */
  [[nodiscard]] std::optional<std::string> Bind();
  /** @brief Starts sending heartbeats. */
  void Start() { OnHeartbeatInterval(); }
  /** @brief Applies changed seed addresses from the settings. */
  void ReloadSeeds();

  [[nodiscard]] mesh::peer_protocol& Protocol() noexcept { return protocol_; }
  [[nodiscard]] const mesh::peer_protocol& Protocol() const noexcept {
    return protocol_;
  }

 private:
  void OnHeartbeatInterval();
  void RequestFlush(duration after);

  const entry_settings& settings_;
  net::datagram_socket datagrams_;
  mesh::peer_protocol protocol_;
  boost::asio::steady_timer heartbeat_timer_;
  boost::asio::steady_timer flush_timer_;
};

}  // namespace acaciaferry::entry
