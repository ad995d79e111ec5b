#include "acaciaferry/forwarding/retry_allowance.hpp"

#include <algorithm>

namespace acaciaferry::forwarding {
namespace internal {

// Part of the share that is used. The rest is a margin: the limit applies to
// sliding windows, and requests count in whichever of several windows has the
// most.
constexpr double kSpendableShare = 0.8;

}  // namespace internal

void retry_allowance::CountRequest(const pool_id& pool, time_point now) {
  usage& used = pools_[pool];
  DropExpired(used, now);
  used.requests.push_back(now);
}

bool retry_allowance::TryTake(const pool_id& pool,
                              std::uint64_t vm_count,
                              time_point now) {
  usage& used = pools_[pool];
  DropExpired(used, now);
  const double share =
      bound_.ratio * static_cast<double>(used.requests.size()) +
      bound_.slack / static_cast<double>(std::max<std::uint64_t>(vm_count, 1));
  if (static_cast<double>(used.retries.size() + 1) >
      share * internal::kSpendableShare) {
    return false;
  }
  used.retries.push_back(now);
  return true;
}

void retry_allowance::DropExpired(usage& used, time_point now) const {
  const auto drop = [&](std::deque<time_point>& times) {
    while (!times.empty() && times.front() + bound_.window <= now) {
      times.pop_front();
    }
  };
  drop(used.requests);
  drop(used.retries);
}

}  // namespace acaciaferry::forwarding
