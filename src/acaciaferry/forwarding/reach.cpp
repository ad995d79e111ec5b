#include <algorithm>
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

// What this VM has found out about the health of targets says nothing any more,
// and the calls that are connecting would only wait for their timeout.
void LeaveDirectConnections(state& current,
                            call_id except,
                            time_point now,
                            effects& out) {
  LogDecision(out, decision_kind::kTargetsOutOfReach, current.self.first.value,
              {{"tunnels", std::to_string(current.reach.Tunnels().size())},
               {"pools", PoolsOutOfReach(current)}});
  current.targets.TrustAll();
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
    LeaveDirectConnections(current, pending.request.id, now, out);
  } else {
    Distrust(current, running.target, distrust_reason::kUnreachable, now, out);
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
    LogDecision(
        out, decision_kind::kTargetsInReach, current.self.first.value,
        {{"pool", result.pool.value}, {"still_out", PoolsOutOfReach(current)}});
  }
}

}  // namespace acaciaferry::forwarding::internal
