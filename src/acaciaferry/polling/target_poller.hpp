#pragma once

#include <condition_variable>
#include <cstddef>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "acaciaferry/polling/pollers.hpp"

namespace acaciaferry {

/**
 * @brief Polls targets on a few threads, so that unresponsive ones do not delay
 * the others.
 *
 * Targets that did not answer their last poll are polled after all others, and
 * only one of them at a time.
 */
class target_poller {
 public:
  /** Polls one target. Returns whether it answered. */
  using poll_function = std::function<bool(const target_poll&)>;

  /**
   * @param threads Number of concurrent polls; at least two.
   * @param poll Called on the poller's threads.
   */
  target_poller(std::size_t threads, poll_function poll);
  /** Waits for the polls in progress. */
  ~target_poller();

  target_poller(const target_poller&) = delete;
  target_poller& operator=(const target_poller&) = delete;

  /**
   * @brief Replaces the queued polls by a new round. Does not block.
   *
   * Targets whose poll is in progress are left out of the round. Targets
   * outside the round are dropped from the queue and no longer count as
   * unresponsive.
   */
  void ScheduleRound(std::vector<target_poll> round);

 private:
  using poll_queue = std::map<std::string, target_poll>;

  void Loop();
  [[nodiscard]] bool HasWork() const;
  target_poll PopNext();

  const poll_function poll_;
  std::mutex mutex_;
  std::condition_variable wake_;
  bool stopping_{};
  poll_queue queue_;
  poll_queue unresponsive_queue_;
  std::set<std::string> in_progress_;
  std::set<std::string> unresponsive_;
  bool polling_unresponsive_{};
  std::string last_polled_;
  std::vector<std::thread> threads_;
};

}  // namespace acaciaferry
