#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "acaciaferry/entry/dialect.hpp"
#include "acaciaferry/forwarding/event.hpp"
#include "acaciaferry/net/client.hpp"
#include "acaciaferry/net/event_stream.hpp"
#include "acaciaferry/net/server.hpp"

namespace acaciaferry::entry {

/**
 * @brief Carries the bytes of one call between its caller and the target of the
 * running attempt, and reports what happens as events.
 */
class call_relay final : public std::enable_shared_from_this<call_relay> {
 public:
  using event_sink = std::function<void(const forwarding::event&)>;

  call_relay(boost::asio::io_context& loop,
             const dialect& protocol,
             std::shared_ptr<net::server_exchange> caller,
             parsed_request request,
             event_sink report);

  void SendAttempt(const forwarding::send_attempt& attempt);
  void CancelAttempt();
  /** @brief Passes the collected answer on. */
  void DeliverCollected();
  void FinishStream();
  void Abort();
  void SendLocalReply(const failure& reason);

  [[nodiscard]] const parsed_request& Request() const noexcept {
    return request_;
  }

 private:
  bool OnHead(std::uint32_t attempt, const net::response_head& head);
  void OnBody(std::uint32_t attempt, std::string_view bytes);
  void OnEnd(std::uint32_t attempt);
  void OnFailure(std::uint32_t attempt, net::exchange_failure failure);
  void ForwardEvents(std::uint32_t attempt, std::string_view bytes);
  void FailAttempt(std::uint32_t attempt, forwarding::attempt_loss loss);
  [[nodiscard]] net::header_fields ForwardedFields() const;

  boost::asio::io_context& loop_;
  const dialect& protocol_;
  std::shared_ptr<net::server_exchange> caller_;
  parsed_request request_;
  event_sink report_;
  std::shared_ptr<net::client_exchange> target_;
  net::response_head response_head_;
  std::string collected_body_;
  net::event_stream stream_;
  bool is_stream_{};
};

}  // namespace acaciaferry::entry
