#include "acaciaferry/reducer/lifecycle.hpp"

#include <variant>

#include "acaciaferry/admission/admission.hpp"
#include "acaciaferry/reducer/attempt_control.hpp"
#include "acaciaferry/reducer/operation_events.hpp"

namespace acaciaferry {

void OnRequestArrived(state& state,
                      const request& request,
                      time_point now,
                      effects& out) {
  const auto consulted = ConsultOperations(state, request, now, out);
  const auto* const may_run = std::get_if<call_may_run>(&consulted);
  if (may_run == nullptr) {
    return;
  }
  const auto refuse = [&](const failure& reason) {
    if (may_run->operation) {
      StoreFailure(state.operations, *may_run->operation, reason);
    }
    internal::Refuse(request.id, reason, out);
  };
  const auto not_run = [](failure_code code) {
    return failure{code, outcome::kNotRun, std::nullopt};
  };
  if (state.closed) {
    return refuse(not_run(failure_code::kDraining));
  }
  if (!state.config) {
    return refuse(not_run(failure_code::kNoConfiguration));
  }
  const auto verdict = Admit(*state.config, request, now);
  if (const auto* const refusal = std::get_if<failure>(&verdict)) {
    return refuse(*refusal);
  }
  if (const auto left = QuarantinedFor(state.quarantine,
                                       internal::FingerprintOf(request), now)) {
    return refuse({failure_code::kQuarantined, outcome::kNotRun, left});
  }
  const auto& [work, deadline] = std::get<admitted>(verdict);
  request_record& record = state.requests[request.id];
  record.request = request;
  record.work = work;
  record.deadline = deadline;
  state.deadlines.emplace(deadline, request.id);
  record.operation = may_run->operation;
  const failure no_target{failure_code::kNoLiveTarget, outcome::kNotRun,
                          std::nullopt};
  internal::StartAttempt(state, record, no_target, now, out);
}

void OnCallerGone(state& state, const request_id& id, effects& out) {
  const auto found = state.requests.find(id);
  if (found == state.requests.end()) {
    return;
  }
  out.push_back(count_refusal{failure_code::kCallerGone});
  if (found->second.operation) {
    // The answer is kept for the caller's next call with the same key.
    found->second.caller_gone = true;
    return;
  }
  internal::ReleaseAttempt(state, found->second, out);
  internal::Remove(state, id);
}

void ExpireRequests(state& state, time_point now, effects& out) {
  while (!state.deadlines.empty() && state.deadlines.begin()->first <= now) {
    request_record& record = state.requests.at(state.deadlines.begin()->second);
    const outcome result =
        internal::OutcomeNow(record, attempt_end::kAbandoned);
    internal::Fail(state, record,
                   {failure_code::kDeadlineExceeded, result, std::nullopt},
                   out);
  }
}

}  // namespace acaciaferry
