#pragma once

#include <Poco/Net/HTTPServerRequest.h>

#include <cstdint>
#include <mutex>

#include "acaciaferry/core/time.hpp"

namespace acaciaferry::standin {

/**
 * @brief Faults that concern a stand-in's connections. Safe to use from
 * several threads.
 */
class fault_switches {
 public:
  /** @param clock Must outlive the switches. */
  explicit fault_switches(const clock_source& clock) : clock_(clock) {}

  /** @brief Stops all work until the time has passed. */
  void Pause(duration length);

  /** @brief Blocks while the process is paused. */
  void WaitWhilePaused() const;

  /** @brief Silences the connections that are open now, for ever. */
  void SilenceOpenConnections();

  /** @return The mark that a connection takes when its request arrives. */
  [[nodiscard]] std::uint64_t Mark() const;

  /** @return Whether a connection of that mark has been silenced. */
  [[nodiscard]] bool IsSilent(std::uint64_t mark) const;

  /** @brief Blocks, without sending anything, until the peer closes. */
  static void StaySilent(Poco::Net::HTTPServerRequest& request);

 private:
  const clock_source& clock_;
  mutable std::mutex mutex_;
  time_point paused_until_{};
  std::uint64_t mark_{};
};

}  // namespace acaciaferry::standin
