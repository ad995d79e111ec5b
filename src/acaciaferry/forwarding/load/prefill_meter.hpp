#pragma once

#include <cstdint>
#include <deque>
#include <span>
#include <unordered_map>

#include "acaciaferry/core/name.hpp"
#include "acaciaferry/core/time.hpp"
#include "acaciaferry/forwarding/fwd.hpp"

namespace acaciaferry::forwarding {

/**
 * @brief Measures how much prefill was dispatched to targets in the last two
 * seconds.
 */
class prefill_meter {
 public:
  /** @brief Records a prefill that is dispatched to a target.
   * @param key The dispatch. */
  void Record(std::uint64_t key,
              const target_id& target,
              duration time,
              time_point now);
  /** @brief Subtracts prefill of a dispatch that its target won't do. */
  void Subtract(std::uint64_t key, const target_id& target, duration unread);
  /** @brief Forgets a target that has restarted or gone. */
  void Forget(const target_id& target);

  /**
   * @return The prefill time that was dispatched to some targets lately, as a
   * share of their time; 0 if there are no targets.
   */
  [[nodiscard]] double Utilization(std::span<const target* const> targets,
                                   time_point now) const;

 private:
  struct dispatched_prefill {
    time_point at{};
    std::uint64_t key{};
    target_id target;
    duration time{};
  };

  void SubtractFromTarget(const target_id& target, duration time);
  void DropOld(time_point now);

  std::deque<dispatched_prefill> latest_;
  /** Sums of `latest_`. */
  std::unordered_map<target_id, duration> by_target_;
};

}  // namespace acaciaferry::forwarding
