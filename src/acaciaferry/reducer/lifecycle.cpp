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
  const auto refuse = [&](failure_code code) {
    internal::Refuse(request.id, {code, outcome::kNotRun, std::nullopt}, out);
  };
  if (ReplyFromOperations(state, request, now, out)) {
    return;
  }
  if (state.closed) {
    return refuse(failure_code::kDraining);
  }
  if (!state.config) {
    return refuse(failure_code::kNoConfiguration);
  }
  const auto verdict = Admit(*state.config, request, now);
  if (const auto* const refusal = std::get_if<failure>(&verdict)) {
    internal::Refuse(request.id, *refusal, out);
    return;
  }
  if (const auto left = QuarantinedFor(state.quarantine,
                                       internal::FingerprintOf(request), now)) {
    internal::Refuse(request.id,
                     {failure_code::kQuarantined, outcome::kNotRun, left}, out);
    return;
  }
  const auto& [work, deadline] = std::get<admitted>(verdict);
  request_record& record = state.requests[request.id];
  record.request = request;
  record.work = work;
  record.deadline = deadline;
  state.deadlines.emplace(deadline, request.id);
  if (!SpendKey(state, record)) {
    internal::Fail(
        state, record,
        {failure_code::kOperationsFull, outcome::kNotRun, std::nullopt}, out);
    return;
  }
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
