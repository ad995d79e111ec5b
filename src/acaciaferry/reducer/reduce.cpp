#include "acaciaferry/reducer/reduce.hpp"

#include <algorithm>

#include "acaciaferry/reducer/arrival.hpp"
#include "acaciaferry/reducer/attempt_control.hpp"
#include "acaciaferry/reducer/dispatch.hpp"
#include "acaciaferry/reducer/lifecycle.hpp"
#include "acaciaferry/reducer/operation_events.hpp"
#include "acaciaferry/reducer/target_knowledge.hpp"

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
    OnCallerGone(state, event.request, now, out);
  }

  void operator()(const deployment_received& event) const {
    const bool is_newer =
        !state.config || event.config.revision > state.config->revision;
    if (is_newer) {
      state.config = event.config;
      ConfigureWorkspaces(state.workspaces, event.config, now);
    }
  }

  void operator()(const drain_requested& event) const {
    // A second request does not shorten the first one's grace.
    if (!state.accept_until) {
      state.accept_until = now + event.grace;
    }
  }

  void operator()(const timer_expired& /*event*/) const {}

  void operator()(const vm_list_received& event) const {
    OnVmList(state, event.vms);
  }

  void operator()(const load_report_received& event) const {
    OnLoadReport(state, event.report, now, out);
  }

  void operator()(const cache_events_received& event) const {
    OnCacheEvents(state, event, now, out);
  }

  void operator()(const operation_key_requested& event) const {
    OnOperationKeyRequested(state, event, now, out);
  }

  void operator()(const peer_learnt& event) const {
    LearnOwner(state.operations, event);
  }

  void operator()(const suspects_heard& event) const {
    MergeSuspects(state.quarantine, Self(state), event, now);
  }

  template <typename AttemptEvent>
  void operator()(const AttemptEvent& event) const {
    OnAttemptEvent(state, event, now, out);
  }
};

}  // namespace internal

effects Reduce(state& state, const event& event, time_point time) {
  effects out;
  if (time < state.latest) {
    out.push_back(count_clock_step{});
  }
  const time_point now = std::max(time, state.latest);
  state.latest = now;
  ExpireRequests(state, now, out);
  ExpireOperations(state.operations, now);
  ExpireSuspects(state.quarantine, now);
  CheckProgress(state, now, out);
  state.closed = state.accept_until && now >= *state.accept_until;
  std::visit(internal::dispatcher{state, now, out}, event);
  internal::StartWaitingSuspects(state, now, out);
  DispatchWaiting(state, now, out);
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
  if (!state.requests.empty()) {
    consider(state.progress_check_at);
  }
  if (!state.deadlines.empty()) {
    consider(state.deadlines.begin()->first);
  }
  if (state.accept_until && !state.closed) {
    consider(*state.accept_until);
  }
  if (const auto dispatch_at = NextDispatch(state)) {
    consider(*dispatch_at);
  }
  return next;
}

}  // namespace acaciaferry
