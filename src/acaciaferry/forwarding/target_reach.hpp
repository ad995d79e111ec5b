#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "acaciaferry/core/name.hpp"
#include "acaciaferry/core/time.hpp"

namespace acaciaferry::forwarding {

/**
 * @brief Whether this VM can connect to targets itself, and the VMs through
 * which it connects if it can't.
 *
 * A VM that is partitioned from the targets finds no connection to any of them,
 * while other VMs do. Connections through another VM's tunnel say nothing of
 * this VM's own reach.
 */
class target_reach {
 public:
  /**
   * @brief Records that a direct connection could not be established.
   * @param started When connecting began; failures that began before the last
   * connection was established say nothing.
   * @return Whether the targets are out of reach since this failure.
   */
  bool RecordUnreachable(const target_id& target,
                         time_point started,
                         time_point now);

  /** @brief Records that a direct connection of a request was established. */
  void RecordReached(time_point now);

  /**
   * @brief Records the result of a probe while the targets are out of reach.
   * @return Whether they are within reach again.
   */
  bool RecordProbe(bool reached, time_point now);

  /** @return Whether no target can be reached directly. */
  [[nodiscard]] bool IsOutOfReach() const noexcept {
    return out_of_reach_since_.has_value();
  }
  /** @return When that was detected; nothing if targets are within reach. */
  [[nodiscard]] std::optional<time_point> OutOfReachSince() const noexcept {
    return out_of_reach_since_;
  }

  /** @brief Sets the addresses (IP:PORT) of the tunnels of other VMs that reach
   * targets, the nearest first. */
  void SetTunnels(std::vector<std::string> tunnels) {
    tunnels_ = std::move(tunnels);
  }
  [[nodiscard]] const std::vector<std::string>& Tunnels() const noexcept {
    return tunnels_;
  }

  /** @brief Records that a connection through a tunnel could not be
   * established: it is not chosen for a while. */
  void RecordBrokenTunnel(const std::string& tunnel, time_point now);

  /**
   * @return The address of the tunnel to connect through, in turn; empty to
   * connect directly, and if there is no tunnel.
   */
  [[nodiscard]] std::string NextTunnel(time_point now);

  /** @return Whether no target can be reached, directly or otherwise. */
  [[nodiscard]] bool IsIsolated(time_point now) const;

  /** @return When the next probe is due; nothing if none is. */
  [[nodiscard]] std::optional<time_point> NextProbe() const noexcept {
    return next_probe_;
  }
  /** @brief Schedules the probe after this one. */
  void ScheduleProbe(time_point now);

 private:
  struct broken_tunnel {
    std::string address;
    time_point until{};
  };

  [[nodiscard]] bool IsBroken(const std::string& tunnel, time_point now) const;

  std::vector<std::string> tunnels_;
  std::vector<broken_tunnel> broken_tunnels_;
  std::size_t next_tunnel_{};
  /** Targets to which no connection was found since the last one that was. */
  std::set<target_id> unreachable_;
  time_point first_failure_{};
  time_point last_reached_{};
  std::optional<time_point> out_of_reach_since_;
  std::optional<time_point> next_probe_;
  int probes_in_a_row_{};
};

}  // namespace acaciaferry::forwarding
