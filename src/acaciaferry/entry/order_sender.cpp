#include "acaciaferry/entry/order_sender.hpp"

#include <boost/asio/steady_timer.hpp>
#include <memory>

#include "acaciaferry/net/client.hpp"

namespace acaciaferry::entry {
namespace internal {

constexpr duration kOrderTimeout = std::chrono::milliseconds(1'000);
constexpr int kOk = 200;

struct pending_order {
  std::shared_ptr<net::client_exchange> exchange;
  boost::asio::steady_timer timer;
  net::response_head head;
  bool has_ended{};
};

}  // namespace internal

void SendOrder(boost::asio::io_context& loop,
               const std::string& address,
               const outgoing_request& order,
               int max_attempts,
               const std::string& tunnel,
               net::memory_account* memory,
               const std::function<void(const order_outcome&)>& on_done) {
  const auto pending = std::make_shared<internal::pending_order>(
      internal::pending_order{nullptr, boost::asio::steady_timer(loop), {}});
  const auto retry = [&loop, address, order, max_attempts, tunnel, memory,
                      on_done] {
    if (max_attempts > 1) {
      SendOrder(loop, address, order, max_attempts - 1, tunnel, memory,
                on_done);
    } else {
      on_done({forwarding::order_result::kUnanswered, {}});
    }
  };
  net::exchange_handlers handlers;
  handlers.on_head = [pending](const net::response_head& head) {
    pending->head = head;
    return true;
  };
  handlers.on_end = [pending, on_done] {
    pending->has_ended = true;
    pending->timer.cancel();
    on_done({pending->head.status == internal::kOk
                 ? forwarding::order_result::kDone
                 : forwarding::order_result::kRefused,
             pending->head});
  };
  handlers.on_failure = [pending, retry](net::exchange_failure /*failure*/) {
    pending->has_ended = true;
    pending->timer.cancel();
    retry();
  };
  pending->exchange =
      std::make_shared<net::client_exchange>(loop, std::move(handlers), memory);
  pending->timer.expires_after(internal::kOrderTimeout);
  pending->timer.async_wait(
      [pending, retry](const boost::system::error_code& error) {
        // A timer that expired before it was cancelled reports no error.
        if (!error && !pending->has_ended) {
          pending->exchange->Cancel();
          retry();
        }
      });
  pending->exchange->Start(
      address, net::Serialize(order.head, order.body.size()) + order.body,
      internal::kOrderTimeout, tunnel);
}

}  // namespace acaciaferry::entry
