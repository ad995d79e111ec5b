#pragma once

#include <Poco/ThreadPool.h>

#include <functional>
#include <string>

#include "acaciaferry/core/time.hpp"
#include "acaciaferry/reducer/effect.hpp"
#include "acaciaferry/reducer/event.hpp"

namespace acaciaferry {

/**
 * @brief Sends the small control calls to engines: reservations, holdings and
 * orders. Each runs on a thread of a bounded pool.
 */
class control_client {
 public:
  using post_event = std::function<void(event)>;

  /**
   * @param owner Owner under which memory is reserved.
   * @param post Takes the events; thread-safe.
   */
  control_client(std::string owner, post_event post);
  ~control_client();

  control_client(const control_client&) = delete;
  control_client& operator=(const control_client&) = delete;

  /** @brief Start the call and return at once. */
  void Send(const reserve_memory& effect);
  void Send(const renew_reservation& effect);
  void Send(const release_reservation& effect);
  void Send(const list_holdings& effect);
  void Send(const release_holding& effect);
  void Send(const issue_order& effect);

 private:
  void Spawn(std::function<void()> function, const event& busy_event);

  const std::string owner_;
  const post_event post_;
  Poco::ThreadPool threads_;
};

}  // namespace acaciaferry
