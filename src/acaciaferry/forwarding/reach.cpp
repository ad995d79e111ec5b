#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include "acaciaferry/forwarding/evacuation/evacuate.hpp"
#include "acaciaferry/forwarding/flights.hpp"

namespace acaciaferry::forwarding::internal {
namespace {

// One target may have crashed.
constexpr std::size_t kProbesAtOnce = 2;

// Names of the pools, joined by "+".
std::string PoolsOutOfReach(const state& current) {
  std::string names;
  for (const auto& [pool, engine] : current.pools) {
    if (current.reach.IsOutOfReach(pool)) {
      names += (names.empty() ? "" : "+") + pool.value;
    }
  }
  return names;
}

bool IsConnectingOutOfReach(const state& current, const pending_call& pending) {
  return current.reach.IsOutOfReach(pending.request.pool) &&
         pending.running_attempt && !pending.running_attempt->sent &&
         pending.running_attempt->reservations.empty() &&
         pending.running_attempt->tunnel.empty();
}

void AnnounceOutOfReach(const state& current, effects& out) {
  LogDecision(out, decision_kind::kTargetsOutOfReach, current.self.first.value,
              {{"tunnels", std::to_string(current.reach.Tunnels().size())},
               {"pools", PoolsOutOfReach(current)}});
  out.emplace_back(announce_reach{});
}

void AnnounceInReach(const state& current, const pool_id& pool, effects& out) {
  LogDecision(out, decision_kind::kTargetsInReach, current.self.first.value,
              {{"pool", pool.value}, {"still_out", PoolsOutOfReach(current)}});
  out.emplace_back(announce_reach{});
}

// Calls that are connecting to targets out of reach would only wait for their
// timeout.
void LeaveDirectConnections(state& current,
                            std::optional<call_id> except,
                            time_point now,
                            effects& out) {
  std::vector<call_id> connecting;
  for (const auto& [id, pending] : current.pending_calls) {
    if (id != except && IsConnectingOutOfReach(current, pending)) {
      connecting.push_back(id);
    }
  }
  for (const call_id id : connecting) {
    RetryOrFail(current, current.pending_calls.at(id), false,
                failure_code::kNoLiveTarget, "out_of_reach", now, out);
  }
}

// Connects to further targets of a pool, so that a VM with few calls, or a pool
// with few targets, does not wait for as many calls to fail.
void CheckReach(state& current,
                const pool_id& pool,
                time_point now,
                effects& out) {
  if (!current.reach.StartCheck(pool, now)) {
    return;
  }
  auto targets = StayingTargets(current, pool);
  std::erase_if(targets, [&](const target* each) {
    return current.reach.IsUnreached(pool, each->id);
  });
  std::shuffle(targets.begin(), targets.end(), current.random);
  // Those of other failure domains may be behind a partition between these.
  std::stable_partition(targets.begin(), targets.end(),
                        [&](const target* each) {
                          return each->failure_domain == current.failure_domain;
                        });
  targets.resize(std::min(targets.size(), kProbesAtOnce));
  for (const target* each : targets) {
    out.emplace_back(probe_target{pool, each->address, each->id});
  }
}

// Records that a target was not reached directly. Calls that are connecting
// move on if that shows that its pool is out of reach.
// @return Whether it does.
bool RecordUnreached(state& current,
                     const target_id& target,
                     const pool_id& pool,
                     time_point started,
                     std::optional<call_id> except,
                     time_point now,
                     effects& out) {
  const std::size_t pool_size = StayingTargets(current, pool).size();
  if (!current.reach.RecordUnreachable({target, pool, pool_size, started},
                                       now)) {
    // A failure of a connection that was begun before another one was
    // established says nothing.
    if (current.reach.IsUnreached(pool, target)) {
      CheckReach(current, pool, now, out);
    }
    return false;
  }
  AnnounceOutOfReach(current, out);
  // What this VM has found out about their health says nothing any more.
  current.targets.TrustAll();
  LeaveDirectConnections(current, except, now, out);
  return true;
}

}  // namespace

void RecordNoConnection(state& current,
                        const pending_call& pending,
                        attempt_failure how,
                        time_point now,
                        effects& out) {
  const attempt& running = *pending.running_attempt;
  if (how == attempt_failure::kNoTunnel) {
    current.reach.RecordBrokenTunnel(running.tunnel, now);
    return;
  }
  if (!running.tunnel.empty()) {
    current.reach.RecordUnreachedThrough(running.tunnel, running.target, now);
    Distrust(current, running.target, distrust_reason::kUnreachable, now, out);
    return;
  }
  const target_id target = running.target;
  if (!RecordUnreached(current, target, pending.request.pool, running.started,
                       pending.request.id, now, out)) {
    Distrust(current, target, distrust_reason::kUnreachable, now, out);
  }
}

void RecordConnection(state& current,
                      const pending_call& pending,
                      time_point now,
                      effects& out) {
  const std::string& tunnel = pending.running_attempt->tunnel;
  if (!tunnel.empty()) {
    current.reach.RecordReachedThrough(tunnel);
  } else if (current.reach.RecordReached(pending.request.pool, now)) {
    AnnounceInReach(current, pending.request.pool, out);
  }
}

void ApplyTunnels(state& current,
                  const tunnels_changed& changed,
                  time_point now,
                  effects& out) {
  const bool had_none = current.reach.Tunnels().empty();
  current.reach.SetTunnels(changed.tunnels);
  if (!current.reach.IsAnyOutOfReach() || had_none == changed.tunnels.empty()) {
    return;
  }
  LogDecision(out, decision_kind::kTunnelsFound, current.self.first.value,
              {{"tunnels", std::to_string(changed.tunnels.size())}});
  if (had_none) {
    LeaveDirectConnections(current, std::nullopt, now, out);
  }
}

void ProbeTargets(state& current, time_point now, effects& out) {
  const auto due = current.reach.NextProbe();
  if (!due || *due > now) {
    return;
  }
  current.reach.ScheduleProbe(now);
  for (const auto& [pool, engine] : current.pools) {
    const auto targets = StayingTargets(current, pool);
    if (!current.reach.IsOutOfReach(pool) || targets.empty()) {
      continue;
    }
    // Neighbours in the list, so that they differ.
    const std::size_t first = DrawBelow(current.random, targets.size());
    for (std::size_t i = 0; i < std::min(kProbesAtOnce, targets.size()); ++i) {
      out.emplace_back(
          probe_target{pool, targets[(first + i) % targets.size()]->address,
                       targets[(first + i) % targets.size()]->id});
    }
  }
}

void ApplyProbe(state& current,
                const target_probed& result,
                time_point now,
                effects& out) {
  if (current.reach.IsOutOfReach(result.pool)) {
    if (current.reach.RecordProbe(result.pool, result.reached, now)) {
      AnnounceInReach(current, result.pool, out);
    }
  } else if (result.reached) {
    current.reach.RecordReached(result.pool, now);
  } else if (!result.target.empty() && !IsEvacuated(current, result.target)) {
    // Evacuated targets may be stopped.
    RecordUnreached(current, result.target, result.pool, result.started,
                    std::nullopt, now, out);
  }
}

}  // namespace acaciaferry::forwarding::internal
