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
 * @brief Sends and receives datagrams on an event loop; a datagram that can't
 * be sent at once is dropped.
 */
class datagram_socket {
 public:
  using handler = std::function<void(std::string_view)>;

  datagram_socket(boost::asio::io_context& loop, handler on_datagram);

  /** @return An error text, or nothing when it is bound to IP:PORT. */
  [[nodiscard]] std::optional<std::string> Bind(const std::string& address);

  /** @return Whether the datagram was given to the network. */
  bool Send(const std::string& address, std::string_view bytes);

  void Close();

 private:
  void Receive();

  boost::asio::ip::udp::socket socket_;
  handler on_datagram_;
  std::array<char, 16'384> buffer_{};
  boost::asio::ip::udp::endpoint sender_;
  std::map<std::string, boost::asio::ip::udp::endpoint> endpoints_;
};

}  // namespace acaciaferry::net
