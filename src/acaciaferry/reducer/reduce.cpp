#include "acaciaferry/reducer/reduce.hpp"

#include <algorithm>

#include "acaciaferry/reducer/lifecycle.hpp"
#include "acaciaferry/reducer/peering.hpp"

namespace acaciaferry {
namespace internal {

// Dispatches each event to the module that owns the decision.
struct dispatcher {
  acaciaferry::state& state;
  time_point now;
  effects& out;

  void operator()(const request_arrived& event) const {
    OnRequestArrived(state, event.request, now, out);
  }

  void operator()(const caller_gone& event) const {
    OnCallerGone(state, event.request, out);
  }

  void operator()(const deployment_received& event) const {
    OnDeploymentReceived(state, event, out);
  }

  void operator()(const drain_requested& event) const {
    // A second request does not shorten the first one's grace.
    if (!state.accept_until) {
      state.accept_until = now + event.grace;
      AnnounceOwnLeaving(state, out);
    }
  }

  void operator()(const timer_expired& /*event*/) const {}

  void operator()(const vm_list_received& event) const {
    OnPeerList(state, event, out);
  }

  void operator()(const load_report_received& event) const {
    const auto verdict = ApplyLoadReport(state.targets, event.report, now);
    out.push_back(count_report{verdict});
    OnReportApplied(state, event.report, verdict, now, out);
  }

  void operator()(const listeners_bound& event) const {
    state.membership.address = event.peers_address;
    state.membership.callers_address = event.callers_address;
  }

  void operator()(const peer_message_received& event) const {
    for (const peering_event& news :
         OnPeerMessageReceived(state, event, now, out)) {
      std::visit(*this, news);
    }
  }

  // The modules that use these are not there yet.
  void operator()(const peer_learnt& /*event*/) const {}
  void operator()(const suspects_learnt& /*event*/) const {}
  void operator()(const demand_learnt& /*event*/) const {}

  void operator()(const configuration_read& event) const {
    OnConfigurationEvent(state, event, out);
  }

  void operator()(const configuration_checked& event) const {
    OnConfigurationEvent(state, event, out);
  }

  template <typename AttemptEvent>
  void operator()(const AttemptEvent& event) const {
    OnAttemptEvent(state, event, now, out);
  }
};

}  // namespace internal

effects Reduce(state& state, const event& event, time_point now) {
  effects out;
  BeginTurn(state, now);
  ExpireRequests(state, now, out);
  state.closed = state.accept_until && now >= *state.accept_until;
  std::visit(internal::dispatcher{state, now, out}, event);
  SendDueMessages(state, now, out);
  if (state.closed && state.requests.empty()) {
    out.push_back(drain_completed{});
  }
  return out;
}

std::optional<time_point> NextTimer(const state& state) {
  std::optional<time_point> next;
  const auto consider = [&next](time_point at) {
    next = next ? std::min(*next, at) : at;
  };
  if (!state.deadlines.empty()) {
    consider(state.deadlines.begin()->first);
  }
  if (state.accept_until && !state.closed) {
    consider(*state.accept_until);
  }
  if (const auto send_at = NextPeerMessage(state)) {
    consider(*send_at);
  }
  return next;
}

}  // namespace acaciaferry
