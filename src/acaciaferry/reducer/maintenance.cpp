#include "acaciaferry/reducer/maintenance.hpp"

#include <span>
#include <utility>
#include <variant>
#include <vector>

#include "acaciaferry/reducer/responsibility.hpp"

namespace acaciaferry {
namespace internal {

constexpr duration kMaintenanceInterval = std::chrono::milliseconds(500);
// After a longer gap between two events this process may have been paused, and
// another VM may have become the issuer.
constexpr duration kMinProcessPause = std::chrono::seconds(2);

// The engines (targets of pools that run completions) of this VM's failure
// domain.
std::vector<const target*> DomainEngines(const state& state) {
  std::vector<const target*> engines;
  for (const target& each : state.targets.targets) {
    const pool* const known =
        state.config ? FindPool(*state.config, each.pool) : nullptr;
    const bool is_engine =
        known != nullptr && known->kind == request_kind::kCompletion;
    if (is_engine && each.failure_domain == state.self.failure_domain) {
      engines.push_back(&each);
    }
  }
  return engines;
}

void SweepHoldings(state& state,
                   std::span<const target* const> engines,
                   time_point now,
                   effects& out) {
  std::vector<const target*> responsible;
  for (const target* const each : engines) {
    if (IsSweeper(state, *each)) {
      responsible.push_back(each);
    }
  }
  reclamation_effects requested;
  SweepTargets(state.reclamation, responsible, now, requested);
  for (reclamation_effect& each : requested) {
    std::visit([&out](auto& value) { out.push_back(std::move(value)); }, each);
  }
}

void IssueOrders(state& state,
                 std::span<const target* const> engines,
                 time_point now,
                 effects& out) {
  if (!state.config) {
    return;
  }
  std::vector<issue_order> orders;
  PlanOrders(state.orders, *state.config, engines, IsOrderIssuer(state), now,
             orders);
  for (issue_order& each : orders) {
    out.push_back(std::move(each));
  }
}

}  // namespace internal

void ObserveHoldingOwners(state& state,
                          const vm_list_received& event,
                          time_point now) {
  ObserveVmList(state.reclamation, event.vms, event.time_to_next_read, now);
  ObserveAlive(state.reclamation, state.self.vm, state.self.incarnation);
  for (const auto& [vm, each] : state.membership.peers) {
    if (each.phase == peer_phase::kAlive && !each.stale) {
      ObserveAlive(state.reclamation, vm, each.incarnation);
    }
  }
}

void MaintainTargets(state& state, time_point now, effects& out) {
  if (now - state.last_maintenance_at > internal::kMinProcessPause) {
    ResignIssuer(state.orders);
  }
  if (now - state.last_maintenance_at < internal::kMaintenanceInterval) {
    return;
  }
  state.last_maintenance_at = now;
  const auto engines = internal::DomainEngines(state);
  internal::SweepHoldings(state, engines, now, out);
  internal::IssueOrders(state, engines, now, out);
}

std::optional<time_point> NextMaintenance(const state& state) {
  if (!state.config || state.targets.targets.empty()) {
    return std::nullopt;
  }
  return state.last_maintenance_at + internal::kMaintenanceInterval;
}

void OnMaintenanceEvent(state& state,
                        const holdings_listed& event,
                        time_point now,
                        effects& out) {
  const target* const from = FindTarget(state.targets, event.target);
  if (from == nullptr) {
    return;
  }
  reclamation_effects requested;
  OnHoldingsListed(state.reclamation, event, from->address, now, requested);
  for (reclamation_effect& each : requested) {
    std::visit([&out](auto& value) { out.push_back(std::move(value)); }, each);
  }
}

void OnMaintenanceEvent(state& state,
                        const order_answered& event,
                        time_point now,
                        effects& out) {
  out.push_back(count_order{event.verdict});
  OnOrderAnswered(state.orders, event, now);
}

}  // namespace acaciaferry
