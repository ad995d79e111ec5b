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

  /**
   * @brief Records that a direct connection of a request was established, so
   * that the pool is within reach.
   * @return Whether something is within reach again.
   */
  bool RecordReached(const pool_id& pool, time_point now);

  /**
   * @brief Records the result of a probe of a pool.
   * @return Whether something is within reach again.
   */
  bool RecordProbe(const pool_id& pool, bool reached, time_point now);

  /**
   * @brief Begins a check of whether targets of a pool can be reached at all,
   * unless one is under way or the pool is out of reach.
   * @return Whether the check begins: some targets are to be probed.
   */
  bool StartCheck(const pool_id& pool, time_point now);

  /** @return Whether no connection to a target was found since the last one to
   * any target of its pool. */
  [[nodiscard]] bool IsUnreached(const pool_id& pool,
                                 const target_id& target) const;

  /** @return Whether no target of a pool can be reached directly. */
  [[nodiscard]] bool IsOutOfReach(const pool_id& pool) const;
  /** @return Whether that holds for any pool. */
  [[nodiscard]] bool IsAnyOutOfReach() const;

  /** @brief Sets the addresses (IP:PORT) of the tunnels of other VMs that reach
   * targets, the nearest first. */
  void SetTunnels(std::vector<std::string> tunnels);
  [[nodiscard]] const std::vector<std::string>& Tunnels() const noexcept {
    return tunnels_;
  }

  /** @brief Records that a tunnel gave no connection: it is not chosen for a
   * while. */
  void RecordBrokenTunnel(const std::string& tunnel, time_point now);
  /** @brief Records that a tunnel did not reach a target. After several targets
   * in a row the tunnel counts as broken. */
  void RecordUnreachedThrough(const std::string& tunnel,
                              const target_id& target,
                              time_point now);
  /** @brief Records that a tunnel reached a target. */
  void RecordReachedThrough(const std::string& tunnel);

  /**
   * @return The address of the tunnel to connect to a pool through, in turn;
   * empty to connect directly, and if there is no tunnel.
   */
  [[nodiscard]] std::string NextTunnel(const pool_id& pool, time_point now);

  /** @return When the next probe is due; nothing if none is. */
  [[nodiscard]] std::optional<time_point> NextProbe() const noexcept {
    return next_probe_;
  }
  /** @brief Schedules the probe after this one. */
  void ScheduleProbe(time_point now);

 private:
  /** What is known of a pool, or of all targets together. */
  struct evidence {
    /** Targets to which no connection was found since the last one that was,
     * and when that was seen. */
    std::map<target_id, time_point> unreachable;
    time_point last_reached{};
    bool out_of_reach{};
    int reached_probes{};
    /** When the check that is under way has ended. */
    time_point check_ends{};
  };
  /** A tunnel through which connections failed. */
  struct tunnel_fault {
    std::string address;
    /** Targets that it did not reach since the last one that it did. */
    std::set<target_id> unreached;
    time_point broken_until{};
  };

  static bool AddFailure(evidence& known,
                         const trial& failed,
                         std::size_t needed,
                         time_point now);
  static void AddReached(evidence& known, time_point now);
  static bool AddProbe(evidence& known, bool reached, time_point now);
  [[nodiscard]] bool IsBroken(const std::string& tunnel, time_point now) const;
  tunnel_fault& FaultsOf(const std::string& tunnel);

  std::vector<std::string> tunnels_;
  std::vector<tunnel_fault> tunnel_faults_;
  std::size_t next_tunnel_{};
  std::map<pool_id, evidence> pools_;
  evidence all_;
  std::optional<time_point> next_probe_;
};

}  // namespace acaciaferry::forwarding
