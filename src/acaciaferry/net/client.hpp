#pragma once

#include <utility>
// Boost 1.74 needs <utility> before its own headers with g++ 12.
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "acaciaferry/core/time.hpp"
#include "acaciaferry/net/message.hpp"
#include "acaciaferry/net/parser.hpp"

namespace acaciaferry::net {

/**
 * @brief How an exchange with a server failed.
 */
enum class exchange_failure {
  /** No connection came about: nothing was sent. */
  kNotConnected,
  /** The connection ended before a whole response head had come. */
  kNoResponse,
  /** The connection ended, or bytes were no HTTP, after a response had begun.
   */
  kBroken,
  /** The first bytes that came are no response. */
  kMalformed,
};

/** @return A static name of the failure. */
[[nodiscard]] std::string_view ToString(exchange_failure failure) noexcept;

/**
 * @brief Receives what happens in an exchange; absent handlers are allowed.
 */
struct exchange_handlers {
  /** The request was given to the connection. */
  std::function<void()> on_sent;
  /** A final response began. Returning false skips this response and waits for
   * a next one on the same connection. */
  std::function<bool(const response_head&)> on_head;
  std::function<void(std::string_view)> on_body;
  /** The response is complete. */
  std::function<void()> on_end;
  std::function<void(exchange_failure)> on_failure;
};

/**
 * @brief One request to a server on a connection of its own, which is closed
 * with the exchange.
 */
class client_exchange final
    : public std::enable_shared_from_this<client_exchange> {
 public:
  client_exchange(boost::asio::io_context& loop, exchange_handlers handlers);

  /**
   * @brief Connects and sends.
   * @param address IP:PORT.
   * @param request Head and body.
   * @param connect_timeout After which the server counts as unreachable.
   */
  void Start(const std::string& address,
             std::string request,
             duration connect_timeout);

  /** @brief Closes the connection; no handler is called after it. */
  void Cancel();

  /** @brief Stops and resumes reading, for backpressure. */
  void Pause() { paused_ = true; }
  void Resume();

 private:
  void OnConnect(const boost::system::error_code& error);
  void Read();
  void OnRead(const boost::system::error_code& error, std::size_t bytes);
  [[nodiscard]] bool Parse();
  void ResetParser();
  void Fail(exchange_failure failure);
  void End();

  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  exchange_handlers handlers_;
  std::string request_;
  std::string unparsed_;
  std::array<char, 16'384> read_buffer_{};
  std::unique_ptr<message_parser<false>> parser_;
  bool connected_{};
  bool closed_{};
  bool paused_{};
  bool reading_{};
  bool head_seen_{};
  bool skipping_{};
  bool bytes_received_{};
};

}  // namespace acaciaferry::net
