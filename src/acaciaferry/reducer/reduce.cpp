#include "acaciaferry/reducer/reduce.hpp"

#include <algorithm>

#include "acaciaferry/membership/exchange.hpp"
#include "acaciaferry/reducer/arrival.hpp"
#include "acaciaferry/reducer/attempt_control.hpp"
#include "acaciaferry/reducer/dispatch.hpp"
#include "acaciaferry/reducer/lifecycle.hpp"
#include "acaciaferry/reducer/maintenance.hpp"
#include "acaciaferry/reducer/operation_events.hpp"
#include "acaciaferry/reducer/peering.hpp"
#include "acaciaferry/reducer/recording.hpp"
#include "acaciaferry/reducer/span_events.hpp"
#include "acaciaferry/reducer/target_knowledge.hpp"

namespace acaciaferry {
namespace internal {

// Calls the module that handles each event.
struct event_dispatcher {
  acaciaferry::state& state;
  time_point now;
  effects& out;

  void operator()(const request_arrived& event) const {
    OnRequestArrived(state, event.request, now, out);
  }

  void operator()(const caller_disconnected& event) const {
    OnCallerDisconnected(state, event.request, now, out);
  }

  void operator()(const deployment_received& event) const {
    OnDeploymentReceived(state, event, now, out);
  }

  void operator()(const drain_requested& event) const {
    // A second request does not change the grace period of the first.
    if (!state.accept_until) {
      state.accept_until = now + event.grace;
      AnnounceOwnLeaving(state, out);
    }
  }

  void operator()(const timer_expired& /*event*/) const {}

  void operator()(const vm_list_received& event) const {
    ObserveHoldingOwners(state, event, now);
    OnVmListReceived(state, event, out);
  }

  void operator()(const load_report_received& event) const {
    const auto verdict = OnLoadReport(state, event.report, now, out);
    OnLoadReportApplied(state, event.report, verdict, now, out);
  }

  void operator()(const cache_events_received& event) const {
    OnCacheEvents(state, event, now, out);
  }

  void operator()(const operation_key_requested& event) const {
    OnOperationKeyRequested(state, event, now, out);
  }

  void operator()(const peer_discovered& event) const {
    UpdateKeyOwner(state.operations, event);
    ObserveIncarnation(state.reclamation, event.vm, event.incarnation);
  }

  void operator()(const suspect_reports_received& event) const {
    const bool has_new_evidence = MergeSuspects(
        state.quarantine, internal::OwnEvidenceSource(state), event, now);
    if (has_new_evidence) {
      RelayCrashEvidence(state, now);
      internal::FailQuarantinedRequests(state, now, out);
    }
  }

  void operator()(const holdings_listed& event) const {
    OnMaintenanceEvent(state, event, now, out);
  }

  void operator()(const order_answered& event) const {
    OnMaintenanceEvent(state, event, now, out);
  }

  void operator()(const reservation_granted& event) const {
    OnSpanEvent(state, event, now, out);
  }

  void operator()(const reservation_renewed& event) const {
    OnSpanEvent(state, event, now, out);
  }

  void operator()(const reservation_refused& event) const {
    OnSpanEvent(state, event, now, out);
  }

  void operator()(const reservation_lost& event) const {
    OnSpanEvent(state, event, now, out);
  }

  void operator()(const listeners_bound& event) const {
    state.membership.address = event.peers_address;
    state.membership.callers_address = event.callers_address;
  }

  void operator()(const peer_message_received& event) const {
    for (const peering_event& each :
         OnPeerMessageReceived(state, event, now, out)) {
      std::visit(*this, each);
    }
  }

  void operator()(const peer_demand_received& event) const {
    const auto sender = state.membership.peers.find(event.vm);
    if (sender == state.membership.peers.end() ||
        sender->second.failure_domain != state.membership.failure_domain) {
      return;
    }
    for (const workspace_demand& each : event.demand) {
      RecordPeerDemand(state.workspaces, each.workspace,
                       {{event.vm, each.tokens_per_second},
                        event.incarnation,
                        event.demand_measured_at});
    }
  }

