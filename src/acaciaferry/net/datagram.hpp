#pragma once

#include <utility>
// Boost 1.74 needs <utility> before its own headers with g++ 12.
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace acaciaferry::net {

/**
 * @brief Asynchronous UDP socket. A datagram that cannot be sent at once is
 * dropped.
 */
class datagram_socket {
 public:
  /** Receives the bytes of a datagram and the IP:PORT of its sender. */
  using handler =
      std::function<void(std::string_view bytes, const std::string& sender)>;

  datagram_socket(boost::asio::io_context& loop, handler on_datagram);

  /**
   * @brief Binds to IP:PORT and starts receiving.
   * @return An error message, or nothing on success.
   */
  [[nodiscard]] std::optional<std::string> Bind(const std::string& address);

  /** @return Whether the datagram was handed to the network stack. */
  bool Send(const std::string& address, std::string_view bytes);

  void Close();

 private:
  void Receive();
  void HandleWaiting();

  boost::asio::ip::udp::socket socket_;
  handler on_datagram_;
  std::array<char, 16'384> buffer_{};
  std::map<std::string, boost::asio::ip::udp::endpoint> endpoints_;
};

}  // namespace acaciaferry::net
