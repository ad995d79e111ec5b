#include "acaciaferry/entry/order_sender.hpp"

#include <boost/asio/steady_timer.hpp>
#include <memory>

#include "acaciaferry/net/client.hpp"

namespace acaciaferry::entry {
namespace internal {

constexpr duration kOrderPatience = std::chrono::milliseconds(1'000);
constexpr int kOk = 200;

struct sending {
  std::shared_ptr<net::client_exchange> exchange;
  boost::asio::steady_timer timer;
  int status{};
};

}  // namespace internal

void SendOrder(boost::asio::io_context& loop,
               const std::string& address,
               const outgoing_call& order,
               int tries,
               const std::function<void(bool)>& on_settled) {
  const auto running = std::make_shared<internal::sending>(
      internal::sending{nullptr, boost::asio::steady_timer(loop), 0});
  const auto again = [&loop, address, order, tries, on_settled] {
    if (tries > 1) {
      SendOrder(loop, address, order, tries - 1, on_settled);
    } else {
      on_settled(false);
    }
  };
  net::exchange_handlers handlers;
  handlers.on_head = [running](const net::response_head& head) {
    running->status = head.status;
    return true;
  };
  handlers.on_end = [running, on_settled] {
    running->timer.cancel();
    on_settled(running->status == internal::kOk);
  };
  handlers.on_failure = [running, again](net::exchange_failure /*failure*/) {
    running->timer.cancel();
    again();
  };
  running->exchange =
      std::make_shared<net::client_exchange>(loop, std::move(handlers));
  running->timer.expires_after(internal::kOrderPatience);
  running->timer.async_wait(
      [running, again](const boost::system::error_code& error) {
        if (!error) {
          running->exchange->Cancel();
          again();
        }
      });
  running->exchange->Start(
      address, net::Serialize(order.head, order.body.size()) + order.body,
      internal::kOrderPatience);
}

}  // namespace acaciaferry::entry