  void operator()(const closed_keys_received& event) const {
    const bool complete = MergeClosedKeys(
        state.operations, {event.vm, event.incarnation}, event.part, now);
    const auto minter = state.membership.peers.find(event.vm);
    if (complete && minter != state.membership.peers.end()) {
      out.push_back(
          send_to_peers{{minter->second.address},
                        closed_keys_acknowledgement{event.incarnation}});
      ExpediteHeartbeat(state.membership, now);
    }
  }

  void operator()(const closed_keys_acknowledged& event) const {
    if (event.incarnation == state.self.incarnation &&
        state.operations.handover) {
      state.operations.handover->receivers.erase(event.vm);
    }
  }

  void operator()(const closed_set_holders_received& event) const {
    UpdateClosedSetHolders(state.operations, event.sets, now);
  }

  void operator()(const share_loans_received& event) const {
    // An earlier process measured its demand by another monotonic clock.
    if (event.body.incarnation != state.self.incarnation) {
      return;
    }
    const time_point demand_measured_at{
        duration(static_cast<duration::rep>(event.body.demand_measured_at))};
    for (const workspace_loan& each : event.body.loans) {
      AcceptLoan(state.workspaces, each.workspace,
                 {event.vm, each.tokens_per_second, demand_measured_at}, now);
    }
  }

  void operator()(const configuration_read& event) const {
    OnConfigurationEvent(state, event, now, out);
  }

  void operator()(const configuration_checked& event) const {
    OnConfigurationEvent(state, event, now, out);
  }

  template <typename AttemptEvent>
  void operator()(const AttemptEvent& event) const {
    OnAttemptEvent(state, event, now, out);
  }
};

}  // namespace internal

effects Reduce(state& state, const event& event, time_point time) {
  effects out;
  if (time < state.latest_time) {
    out.push_back(count_clock_step{});
  }
  const time_point now = std::max(time, state.latest_time);
  state.latest_time = now;
  UpdatePeerLiveness(state, now);
  ExpireLoans(state.workspaces, now);
  ExpireRequests(state, now, out);
  ExpireOperations(state.operations, now);
  ExpireSuspects(state.quarantine, now);
  MaintainSpans(state, now, out);
  CheckProgress(state, now, out);
  state.refuses_new_requests = state.accept_until && now >= *state.accept_until;
  const std::uint64_t evidence_version = state.quarantine.next_version;
  std::visit(internal::event_dispatcher{state, now, out}, event);
  internal::StartWaitingSuspects(state, now, out);
  DispatchWaiting(state, now, out);
  MaintainTargets(state, now, out);
  if (state.quarantine.next_version != evidence_version) {
    AnnounceCrashEvidence(state, now);
  }
  SendDueMessages(state, now, out);
  RecordEffects(state.history, out, now);
  if (state.refuses_new_requests && state.requests.empty() &&
      AdvanceKeyHandover(state, now, out)) {
    out.push_back(drain_completed{});
  }
  return out;
}

std::optional<time_point> NextTimer(const state& state) {
  std::optional<time_point> next;
  const auto consider = [&next](time_point at) {
    next = next ? std::min(*next, at) : at;
  };
  if (!state.requests.empty()) {
    consider(state.next_progress_check);
  }
  if (!state.deadlines.empty()) {
    consider(state.deadlines.begin()->first);
  }
  if (state.accept_until && !state.refuses_new_requests) {
    consider(*state.accept_until);
  }
  if (const auto dispatch_at = NextDispatch(state)) {
    consider(*dispatch_at);
  }
  if (const auto spans_at = NextSpanTimer(state.spans)) {
    consider(*spans_at);
  }
  if (const auto maintenance_at = NextMaintenance(state)) {
    consider(*maintenance_at);
  }
  if (const auto& handover = state.operations.handover;
      handover && !handover->receivers.empty()) {
    consider(std::min(handover->next_send, handover->deadline));
  }
  if (const auto send_at = NextPeerMessage(state)) {
    consider(*send_at);
  }
  return next;
}

}  // namespace acaciaferry
