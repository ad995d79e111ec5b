#include "acaciaferry/forwarding/target_reach.hpp"

#include <algorithm>

namespace acaciaferry::forwarding {
namespace internal {

// Single targets crash, or are behind a cut of their own.
constexpr std::size_t kMinUnreachableTargets = 3;
// In a pool with fewer targets; a single target is no pool.
constexpr std::size_t kFewestUnreachableTargets = 2;
// Failures that lie further apart have different causes.
constexpr duration kFailureWindow = std::chrono::seconds(3);
constexpr duration kProbeInterval = std::chrono::milliseconds(500);
// Probes have a result by then.
constexpr duration kCheckTime = std::chrono::milliseconds(450);
// One connection may be that of a target which is not behind the partition.
constexpr int kProbesToReturn = 2;
// A VM that no longer reaches targets has told so within this time.
constexpr duration kBrokenTunnelPause = std::chrono::seconds(1);
// The other VM may have lost the targets as well; a single one may have
// crashed.
constexpr std::size_t kUnreachedToBreak = 2;
// Tunnels of the own failure domain come first, and share the load.
constexpr std::size_t kTunnelsInTurn = 3;

}  // namespace internal

bool target_reach::AddFailure(evidence& known,
                              const trial& failed,
                              std::size_t needed,
                              time_point now) {
  if (known.out_of_reach || failed.started < known.last_reached) {
    return false;
  }
  std::erase_if(known.unreachable, [now](const auto& each) {
    return now - each.second > internal::kFailureWindow;
  });
  known.unreachable[failed.target] = now;
  if (known.unreachable.size() < needed) {
    return false;
  }
  known.unreachable.clear();
  known.out_of_reach = true;
  known.reached_probes = 0;
  return true;
}

void target_reach::AddReached(evidence& known, time_point now) {
  known.last_reached = now;
  known.check_ends = {};
  known.unreachable.clear();
  known.out_of_reach = false;
}

bool target_reach::AddProbe(evidence& known, bool reached, time_point now) {
  // Probes that fail say nothing: their targets may have crashed.
  known.reached_probes += reached ? 1 : 0;
  if (!known.out_of_reach || known.reached_probes < internal::kProbesToReturn) {
    return false;
  }
  AddReached(known, now);
  return true;
}

bool target_reach::RecordUnreachable(const trial& failed, time_point now) {
  const std::size_t needed =
      std::clamp(failed.pool_size, internal::kFewestUnreachableTargets,
                 internal::kMinUnreachableTargets);
  const bool pool_lost = AddFailure(pools_[failed.pool], failed, needed, now);
  const bool all_lost =
      AddFailure(all_, failed, internal::kMinUnreachableTargets, now);
  if (pool_lost || all_lost) {
    ScheduleProbe(now);
  }
  return pool_lost || all_lost;
}

bool target_reach::RecordReached(const pool_id& pool, time_point now) {
  const bool was_out = IsOutOfReach(pool);
  AddReached(pools_[pool], now);
  AddReached(all_, now);
  if (!IsAnyOutOfReach()) {
    next_probe_.reset();
  }
  return was_out;
}

bool target_reach::RecordProbe(const pool_id& pool,
                               bool reached,
                               time_point now) {
  const bool pool_back = AddProbe(pools_[pool], reached, now);
  const bool all_back = AddProbe(all_, reached, now);
  if (!IsAnyOutOfReach()) {
    next_probe_.reset();
  }
  return pool_back || all_back;
}

bool target_reach::StartCheck(const pool_id& pool, time_point now) {
  evidence& known = pools_[pool];
  if (IsOutOfReach(pool) || now < known.check_ends) {
    return false;
  }
  known.check_ends = now + internal::kCheckTime;
  return true;
}

bool target_reach::IsUnreached(const pool_id& pool,
                               const target_id& target) const {
  const auto at = pools_.find(pool);
  return at != pools_.end() && at->second.unreachable.contains(target);
}

bool target_reach::IsOutOfReach(const pool_id& pool) const {
  const auto at = pools_.find(pool);
  return all_.out_of_reach || (at != pools_.end() && at->second.out_of_reach);
}

bool target_reach::IsAnyOutOfReach() const {
  return all_.out_of_reach ||
         std::any_of(pools_.begin(), pools_.end(),
                     [](const auto& each) { return each.second.out_of_reach; });
}

target_reach::tunnel_fault& target_reach::FaultsOf(const std::string& tunnel) {
  const auto at = std::find_if(
      tunnel_faults_.begin(), tunnel_faults_.end(),
      [&](const tunnel_fault& each) { return each.address == tunnel; });
  return at != tunnel_faults_.end()
             ? *at
             : tunnel_faults_.emplace_back(tunnel_fault{tunnel, {}, {}});
}

void target_reach::SetTunnels(std::vector<std::string> tunnels) {
  tunnels_ = std::move(tunnels);
  std::erase_if(tunnel_faults_, [this](const tunnel_fault& each) {
    return std::find(tunnels_.begin(), tunnels_.end(), each.address) ==
           tunnels_.end();
  });
}

void target_reach::RecordBrokenTunnel(const std::string& tunnel,
                                      time_point now) {
  tunnel_fault& fault = FaultsOf(tunnel);
  fault.unreached.clear();
  fault.broken_until = now + internal::kBrokenTunnelPause;
}

void target_reach::RecordUnreachedThrough(const std::string& tunnel,
                                          const target_id& target,
                                          time_point now) {
  tunnel_fault& fault = FaultsOf(tunnel);
  fault.unreached.insert(target);
  if (fault.unreached.size() >= internal::kUnreachedToBreak) {
    RecordBrokenTunnel(tunnel, now);
  }
}

void target_reach::RecordReachedThrough(const std::string& tunnel) {
  FaultsOf(tunnel).unreached.clear();
}

bool target_reach::IsBroken(const std::string& tunnel, time_point now) const {
  return std::any_of(tunnel_faults_.begin(), tunnel_faults_.end(),
                     [&](const tunnel_fault& each) {
                       return each.address == tunnel && each.broken_until > now;
                     });
}

std::string target_reach::NextTunnel(const pool_id& pool, time_point now) {
  if (!IsOutOfReach(pool)) {
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

void target_reach::ScheduleProbe(time_point now) {
  next_probe_ = now + internal::kProbeInterval;
}

}  // namespace acaciaferry::forwarding
