#include "acaciaferry/reducer/lifecycle.hpp"

#include "acaciaferry/reducer/attempt_control.hpp"

namespace acaciaferry {

void FailRequest(state& state,
                 const request_id& id,
                 const failure& reason,
                 time_point now,
                 effects& out) {
  internal::FailAndRemove(state, state.requests.at(id), reason, now, out);
}

void OnCallerDisconnected(state& state,
                          const request_id& id,
                          time_point now,
                          effects& out) {
  const auto found = state.requests.find(id);
  if (found == state.requests.end()) {
    return;
  }
  out.push_back(count_refusal{failure_code::kCallerGone});
  RecordEnd(state.history, id, abandoned_by_caller{}, now);
  if (found->second.operation_sequence) {
    // The answer is kept for the caller's next call with the same key.
    found->second.caller_disconnected = true;
    return;
  }
  internal::ReleaseAttempt(state, found->second, now, out);
  internal::RemoveRequest(state, id, now);
}

void ExpireRequests(state& state, time_point now, effects& out) {
  while (!state.deadlines.empty() && state.deadlines.begin()->first <= now) {
    request_record& record = state.requests.at(state.deadlines.begin()->second);
    const outcome result =
        internal::OutcomeIfEnded(record, attempt_end::kAbandoned);
    const span_plan* const plan = FindSpan(state.spans, record.request.id);
    const failure_code code = plan != nullptr && !plan->is_complete
                                  ? failure_code::kSpanUnavailable
                                  : failure_code::kDeadlineExceeded;
    internal::FailAndRemove(state, record, {code, result, std::nullopt}, now,
                            out);
  }
}

}  // namespace acaciaferry
