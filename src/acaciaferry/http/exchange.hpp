#pragma once

#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>

#include "acaciaferry/core/request_id.hpp"
#include "acaciaferry/core/time.hpp"
#include "acaciaferry/reducer/effect.hpp"

namespace acaciaferry {

/** What the reducer sends to the thread that handles a caller's request. */
using reply_part =
    std::variant<deliver_head, deliver_chunk, finish_request, fail_request>;

/**
 * @brief Connects the thread that handles a request with the reducer: holds the
 * request and queues the parts of its reply.
 */
class exchange {
 public:
  /**
   * @param body The request's body as received.
   * @param method HTTP method of the request to a service target.
   * @param path Path and query of the request to the target.
   * @param content_type The body's type.
   */
  exchange(std::string body,
           std::string method,
           std::string path,
           std::string content_type)
      : body(std::move(body)),
        method(std::move(method)),
        path(std::move(path)),
        content_type(std::move(content_type)) {}

  const std::string body;
  const std::string method;
  const std::string path;
  const std::string content_type;
  /** Sent to the target when not empty. */
  std::string idempotency_key;
  /** The caller's Authorization header and path, for a request that is
   * forwarded to another VM. */
  std::string authorization;
  std::string caller_path;

  /** @brief Queues a part of the reply. Thread-safe. */
  void Push(reply_part part);

  /**
   * @brief Waits for the next part of the reply.
   * @param timeout Longest wait.
   * @return The part, or nothing when none came in time.
   */
  [[nodiscard]] std::optional<reply_part> Pop(duration timeout);

 private:
  std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<reply_part> parts_;
};

/**
 * @brief The exchanges of the requests in progress. Thread-safe.
 */
class exchange_registry {
 public:
  void Add(const request_id& id, std::shared_ptr<exchange> value);
  void Remove(const request_id& id);

  /** @return The exchange, or null when it has ended. */
  [[nodiscard]] std::shared_ptr<exchange> Find(const request_id& id);

 private:
  std::mutex mutex_;
  std::unordered_map<request_id, std::shared_ptr<exchange>> exchanges_;
};

}  // namespace acaciaferry
