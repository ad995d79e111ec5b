#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "acaciaferry/core/name.hpp"
#include "acaciaferry/core/random.hpp"
#include "acaciaferry/core/time.hpp"
#include "acaciaferry/forwarding/load_ledger.hpp"
#include "acaciaferry/forwarding/routing_table.hpp"

namespace acaciaferry::forwarding {

/**
 * @brief What a VM knows of the limit of a target: the requests a second that
 * the target takes from all VMs together.
 */
struct limit_report {
  target_id target;
  /** Start of the target's process; see target::incarnation. */
  std::uint64_t incarnation{};
  /** Finite and not negative; nothing if the target names no limit any more. */
  std::optional<double> requests_per_s;
  /** Time since the response that says so. */
  duration age{};
  /** Requests that were sent beyond the limit; see target_limits. */
  double debt{};

  [[nodiscard]] bool operator==(const limit_report&) const = default;
};

struct limit_reports_received {
  std::vector<limit_report> reports;
};

/**
 * @brief The limits that targets have named, and what is left of them.
 *
 * A limit holds for the requests of all VMs. Each VM counts the requests that
 * it hears of, its own included, and sends one only if the limit leaves room
 * for it. The count is a debt, in requests: each request adds one, and time
 * reduces it at the rate of the limit. A VM that hears only a part of the fleet
 * reduces it by that part of the rate, since the others may send as well.
 */
class target_limits {
 public:
  /** What a report or a response changed. */
  enum class change { kNone, kMinor, kNamed, kChanged, kEnded };

  explicit target_limits(std::uint64_t seed) : random_(seed) {}

  /**
   * @brief Records what a response of a target says of its limit.
   * @param requests_per_s Finite and not negative; nothing if it names none.
   */
  change Record(const target_id& id,
                std::uint64_t incarnation,
                std::optional<double> requests_per_s,
                time_point now);
  /** @brief Applies the report of a peer. What a later response said, or one of
   * a later incarnation, stays. */
  change Merge(const limit_report& report, time_point now);
  /** @brief Forgets the limit of a target that has restarted. */
  void Forget(const target_id& id) { entries_.erase(id); }

  /** @brief Counts a request to a target; each dispatch counts once. */
  void CountRequest(const target_id& id, dispatch_id key, time_point now);

  /**
   * @brief Sets the part of the VMs that this VM hears.
   * @param share Above 0, at most 1.
   */
  void SetShare(double share, time_point now);

  /** @return Whether a target has named a limit. */
  [[nodiscard]] bool IsLimited(const target_id& id) const;
  /** @return The limit of a target in requests a second, if it has one. */
  [[nodiscard]] std::optional<double> LimitOf(const target_id& id) const;
  /** @return Requests a second that all VMs together send to a target at most;
   * 0 for one without a limit. */
  [[nodiscard]] double FleetRate(const target_id& id) const;
  /** @return When the limit of a target leaves room for a request: `now` or
   * later. */
  [[nodiscard]] time_point NextRequestAt(const target_id& id,
                                         time_point now) const;

  /**
   * @brief Chooses when a refused caller may return to a pool without room, and
   * keeps that time from the callers that are refused after it.
   * @param next_room When a target of the pool next has room.
   * @param vm_spacing Mean time between two requests that this VM may send to
   * the pool.
   * @param latest The caller does not return later; such a time isn't kept.
   */
  [[nodiscard]] time_point PromiseRoom(const pool_id& pool,
                                       time_point next_room,
                                       duration vm_spacing,
                                       time_point latest);

  /** @return What this VM knows of all limits. */
  [[nodiscard]] std::vector<limit_report> Reports(time_point now) const;
  /** @brief Forgets limits that have ended, and those of targets of which
   * nothing was heard for long. */
  void Expire(time_point now);
  /** @return Number of targets with a limit. */
  [[nodiscard]] std::size_t Count() const;

 private:
  struct entry {
    std::uint64_t incarnation{};
    std::optional<double> requests_per_s;
    time_point observed_at{};
    double debt{};
    time_point debt_at{};
    /** Dispatches that were counted, and when. */
    std::unordered_map<dispatch_id, time_point> counted;
  };

  [[nodiscard]] double Rate(const entry& of) const;
  [[nodiscard]] double DebtAt(const entry& of, time_point now) const;
  void Settle(entry& of, time_point now) const;
  change Apply(const target_id& id,
               std::uint64_t incarnation,
               std::optional<double> requests_per_s,
               time_point observed_at,
               time_point now);

  std::map<target_id, entry> entries_;
  /** When the next refused caller of a pool may return. */
  std::map<pool_id, time_point> promised_room_;
  random_engine random_;
  double share_{1};
};

}  // namespace acaciaferry::forwarding
