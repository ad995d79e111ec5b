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
 * @brief Polls targets on a few threads, so that one that is silent does not
 * delay the others.
 *
 * A target that did not answer its last poll is polled after all others, and
 * only one such target at a time.
 */
class target_poller {
 public:
  /** Polls one target; tells whether it answered. */
  using poll_function = std::function<bool(const target_poll&)>;

  /**
   * @param threads Number of polls at a time; at least two.
   * @param poll Called on the poller's threads.
   */
  target_poller(std::size_t threads, poll_function poll);
  /** Waits for the polls that run. */
  ~target_poller();

  target_poller(const target_poller&) = delete;
  target_poller& operator=(const target_poller&) = delete;

  /**
   * @brief Adds a round and returns at once.
   *
   * Targets that still wait or are being polled are not added a second time;
   * those that the round does not name are forgotten.
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
