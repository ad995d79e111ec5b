#include "acaciaferry/forwarding/target_reach.hpp"

#include <algorithm>

namespace acaciaferry::forwarding {
namespace internal {

// Single targets crash, or are behind a cut of their own.
constexpr std::size_t kMinUnreachableTargets = 3;
// Failures that lie further apart have different causes.
constexpr duration kFailureWindow = std::chrono::seconds(3);
constexpr duration kProbeInterval = std::chrono::milliseconds(500);
// One connection may be that of a target which is not behind the partition.
constexpr int kProbesToReturn = 2;
// A VM that no longer reaches targets has told so within this time.
constexpr duration kBrokenTunnelPause = std::chrono::seconds(1);
// Tunnels of the own failure domain come first, and share the load.
constexpr std::size_t kTunnelsInTurn = 3;

}  // namespace internal

bool target_reach::RecordUnreachable(const target_id& target,
                                     time_point started,
                                     time_point now) {
  if (IsOutOfReach() || started < last_reached_) {
    return false;
  }
  if (now - first_failure_ > internal::kFailureWindow) {
    unreachable_.clear();
  }
  if (unreachable_.empty()) {
    first_failure_ = now;
  }
  unreachable_.insert(target);
  if (unreachable_.size() < internal::kMinUnreachableTargets) {
    return false;
  }
  unreachable_.clear();
  out_of_reach_since_ = now;
  probes_in_a_row_ = 0;
  ScheduleProbe(now);
  return true;
}

void target_reach::RecordReached(time_point now) {
  last_reached_ = now;
  unreachable_.clear();
}

bool target_reach::RecordProbe(bool reached, time_point now) {
  if (!IsOutOfReach()) {
    return false;
  }
  probes_in_a_row_ = reached ? probes_in_a_row_ + 1 : 0;
  if (probes_in_a_row_ < internal::kProbesToReturn) {
    return false;
  }
  out_of_reach_since_.reset();
  next_probe_.reset();
  RecordReached(now);
  return true;
}

void target_reach::RecordBrokenTunnel(const std::string& tunnel,
                                      time_point now) {
  std::erase_if(broken_tunnels_, [&](const broken_tunnel& each) {
    return each.until <= now || each.address == tunnel;
  });
  broken_tunnels_.push_back({tunnel, now + internal::kBrokenTunnelPause});
}

bool target_reach::IsBroken(const std::string& tunnel, time_point now) const {
  return std::any_of(broken_tunnels_.begin(), broken_tunnels_.end(),
                     [&](const broken_tunnel& each) {
                       return each.address == tunnel && each.until > now;
                     });
}

std::string target_reach::NextTunnel(time_point now) {
  if (!IsOutOfReach()) {
    return {};
  }
  std::vector<const std::string*> usable;
  for (const std::string& each : tunnels_) {
    if (!IsBroken(each, now) && usable.size() < internal::kTunnelsInTurn) {
      usable.push_back(&each);
    }
  }
  return usable.empty() ? std::string()
                        : *usable[next_tunnel_++ % usable.size()];
}

bool target_reach::IsIsolated(time_point now) const {
  return IsOutOfReach() && std::all_of(tunnels_.begin(), tunnels_.end(),
                                       [&](const std::string& each) {
                                         return IsBroken(each, now);
                                       });
}

void target_reach::ScheduleProbe(time_point now) {
  next_probe_ = now + internal::kProbeInterval;
}

}  // namespace acaciaferry::forwarding
