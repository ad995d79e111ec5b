#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "acaciaferry/entry/dialect.hpp"
#include "acaciaferry/forwarding/event.hpp"
#include "acaciaferry/net/client.hpp"
#include "acaciaferry/net/event_stream.hpp"
#include "acaciaferry/net/memory_account.hpp"
#include "acaciaferry/net/server.hpp"

namespace acaciaferry::entry {

/**
 * @brief Relays one call between its caller and the targets of its attempts,
 * and reports progress as events. Streams are forwarded event by event; other
 * responses are collected and sent as a whole.
 *
 * Two attempts run at once while one goes on with a stream that fell silent;
 * the first of them that has a further event is kept.
 */
class call_relay final : public std::enable_shared_from_this<call_relay> {
 public:
  using event_sink = std::function<void(const forwarding::event&)>;

  /** @param memory Bounds what the answers of all calls take; null for none. */
  call_relay(boost::asio::io_context& loop,
             const dialect& protocol,
             std::shared_ptr<net::server_exchange> caller,
             parsed_request request,
             event_sink report,
             net::memory_account* memory = nullptr);

  /** @brief Sends the request to the target of an attempt. */
  void SendAttempt(const forwarding::send_attempt& attempt);
  /** @brief Closes the connection of an attempt, if it has one. */
  void CancelAttempt(std::uint32_t attempt);
  /** @brief Sends the collected response to the caller. */
  void DeliverCollected();
  /** @brief Completes a streamed response. */
  void FinishStream();
  /** @brief Closes the caller's connection without completing the response. */
  void Abort();
  /** @brief Replies to the caller with a failure of this process. */
  void SendLocalReply(const failure& reason);

  [[nodiscard]] const parsed_request& Request() const noexcept {
    return request_;
  }

 private:
  /** The exchange with the target of an attempt. */
  struct target_exchange {
    std::shared_ptr<net::client_exchange> connection;
    net::event_stream stream;
    bool is_stream{};
    /** Whether the response says how long it is. */
    bool has_length{};
  };

  bool OnHead(std::uint32_t attempt, const net::response_head& head);
  void OnBody(std::uint32_t attempt, std::string_view bytes);
  void OnEnd(std::uint32_t attempt);
  void OnFailure(std::uint32_t attempt, net::exchange_failure failure);
  void ForwardEvents(std::uint32_t attempt,
                     target_exchange& from,
                     std::string_view bytes);
  /** @brief Fails the attempts whose responses take too much memory. */
  void LetGo();
  void UpdateHeld(const target_exchange& from);
  /** @brief Closes the connections of all attempts but one. */
  void CancelOthers(std::uint32_t attempt);
  void FailAttempt(std::uint32_t attempt, forwarding::attempt_failure failure);
  /** @return Fields of the response head without the hop-by-hop ones. */
  [[nodiscard]] net::header_fields ForwardedFields() const;

  boost::asio::io_context& loop_;
  const dialect& protocol_;
  std::shared_ptr<net::server_exchange> caller_;
  parsed_request request_;
  event_sink report_;
  /** By number of the attempt. */
  std::map<std::uint32_t, target_exchange> exchanges_;
  /** The head that was, or will be, sent to the caller. */
  net::response_head response_head_;
  std::string collected_body_;
  net::memory_account* memory_;
  std::optional<net::held_memory> held_;
};

}  // namespace acaciaferry::entry
