#include <algorithm>
#include <optional>
#include <string>
#include <vector>

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
  const pool_id& pool = pending.request.pool;
  if (current.reach.RecordUnreachable(
          {running.target, pool, current.targets.NotLeaving(pool).size(),
           running.started},
          now)) {
    AnnounceOutOfReach(current, out);
    // What this VM has found out about their health says nothing any more.
    current.targets.TrustAll();
    LeaveDirectConnections(current, pending.request.id, now, out);
  } else {
    Distrust(current, running.target, distrust_reason::kUnreachable, now, out);
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
    const auto targets = current.targets.NotLeaving(pool);
    if (!current.reach.IsOutOfReach(pool) || targets.empty()) {
      continue;
    }
    // Neighbours in the list, so that they differ.
    const std::size_t first = DrawBelow(current.random, targets.size());
    for (std::size_t i = 0; i < std::min(kProbesAtOnce, targets.size()); ++i) {
      out.emplace_back(
          probe_target{pool, targets[(first + i) % targets.size()]->address});
    }
  }
}

void ApplyProbe(state& current,
                const target_probed& result,
                time_point now,
                effects& out) {
  if (current.reach.RecordProbe(result.pool, result.reached, now)) {
    AnnounceInReach(current, result.pool, out);
  }
}

}  // namespace acaciaferry::forwarding::internal
