#pragma once

#include <map>
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
 * A VM that is partitioned from a pool, or from all pools, finds no connection
 * to any target there, while other VMs do. Connections through another VM's
 * tunnel say nothing of this VM's own reach.
 */
class target_reach {
 public:
  /** A target to which a direct connection was tried. */
  struct trial {
    target_id target;
    pool_id pool;
    /** Number of targets of its pool. */
    std::size_t pool_size{};
    /** When connecting began. */
    time_point started{};
  };

  /**
   * @brief Records that a direct connection could not be established. Failures
   * of connections that were begun before another one was established say
   * nothing.
   * @return Whether the target's pool, or all pools, are out of reach since
   * this failure.
   */
  bool RecordUnreachable(const trial& failed, time_point now);

  /** @brief Records that a direct connection of a request was established. */
  void RecordReached(const pool_id& pool, time_point now);

  /**
   * @brief Records the result of a probe of a pool.
   * @return Whether something is within reach again.
   */
  bool RecordProbe(const pool_id& pool, bool reached, time_point now);

  /** @return Whether no target of a pool can be reached directly. */
  [[nodiscard]] bool IsOutOfReach(const pool_id& pool) const;
  /** @return Whether that holds for any pool. */
  [[nodiscard]] bool IsAnyOutOfReach() const;

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
   * @return The address of the tunnel to connect to a pool through, in turn;
   * empty to connect directly, and if there is no tunnel.
   */
  [[nodiscard]] std::string NextTunnel(const pool_id& pool, time_point now);

  /** @return Whether no target of a pool can be reached, directly or otherwise.
   */
  [[nodiscard]] bool IsIsolated(const pool_id& pool, time_point now) const;
  /** @return Whether no target at all can be reached. */
  [[nodiscard]] bool IsIsolatedFromAll(time_point now) const;

  /** @return When the next probe is due; nothing if none is. */
  [[nodiscard]] std::optional<time_point> NextProbe() const noexcept {
    return next_probe_;
  }
  /** @brief Schedules the probe after this one. */
  void ScheduleProbe(time_point now);

 private:
  /** What is known of a pool, or of all targets together. */
  struct evidence {
    /** Targets to which no connection was found since the last one that was. */
    std::set<target_id> unreachable;
    time_point first_failure{};
    time_point last_reached{};
    bool out_of_reach{};
    int probes_in_a_row{};
  };
  struct broken_tunnel {
    std::string address;
    time_point until{};
  };

  static bool AddFailure(evidence& known,
                         const trial& failed,
                         std::size_t needed,
                         time_point now);
  static void AddReached(evidence& known, time_point now);
  static bool AddProbe(evidence& known, bool reached, time_point now);
  [[nodiscard]] bool IsBroken(const std::string& tunnel, time_point now) const;
  [[nodiscard]] bool AreAllTunnelsBroken(time_point now) const;

  std::vector<std::string> tunnels_;
  std::vector<broken_tunnel> broken_tunnels_;
  std::size_t next_tunnel_{};
  std::map<pool_id, evidence> pools_;
  evidence all_;
  std::optional<time_point> next_probe_;
};

}  // namespace acaciaferry::forwarding
