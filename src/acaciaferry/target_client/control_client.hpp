#pragma once

#include <Poco/ThreadPool.h>

#include <functional>
#include <string>

#include "acaciaferry/core/time.hpp"
#include "acaciaferry/reducer/effect.hpp"
#include "acaciaferry/reducer/event.hpp"

namespace acaciaferry {

/**
 * @brief Sends control requests for reservations, holdings and orders to
 * engines. Each request uses a thread of a bounded pool.
 */
class control_client {
 public:
  using post_event = std::function<void(event)>;

  /**
   * @param owner Owner under which memory is reserved.
   * @param post Called with the resulting events; must be thread-safe.
   */
  control_client(std::string owner, post_event post);
  ~control_client();

  control_client(const control_client&) = delete;
  control_client& operator=(const control_client&) = delete;

  /** @brief Starts a request without waiting for its reply. */
  void Send(const reserve_memory& effect);
  void Send(const renew_reservation& effect);
  void Send(const release_reservation& effect);
  void Send(const list_holdings& effect);
  void Send(const release_holding& effect);
  void Send(const issue_order& effect);

 private:
  /** Runs a function on a thread of the pool; posts the event instead when all
   * threads are in use. */
  void Spawn(std::function<void()> function, const event& busy_event);

  const std::string owner_;
  const post_event post_;
  Poco::ThreadPool threads_;
};

}  // namespace acaciaferry
