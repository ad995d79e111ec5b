#pragma once

#include <cstdint>
#include <deque>
#include <unordered_map>

#include "acaciaferry/core/name.hpp"
#include "acaciaferry/core/time.hpp"

namespace acaciaferry::forwarding {

/**
 * @brief The limit on retries that all VMs share: in each window a pool gets at
 * most `ratio` x its requests + `slack` retries.
 */
struct retry_bound {
  double ratio{0.2};
  duration window{std::chrono::seconds(10)};
  double slack{0};
};

/**
 * @brief This VM's share of the limit. The ratio applies to its own requests;
 * the slack is divided by the number of VMs.
 */
class retry_allowance {
 public:
  explicit retry_allowance(const retry_bound& bound) : bound_(bound) {}

  void SetBound(const retry_bound& bound) { bound_ = bound; }

  /** @brief Counts a request, but not its retries. */
  void CountRequest(const pool_id& pool, time_point now);

  /**
   * @brief Takes one retry out of the share, if any is left.
   * @param vm_count Number of VMs that share the slack, at least 1.
   */
  [[nodiscard]] bool TryTake(const pool_id& pool,
                             std::uint64_t vm_count,
                             time_point now);

 private:
  struct usage {
    std::deque<time_point> requests;
    std::deque<time_point> retries;
  };

  void DropExpired(usage& used, time_point now) const;

  retry_bound bound_;
  std::unordered_map<pool_id, usage> pools_;
};

}  // namespace acaciaferry::forwarding
