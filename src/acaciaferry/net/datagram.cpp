#include "acaciaferry/net/datagram.hpp"

#include <boost/asio/buffer.hpp>

#include "acaciaferry/net/server.hpp"

namespace acaciaferry::net {
namespace internal {

// Limits the cache of parsed addresses, since the addresses come from peers.
constexpr std::size_t kMaxEndpoints = 4'096;
// Leaves time to other sockets if datagrams come faster than they are handled.
constexpr int kMaxDatagramsAtOnce = 256;

}  // namespace internal

datagram_socket::datagram_socket(boost::asio::io_context& loop,
                                 handler on_datagram)
    : socket_(loop), on_datagram_(std::move(on_datagram)) {}

std::optional<std::string> datagram_socket::Bind(const std::string& address) {
  const auto endpoint = ParseEndpoint(address);
  if (!endpoint) {
    return "not an address of the form IP:PORT: " + address;
  }
  boost::system::error_code error;
  const boost::asio::ip::udp::endpoint local(endpoint->address(),
                                             endpoint->port());
  socket_.open(local.protocol(), error);
  if (!error) {
    socket_.bind(local, error);
  }
  if (!error) {
    socket_.non_blocking(true, error);
  }
  if (error) {
    return "cannot receive datagrams at " + address + ": " + error.message();
  }
  Receive();
  return std::nullopt;
}

bool datagram_socket::Send(const std::string& address, std::string_view bytes) {
  auto entry = endpoints_.find(address);
  if (entry == endpoints_.end()) {
    const auto parsed = ParseEndpoint(address);
    if (!parsed) {
      return false;
    }
    if (endpoints_.size() >= internal::kMaxEndpoints) {
      endpoints_.clear();
    }
    entry = endpoints_
                .emplace(address, boost::asio::ip::udp::endpoint(
                                      parsed->address(), parsed->port()))
                .first;
  }
  boost::system::error_code error;
  socket_.send_to(boost::asio::buffer(bytes.data(), bytes.size()),
                  entry->second, 0, error);
  return !error;
}

void datagram_socket::Receive() {
  socket_.async_wait(boost::asio::ip::udp::socket::wait_read,
                     [this](const boost::system::error_code& error) {
                       if (error == boost::asio::error::operation_aborted) {
                         return;
                       }
                       HandleWaiting();
                       if (socket_.is_open()) {
                         Receive();
                       }
                     });
}

// Reads all that has arrived, so that a timer which expired meanwhile is
// handled after it.
void datagram_socket::HandleWaiting() {
  for (int i = 0; i < internal::kMaxDatagramsAtOnce && socket_.is_open(); ++i) {
    boost::asio::ip::udp::endpoint sender;
    boost::system::error_code error;
    const std::size_t bytes =
        socket_.receive_from(boost::asio::buffer(buffer_), sender, 0, error);
    if (error == boost::asio::error::would_block) {
      return;
    }
    // Other errors are those of datagrams that were sent earlier.
    if (error) {
      continue;
    }
    on_datagram_({buffer_.data(), bytes}, sender.address().to_string() + ":" +
                                              std::to_string(sender.port()));
  }
}

void datagram_socket::Close() {
  boost::system::error_code ignored;
  socket_.close(ignored);
}

}  // namespace acaciaferry::net
