#pragma once

#include <utility>
// Boost 1.74 needs <utility> before its own headers with g++ 12.
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "acaciaferry/core/time.hpp"
#include "acaciaferry/net/memory_account.hpp"
#include "acaciaferry/net/message.hpp"
#include "acaciaferry/net/parser.hpp"
#include "acaciaferry/net/request_memory.hpp"

namespace acaciaferry::net {

/** @brief Limits on the size and duration of requests, and on connections. */
struct server_limits {
  std::uint64_t head_bytes{16'384};
  std::uint64_t body_bytes{4'194'304};
  /** Time for reading the head, and the same again for the body. */
  duration head_timeout{std::chrono::seconds(3)};
  /** Idle time between two requests on a connection. */
  duration idle_timeout{std::chrono::seconds(15)};
  std::size_t max_connections{2'048};
};

class connection;

/**
 * @brief One request and its reply. All functions must be called on the event
 * loop's thread.
 */
class server_exchange {
 public:
  explicit server_exchange(std::weak_ptr<connection> owner)
      : owner_(std::move(owner)) {}

  request_head head;
  std::string body;

  /**
   * @brief Called once if the client disconnects before the reply is complete.
   */
  std::function<void()> on_client_disconnected;
  /**
   * @brief Called when PendingBytes() falls to kWriteHighWatermark after having
   * exceeded it.
   */
  std::function<void()> on_writable;

  /**
   * @brief Sends a complete reply with its length. Both the length and the body
   * are left out if the method or the status allows no body.
   */
  void Reply(int status, const header_fields& fields, std::string body);

  /** @brief Starts a reply whose body follows in chunks. */
  void BeginChunked(int status, const header_fields& fields);
  void WriteChunk(std::string_view bytes);
  void EndChunked();

  /** @brief Closes the connection without completing the reply. */
  void Abort();

  /** @return Whether the head of the reply was sent. */
  [[nodiscard]] bool HasBegun() const noexcept { return begun_; }
  [[nodiscard]] bool IsComplete() const noexcept { return complete_; }

  /** @return Number of bytes queued for writing to the client. */
  [[nodiscard]] std::size_t PendingBytes() const;

 private:
  friend class connection;

  std::weak_ptr<connection> owner_;
  // What the request takes, until nobody needs it any more.
  std::unique_ptr<request_room> room_;
  bool begun_{};
  bool complete_{};
};

/** Number of unwritten bytes above which the source of a reply should pause. */
inline constexpr std::size_t kWriteHighWatermark = 65'536;

inline constexpr std::size_t kReadBufferBytes = 65'536;

/** @brief Accepts connections and reads HTTP/1.1 requests on an event loop. */
class http_server {
 public:
  using handler = std::function<void(std::shared_ptr<server_exchange>)>;
  /** Receives the status of a request that was rejected while it was read. */
  using refusal_handler = std::function<void(int status)>;
  /** Receives the reason why a caller was dropped. */
  using drop_handler = std::function<void(drop_reason reason)>;

  http_server(boost::asio::io_context& loop, handler on_request);
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;
  ~http_server();

  /**
   * @brief Starts listening.
   * @param address IP:PORT; port 0 selects a free port.
   * @return An error message, or nothing on success.
   */
  [[nodiscard]] std::optional<std::string> Listen(const std::string& address);
  [[nodiscard]] std::uint16_t Port() const;

  void SetLimits(const server_limits& limits) { limits_ = limits; }
  /** @brief Counts what clients have not read yet. A connection that has to let
   * go is closed. */
  void SetMemory(memory_account& memory) { memory_ = &memory; }
  /**
   * @brief Counts what requests take.
   * @param waits Whether requests wait, and are dropped, when there is no room;
   * otherwise they are only counted.
   */
  void SetRequestMemory(request_memory& memory, bool waits) {
    request_memory_ = &memory;
    waits_for_room_ = waits;
  }
  /**
   * @brief Sets a condition for accepting a connection. While it does not hold,
   * the connections that have been idle longest are closed.
   */
  void SetRoomForConnections(std::function<bool()> has_room) {
    has_room_ = std::move(has_room);
  }
  void SetRefusalHandler(refusal_handler handler) {
    on_refusal_ = std::move(handler);
  }
  void SetDropHandler(drop_handler handler) { on_drop_ = std::move(handler); }

  /** @brief Adds `Connection: close` to all further replies. */
  void CloseAfterReplies() noexcept { closing_ = true; }
  /** @brief Closes the connections that are waiting for a request. */
  void CloseIdle();
  /**
   * @brief Closes the connection that has been idle longest or, if none is, one
   * whose request was not read in full.
   * @return Whether there was one.
   */
  bool CloseLongestIdle();
  /** @brief Stops accepting. Open connections remain, and those that clients
   * have opened and that were not accepted yet are accepted. */
  void StopListening();

  /** @return Whether any connection has a request that was not read to its end
   * or not answered, or bytes that were not written. */
  [[nodiscard]] bool HasRequests() const;

  [[nodiscard]] std::size_t ConnectionCount() const noexcept {
    return connections_.size();
  }

 private:
  friend class connection;

  void Accept();
  void Add(boost::asio::ip::tcp::socket socket);
  void CloseAcceptor();
  void Remove(connection* closed);
  /** @brief Moves a connection behind those that have been idle longer. */
  void MoveToBack(connection* idle);
  /** @brief Grants room, and drops requests, while any request waits. */
  void ReviewMemory();
  void CountDrop(drop_reason reason);

  boost::asio::io_context& loop_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer accept_retry_timer_;
  boost::asio::steady_timer review_timer_;
  handler on_request_;
  refusal_handler on_refusal_;
  drop_handler on_drop_;
  std::function<bool()> has_room_;
  server_limits limits_;
  memory_account* memory_{};
  request_memory* request_memory_{};
  bool waits_for_room_{};
  bool is_reviewing_{};
  bool closing_{};
  // The loop has one thread, and a connection reads only what has arrived.
  std::array<char, kReadBufferBytes> read_buffer_{};
  std::list<std::shared_ptr<connection>> connections_;
};

/**
 * @brief Parses an address of the form IP:PORT.
 */
[[nodiscard]] std::optional<boost::asio::ip::tcp::endpoint> ParseEndpoint(
    const std::string& address);

}  // namespace acaciaferry::net
