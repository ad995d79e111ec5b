#pragma once

#include <cstdint>
#include <functional>
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
  /** For how much longer the target is cold; 0 if it isn't, or if the VM that
   * tells it doesn't know of cold targets. */
  duration cold_for{};

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
 *
 * A cold target has a limit as well, which rises after the cold time and is
 * then lifted. Such a target does not survive what a limited one does, so the
 * requests that this VM places itself have a second debt, which is reduced at
 * this VM's own part of the rate: all VMs together stay near the limit before
 * they find out that they don't hear each other.
 */
class target_limits {
 public:
  /** What a report or a response changed. */
  enum class change { kNone, kMinor, kNamed, kChanged, kEnded };
  /** Which VM has placed a request. */
  enum class placed_by { kThisVm, kOther };

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
  /** @brief Forgets the limit of a target that has restarted.
   * @param incarnation Its new process, of which peers may have told already.
   */
  void Forget(const target_id& id, std::uint64_t incarnation);

  /**
   * @brief Limits a target while it is cold. What is known of the same process
   * is extended, and its debt stays.
   * @param requests_per_s Above 0.
   * @param until End of the cold time.
   * @param ramp_end When the limit is lifted, which has risen to kRampFactor
   * times the rate then; not before `until`.
   * @return Whether the target wasn't limited as cold.
   */
  bool SetCold(const target_id& id,
               std::uint64_t incarnation,
               double requests_per_s,
               time_point until,
               time_point ramp_end,
               time_point now);
  /** @brief Lifts the limits of the cold targets that a condition selects. */
  void EndCold(const std::function<bool(const target_id&)>& selects);
  /** @return For how much longer a target is cold, without the time in which
   * its limit rises. */
  [[nodiscard]] duration ColdFor(const target_id& id, time_point now) const;

  /** @brief Counts a request to a target; each dispatch counts once. */
  void CountRequest(const target_id& id,
                    dispatch_id key,
                    placed_by source,
                    time_point now);

  /**
   * @brief Sets the part of the VMs that this VM hears.
   * @param share Above 0, at most 1.
   */
  void SetShare(double share, time_point now);
  /**
   * @brief Sets the part of a cold target's limit up to which this VM places
   * requests, whatever it hears of others.
   * @param share Above 0, at most 1.
   */
  void SetOwnShare(double share, time_point now);

  /** @return Whether a target has named a limit, or has one as a cold target.
   */
  [[nodiscard]] bool IsLimited(const target_id& id, time_point now) const;
  /** @return The limit that a target has named, in requests a second. */
  [[nodiscard]] std::optional<double> LimitOf(const target_id& id) const;
  /** @return Requests a second that all VMs together send to a target at most;
   * 0 for one without a limit. */
  [[nodiscard]] double FleetRate(const target_id& id, time_point now) const;
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
   * nothing was heard for long.
   * @return The targets that were cold and have no such limit any more. */
  std::vector<target_id> Expire(time_point now);
  /** @return Number of targets that have named a limit. */
  [[nodiscard]] std::size_t Count() const;
  /** @return Number of targets that are limited as cold ones. */
  [[nodiscard]] std::size_t ColdCount(time_point now) const;
  /** @return Number of requests that are kept so that none counts twice. */
  [[nodiscard]] std::size_t CountedRequests() const;

  /** The limit of a cold target is lifted at this many times its rate. */
  static constexpr double kRampFactor = 4;
  /** Part of a cold target's limit that a VM uses before it knows how many
   * share it: as of a VM among 16. */
  static constexpr double kFirstOwnShare = 1.0 / 16;

 private:
  struct cold_limit {
    double requests_per_s{};
    time_point until{};
    time_point ramp_end{};
    /** Requests that this VM has placed beyond its own part of the limit. */
    double own_debt{};
  };
  struct entry {
    std::uint64_t incarnation{};
    std::optional<double> requests_per_s;
    time_point observed_at{};
    double debt{};
    /** When the debts were as stated. */
    time_point debt_at{};
    std::optional<cold_limit> cold;
    /** Dispatches that were counted, and when. */
    std::unordered_map<dispatch_id, time_point> counted;
  };

  [[nodiscard]] static bool IsCold(const entry& of, time_point now);
  [[nodiscard]] static bool IsLimited(const entry& of, time_point now);
  [[nodiscard]] static double LimitAt(const entry& of, time_point now);
  [[nodiscard]] static double Allowance(const entry& of,
                                        bool cold_only,
                                        time_point from,
                                        time_point until);
  static void Restart(entry& of, std::uint64_t incarnation, time_point now);
  [[nodiscard]] double Rate(const entry& of, time_point now) const;
  [[nodiscard]] double DebtAt(const entry& of, time_point now) const;
  [[nodiscard]] double OwnDebtAt(const entry& of, time_point now) const;
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
  double own_share_{kFirstOwnShare};
};

}  // namespace acaciaferry::forwarding
