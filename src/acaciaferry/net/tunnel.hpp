#pragma once

#include <utility>
// Boost 1.74 needs <utility> before its own headers with g++ 12.
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "acaciaferry/core/time.hpp"
#include "acaciaferry/net/request_memory.hpp"

namespace acaciaferry::net {

class tunnel;

/** Number of tunnels that a server has open at a time unless told otherwise. */
inline constexpr std::size_t kDefaultMaxTunnels = 512;

/**
 * @brief Accepts connections that ask with `CONNECT IP:PORT HTTP/1.1` for a
 * tunnel, dials that target and passes bytes both ways.
 *
 * It replies 200 once the target is connected, 400, 408 or 431 to a head that
 * is not such a request, is late or is too large, 403 for a target that is not
 * permitted, 502 for one that can't be reached, and 503 when too many tunnels
 * are open. All functions must be called on the event loop's thread.
 */
class tunnel_server {
 public:
  /** Tells whether the target at IP:PORT may be dialled. */
  using permission = std::function<bool(std::string_view address)>;
  /** Called with the result of dialling the target at IP:PORT, and the time
   * that it took. */
  using dial_observer = std::function<
      void(std::string_view address, bool reached, duration took)>;

  tunnel_server(boost::asio::io_context& loop,
                permission may_dial,
                std::size_t max_tunnels = kDefaultMaxTunnels);
  tunnel_server(const tunnel_server&) = delete;
  tunnel_server& operator=(const tunnel_server&) = delete;
  ~tunnel_server();

  /**
   * @brief Starts listening.
   * @param address IP:PORT; port 0 selects a free port.
   * @return An error message, or nothing on success.
   */
  [[nodiscard]] std::optional<std::string> Listen(const std::string& address);
  [[nodiscard]] std::uint16_t Port() const;

  /** @brief Sets who is told of each target that was dialled. */
  void SetDialObserver(dial_observer on_dialed) {
    on_dialed_ = std::move(on_dialed);
  }

  /** @brief Counts the buffers of tunnels. */
  void SetRequestMemory(request_memory& memory) { memory_ = &memory; }

  /** @return Number of tunnels that are open or being set up. */
  [[nodiscard]] std::size_t Count() const;

  /** @brief Stops accepting. Open tunnels remain. */
  void StopListening();
  /** @brief Closes all tunnels; the clients see a reset. */
  void CloseAll();

 private:
  friend class tunnel;

  void Accept();
  void Add(boost::asio::ip::tcp::socket client);
  void Remove(const tunnel* closed);

  boost::asio::io_context& loop_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer accept_retry_timer_;
  permission may_dial_;
  dial_observer on_dialed_{[](std::string_view, bool, duration) {}};
  std::size_t max_tunnels_;
  request_memory* memory_{};
  std::list<std::shared_ptr<tunnel>> tunnels_;
};

}  // namespace acaciaferry::net
