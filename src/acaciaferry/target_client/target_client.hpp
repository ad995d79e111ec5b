#pragma once

#include <Poco/ThreadPool.h>

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "acaciaferry/core/request_id.hpp"
#include "acaciaferry/http/exchange.hpp"
#include "acaciaferry/reducer/effect.hpp"
#include "acaciaferry/reducer/event.hpp"

namespace acaciaferry {

/**
 * @brief Sends attempts to targets over HTTP, each on its own thread and
 * connection. Connections are not pooled, since an idle one could be lost
 * without notice.
 */
class target_client {
 public:
  using post_event = std::function<void(event)>;

  /**
   * @param owner Value of the Acaciaferry-Owner header.
   * @param exchanges Holds the bodies of the requests; must outlive the client.
   * @param post Called with the resulting events; must be thread-safe.
   */
  target_client(std::string owner,
                exchange_registry& exchanges,
                post_event post);
  ~target_client();

  target_client(const target_client&) = delete;
  target_client& operator=(const target_client&) = delete;

  /** @brief Starts sending a request to a target. Does not block. */
  void Start(const start_attempt& effect);

  /** @brief Starts resuming a stream on a new connection. Does not block. */
  void Resume(const resume_attempt& effect);

  /** @brief Closes the attempt's connection and cancels its stream. */
  void Cancel(const cancel_attempt& effect);

 private:
  class attempt_connection;
  using connection_ptr = std::shared_ptr<attempt_connection>;

  [[nodiscard]] connection_ptr ReplaceConnection(const attempt_id& id,
                                                 std::uint32_t number);
  void CloseConnection(const attempt_id& id);
  void RemoveConnection(const connection_ptr& connection);
  void Spawn(std::function<void()> function);
  void SpawnConnection(const connection_ptr& connection,
                       std::function<void()> function);
  void RunCompletion(const connection_ptr& connection,
                     const start_attempt& effect,
                     const exchange& request_exchange);
  void RunServiceCall(const connection_ptr& connection,
                      const start_attempt& effect,
                      const exchange& request_exchange);
  static void RunResume(const connection_ptr& connection,
                        const resume_attempt& effect);

  const std::string owner_;
  exchange_registry& exchanges_;
  const post_event post_;
  std::mutex mutex_;
  std::map<attempt_id, connection_ptr> connections_;
  Poco::ThreadPool threads_;
};

}  // namespace acaciaferry
