#include "acaciaferry/net/probe.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>

#include "acaciaferry/net/server.hpp"

namespace acaciaferry::net {
namespace internal {
namespace {

struct pending_probe {
  boost::asio::ip::tcp::socket socket;
  boost::asio::steady_timer timer;
};

}  // namespace
}  // namespace internal

void ProbeConnection(boost::asio::io_context& loop,
                     const std::string& address,
                     duration timeout,
                     std::function<void(bool connected)> on_done) {
  const auto endpoint = ParseEndpoint(address);
  if (!endpoint) {
    boost::asio::post(loop, [on_done = std::move(on_done)] { on_done(false); });
    return;
  }
  const auto probe =
      std::make_shared<internal::pending_probe>(internal::pending_probe{
          boost::asio::ip::tcp::socket(loop), boost::asio::steady_timer(loop)});
  probe->timer.expires_after(timeout);
  // Closing the socket ends the connect operation with an error.
  probe->timer.async_wait([probe](const boost::system::error_code& error) {
    if (!error) {
      boost::system::error_code ignored;
      probe->socket.close(ignored);
    }
  });
  probe->socket.async_connect(*endpoint,
                              [probe, on_done = std::move(on_done)](
                                  const boost::system::error_code& error) {
                                probe->timer.cancel();
                                boost::system::error_code ignored;
                                probe->socket.close(ignored);
                                on_done(!error);
                              });
}

}  // namespace acaciaferry::net
