#pragma once

#include <utility>
// Boost 1.74 needs <utility> before its own headers with g++ 12.
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "acaciaferry/core/time.hpp"
#include "acaciaferry/net/memory_account.hpp"
#include "acaciaferry/net/message.hpp"
#include "acaciaferry/net/parser.hpp"

namespace acaciaferry::net {

/** @brief How a client exchange failed. */
enum class exchange_failure {
  /** The connection was not established: nothing was sent. */
  kNotConnected,
  /** The tunnel server gave no tunnel: nothing was sent. */
  kNoTunnel,
  /** The connection closed before a complete response head. */
  kNoResponse,
  /**
   * The connection closed, or sent invalid HTTP, after a response had started.
   */
  kBroken,
  /** The bytes received are not an HTTP response. */
  kMalformed,
};

/** @return The name of the failure, a static string. */
[[nodiscard]] std::string_view ToString(exchange_failure failure) noexcept;

/** @brief Callbacks of a client exchange; each may be empty. */
struct exchange_handlers {
  /**
   * The connection, or the tunnel, is established and the request is being
   * written.
   */
  std::function<void()> on_sent;
  /**
   * A final (not interim) response head arrived. Returning false skips this
   * response and waits for the next one on the same connection.
   */
  std::function<bool(const response_head&)> on_head;
  std::function<void(std::string_view)> on_body;
  /** The response is complete. */
  std::function<void()> on_end;
  std::function<void(exchange_failure)> on_failure;
};

/**
 * @brief One HTTP request on its own connection, which is closed when the
 * exchange ends.
 */
class client_exchange final
    : public std::enable_shared_from_this<client_exchange> {
 public:
  /**
   * @param loop The event loop.
   * @param handlers The callbacks.
   * @param memory Bounds what all exchanges hold together; null for none. An
   * exchange that has to let go fails as if its server had sent invalid HTTP.
   */
  client_exchange(boost::asio::io_context& loop,
                  exchange_handlers handlers,
                  memory_account* memory = nullptr);

  /**
   * @brief Connects and sends the request.
   * @param address IP:PORT of the server.
   * @param request The serialized request, head and body.
   * @param connect_timeout Time after which connecting fails; setting up a
   * tunnel is part of it.
   * @param via IP:PORT of a tunnel server to connect through, or empty to
   * connect to the server itself. Before the request is sent, the exchange
   * then fails with kNotConnected if the tunnel server can't reach the server,
   * and with kNoTunnel in all other cases.
   * @param body A body that follows `request`, shared with its owner; null for
   * none.
   */
  void Start(const std::string& address,
             std::string request,
             duration connect_timeout,
             const std::string& via = {},
             std::shared_ptr<const std::string> body = nullptr);

  /** @brief Closes the connection; no handler is called afterwards. */
  void Cancel();

  /** @brief Stops reading, for backpressure; Resume continues. */
  void Pause() { paused_ = true; }
  void Resume();

 private:
  enum class write_state { kWriting, kWritten, kFailed };

  void OnConnect(const boost::system::error_code& error);
  void RequestTunnel();
  void ParseTunnelReply();
  void Send();
  void OnWritten(const boost::system::error_code& error);
  void Read();
  void OnRead(const boost::system::error_code& error, std::size_t bytes);
  void OnConnectionEnded(const boost::system::error_code& error);
  /** @return Whether the end of the stream completes the response. */
  [[nodiscard]] bool ParseEnd();
  void AwaitWrite();
  [[nodiscard]] bool Parse();
  [[nodiscard]] exchange_failure ConnectFailure() const noexcept;
  void ResetParser();
  void FailMalformed();
  void UpdateHeld();
  void Fail(exchange_failure failure);
  void End();

  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  exchange_handlers handlers_;
  std::string request_;
  std::shared_ptr<const std::string> body_;
  // The request for a tunnel; empty without one.
  std::string tunnel_request_;
  std::string unparsed_;
  // Not initialized: that would cost more than parsing a usual head.
  std::array<char, 16'384> read_buffer_;
  std::unique_ptr<message_parser<false>> parser_;
  memory_account* memory_;
  std::optional<held_memory> held_;
  bool connected_{};
  bool closed_{};
  bool paused_{};
  bool reading_{};
  write_state write_state_{write_state::kWriting};
  /** Whether the response is complete if the request is not reset. */
  bool awaits_write_{};
  bool head_seen_{};
  bool is_head_request_{};
  bool skipping_{};
  std::uint32_t skipped_responses_{};
};

}  // namespace acaciaferry::net
