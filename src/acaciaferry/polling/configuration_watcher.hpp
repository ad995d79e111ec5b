#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "acaciaferry/polling/periodic_task.hpp"
#include "acaciaferry/reducer/event.hpp"

namespace acaciaferry {

/**
 * @brief Whether and from which revision the watcher reads the service.
 */
struct watch_decision {
  /** True when this VM is the responsible watcher or has no configuration. */
  bool should_read{};
  /** The service is asked only for a later revision. */
  std::uint64_t after{};
};

/**
 * @brief Reads the configuration service once, by a long poll.
 * @param address The service's address.
 * @param after The service sends only a later revision.
 * @param sink Receives configuration_read when there is a later revision.
 * @return Whether the service sent a valid reply.
 */
bool ReadConfiguration(const std::string& address,
                       std::uint64_t after,
                       const std::function<void(event)>& sink);

/**
 * @brief Long-polls the configuration service while this VM is a watcher.
 */
class configuration_watcher {
 public:
  using decide_function = std::function<watch_decision()>;

  /**
   * @param address The service's address.
   * @param decide Returns whether to read; called on the watcher's thread.
   * @param on_read Called before each read, after `decide`.
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
