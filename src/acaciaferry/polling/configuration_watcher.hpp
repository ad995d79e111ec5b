#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "acaciaferry/polling/periodic_task.hpp"
#include "acaciaferry/reducer/event.hpp"

namespace acaciaferry {

/**
 * @brief What the watcher has to do next.
 */
struct watch_decision {
  /** Whether this VM reads the service: it is responsible, or has
   * nothing. */
  bool should_read{};
  /** Only a later revision is of interest. */
  std::uint64_t after{};
};

/**
 * @brief Reads the configuration service once.
 * @param address The service's address.
 * @param after Only a later revision is sent.
 * @param sink Receives configuration_read when there was a later one.
 * @return Whether the service answered as it should.
 */
bool ReadConfiguration(const std::string& address,
                       std::uint64_t after,
                       const std::function<void(event)>& sink);

/**
 * @brief Reads the service with waiting reads while this VM is a watcher.
 */
class configuration_watcher {
 public:
  using decide_function = std::function<watch_decision()>;

  /**
   * @param address The service's address.
   * @param decide Called before each read, on the watcher's thread.
   * @param on_read Called for each read.
   * @param sink Receives configuration_read.
   */
  configuration_watcher(std::string address,
                        decide_function decide,
                        std::function<void()> on_read,
                        std::function<void(event)> sink);

 private:
  void WatchOnce();

  const std::string address_;
  const decide_function decide_;
  const std::function<void()> on_read_;
  const std::function<void(event)> sink_;
  periodic_task task_;
};

}  // namespace acaciaferry
