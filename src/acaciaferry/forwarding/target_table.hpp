#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "acaciaferry/core/name.hpp"
#include "acaciaferry/core/time.hpp"

namespace acaciaferry::forwarding {

enum class target_state { kReady, kLeaving };

/**
 * @brief A target as published by the configuration service.
 */
struct target {
  target_id id;
  pool_id pool;
  /** IP:PORT. */
  std::string address;
  failure_domain_id failure_domain;
  std::uint32_t slots{1};
  target_state state{target_state::kReady};
  /** Start of the target's process, in milliseconds since the Unix epoch; 0 if
   * unknown. A target may keep its id when it restarts. */
  std::uint64_t incarnation{};
  /** Whether its entry disappeared around an outage of the configuration
   * service. Such a target is chosen only if the pool has no other. */
  bool missing{};
  /** For how much longer the target was cold when its entry was written; 0 if
   * it wasn't. */
  duration cold_for{};

  [[nodiscard]] bool operator==(const target&) const = default;
};

/** A process of a target that has said that it leaves. */
struct leaving_target {
  target_id target;
  /** See target::incarnation. */
  std::uint64_t incarnation{};

  [[nodiscard]] bool operator==(const leaving_target&) const = default;
};

/** Why a target is not chosen for a while. */
enum class distrust_reason { kUnreachable, kSilent, kBroken, kFailing };

/** @return A static name of the reason. */
[[nodiscard]] std::string_view ToString(distrust_reason reason) noexcept;

/**
 * @brief The published targets and their health as seen by this process.
 */
class target_table {
 public:
  /** A change to the set of targets that can be chosen. */
  struct change {
    target_id id;
    enum class type { kFound, kLost, kLeaving, kRestarted } kind{};
  };

  /**
   * @brief Replaces the published targets. A target that is leaving stays so
   * until its incarnation changes.
   * @return The changes.
   */
  [[nodiscard]] std::vector<change> Update(const std::vector<target>& targets);

  /**
   * @brief Marks a target as leaving on its own word; kept until its
   * incarnation changes, also while it isn't published.
   * @param incarnation The process that said so; another one is not marked.
   * @return Whether the target was not known to leave.
   */
  bool MarkLeaving(const target_id& id, std::uint64_t incarnation);

  /** @return Whether a published target is leaving. */
  [[nodiscard]] bool IsLeaving(const target_id& id) const;

  /** @return The published targets that are leaving on their own word. */
  [[nodiscard]] std::vector<leaving_target> SaidToLeave() const;

  /**
   * @brief Excludes a target from being chosen for a while. The time doubles
   * with each distrust that follows soon after the last, up to a maximum.
   * @return The remaining time.
   */
  duration Distrust(const target_id& id,
                    distrust_reason reason,
                    time_point now);

  /** @brief Applies distrust that a peer has reported. */
  void DistrustUntil(const target_id& id, time_point until);

  /** @brief Drops all distrust, of this process and of peers. */
  void TrustAll();

  /** @brief Records that a target has responded to any request. */
  void RecordActivity(const target_id& id, time_point now);
  /** @return Whether a target has responded to any request since. */
  [[nodiscard]] bool ActiveSince(const target_id& id, time_point since) const;

  /** @return The targets that have responded since, at most `most`. */
  [[nodiscard]] std::vector<target_id> ActiveTargets(time_point since,
                                                     std::size_t most) const;

  /** @return Whether any target of a failure domain has responded since. */
  [[nodiscard]] bool AnyActiveSince(const failure_domain_id& domain,
                                    time_point since) const;

  /** @brief Records that a target completed a request. The next distrust lasts
   * the shortest time again. */
  void RecordSuccess(const target_id& id);
  /**
   * @brief Records that a target failed a request that it ran.
   * @return Whether the target is distrusted now.
   */
  bool RecordFailure(const target_id& id, time_point now);

  [[nodiscard]] const target* Find(const target_id& id) const;
  [[nodiscard]] const target* FindByAddress(std::string_view address) const;
  /** @return The targets of a pool that are neither leaving, missing nor
   * distrusted. */
  [[nodiscard]] std::vector<const target*> Usable(const pool_id& pool,
                                                  time_point now) const;
  /** @return The targets of a pool that are not leaving, whatever their health.
   */
  [[nodiscard]] std::vector<const target*> NotLeaving(
      const pool_id& pool) const;
  [[nodiscard]] std::size_t size() const noexcept { return entries_.size(); }

 private:
  struct entry {
    target published;
    time_point distrusted_until{};
    duration last_distrust{};
    /** Moving average of the share of runs that failed. */
    double failure_rate{};
    time_point last_active{};
    bool leaving{};
  };

  std::map<target_id, entry> entries_;
  /** Incarnations that said that they leave; at most kMaxSaidToLeave. */
  std::map<target_id, std::uint64_t> said_to_leave_;
};

}  // namespace acaciaferry::forwarding
