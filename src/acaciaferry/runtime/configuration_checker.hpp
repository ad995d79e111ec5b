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
 * @brief Parses documents on a thread of its own, because a document of 1 MB
 * would hold up the loop.
 */
class configuration_checker {
 public:
  /** @param sink Receives configuration_checked. */
  explicit configuration_checker(std::function<void(event)> sink);
  ~configuration_checker();

  configuration_checker(const configuration_checker&) = delete;
  configuration_checker& operator=(const configuration_checker&) = delete;

  /** @brief Queues a document; one that waits is replaced by a later one. */
  void Check(check_configuration document);

 private:
  void Loop();

  const std::function<void(event)> sink_;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::optional<check_configuration> next_;
  bool stopping_{};
  std::thread thread_;
};

}  // namespace acaciaferry
