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
  using sink = std::function<void(const forwarding::event&)>;

  call_relay(boost::asio::io_context& loop,
             const dialect& words,
             std::shared_ptr<net::server_exchange> caller,
             readable_call call,
             sink report);

  void Send(const forwarding::send_attempt& attempt);
  void Cancel();
  /** @brief Passes the collected answer on. */
  void Deliver();
  void Finish();
  void Abort();
  void Refuse(const failure& why);

  [[nodiscard]] const readable_call& Call() const noexcept { return call_; }

 private:
  bool OnHead(std::uint32_t attempt, const net::response_head& head);
  void OnBody(std::uint32_t attempt, std::string_view bytes);
  void OnEnd(std::uint32_t attempt);
  void OnFailure(std::uint32_t attempt, net::exchange_failure failure);
  void PassEvents(std::uint32_t attempt, std::string_view bytes);
  void Lose(std::uint32_t attempt, forwarding::attempt_failure how);
  [[nodiscard]] net::header_fields AnswerFields() const;

  boost::asio::io_context& loop_;
  const dialect& words_;
  std::shared_ptr<net::server_exchange> caller_;
  readable_call call_;
  sink report_;
  std::shared_ptr<net::client_exchange> target_;
  net::response_head answer_;
  std::string collected_;
  net::event_stream stream_;
  bool is_stream_{};
};

}  // namespace acaciaferry::entry
