#include "acaciaferry/forwarding/load/prefill_meter.hpp"

#include <algorithm>

#include "acaciaferry/forwarding/target_table.hpp"

namespace acaciaferry::forwarding {
namespace internal {

constexpr duration kUtilizationWindow = std::chrono::seconds(2);

}  // namespace internal

void prefill_meter::Record(std::uint64_t key,
                           const target_id& target,
                           duration time,
                           time_point now) {
  DropOld(now);
  latest_.push_back({now, key, target, time});
  by_target_[target] += time;
}

void prefill_meter::Subtract(std::uint64_t key,
                             const target_id& target,
                             duration unread) {
  for (auto at = latest_.rbegin(); at != latest_.rend() && unread > duration{};
       ++at) {
    if (at->key != key || at->target != target) {
      continue;
    }
    const duration removed = std::min(unread, at->time);
    SubtractFromTarget(target, removed);
    at->time -= removed;
    unread -= removed;
  }
}

void prefill_meter::Forget(const target_id& target) {
  by_target_.erase(target);
  std::erase_if(latest_, [&](const dispatched_prefill& each) {
    return each.target == target;
  });
}

double prefill_meter::Utilization(std::span<const target* const> targets,
                                  time_point now) const {
  if (targets.empty()) {
    return 0;
  }
  duration total{};
  for (const target* each : targets) {
    const auto at = by_target_.find(each->id);
    total += at == by_target_.end() ? duration{} : at->second;
  }
  for (const dispatched_prefill& each : latest_) {
    if (each.at + internal::kUtilizationWindow >= now) {
      break;
    }
    const bool is_counted =
        std::any_of(targets.begin(), targets.end(),
                    [&](const target* one) { return one->id == each.target; });
    total -= is_counted ? each.time : duration{};
  }
  return ToSeconds(total) / (ToSeconds(internal::kUtilizationWindow) *
                             static_cast<double>(targets.size()));
}

void prefill_meter::SubtractFromTarget(const target_id& target, duration time) {
  const auto at = by_target_.find(target);
  if (at == by_target_.end()) {
    return;
  }
  at->second -= time;
  if (at->second <= duration{}) {
    by_target_.erase(at);
  }
}

void prefill_meter::DropOld(time_point now) {
  while (!latest_.empty() &&
         latest_.front().at + internal::kUtilizationWindow < now) {
    SubtractFromTarget(latest_.front().target, latest_.front().time);
    latest_.pop_front();
  }
}

}  // namespace acaciaferry::forwarding
