#pragma once

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <thread>

#include "acaciaferry/configuration/effect.hpp"
#include "acaciaferry/reducer/event.hpp"

namespace acaciaferry {

/**
 * @brief Checks and parses configuration documents on its own thread, because
 * a document of 1 MB would block the event loop.
 */
class configuration_checker {
 public:
  /** @param sink Receives configuration_checked, on the checker's thread. */
  explicit configuration_checker(std::function<void(event)> sink);
  ~configuration_checker();

  configuration_checker(const configuration_checker&) = delete;
  configuration_checker& operator=(const configuration_checker&) = delete;

  /** @brief Queues a document; replaces a document that is still queued. */
  void Check(check_configuration document);

 private:
  void Run();

  const std::function<void(event)> sink_;
  std::mutex mutex_;
  std::condition_variable wake_up_;
  std::optional<check_configuration> queued_;
  bool stopping_{};
  std::thread thread_;
};

}  // namespace acaciaferry
