#pragma once

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

#include "acaciaferry/core/time.hpp"

namespace acaciaferry {

/**
 * @brief Calls a function repeatedly on its own thread.
 */
class periodic_task {
 public:
  /**
   * @param pause Time between the end of one call and the next.
   * @param function Called until the task is destroyed.
   */
  periodic_task(duration pause, std::function<void()> function);
  ~periodic_task();

  periodic_task(const periodic_task&) = delete;
  periodic_task& operator=(const periodic_task&) = delete;

 private:
  void Loop();

  const duration pause_;
  const std::function<void()> function_;
  std::mutex mutex_;
  std::condition_variable wake_;
  bool stopping_{};
  std::thread thread_;
};

}  // namespace acaciaferry
