#include "acaciaferry/reducer/lifecycle.hpp"

#include "acaciaferry/admission/queues.hpp"
#include "acaciaferry/reducer/dispatch.hpp"
#include "acaciaferry/reducer/observation.hpp"

namespace acaciaferry {
namespace internal {

void ReleaseAttempt(state& state,
                    request_record& record,
                    time_point now,
                    effects& out) {
  if (!record.current) {
    return;
  }
  const attempt& current = *record.current;
  const bool may_hold_memory = current.phase == attempt_phase::kUnsent ||
                               current.phase == attempt_phase::kSent ||
                               current.phase == attempt_phase::kAccepted;
  if (may_hold_memory) {
    out.push_back(
        cancel_attempt{current.id, current.address, record.request.kind});
  }
  ObserveAttemptEnd(state, record, current.phase == attempt_phase::kFinished,
                    now);
  record.current.reset();
}

void Remove(state& state, const request_id& id, time_point now) {
  const auto found = state.requests.find(id);
  const request_record& record = found->second;
  RemoveWaiting(state.waiting, id, now);
  if (record.attempts_made == 0) {
    Refund(state.workspaces, record.request.workspace, record.charged_tokens);
  }
  state.deadlines.erase({found->second.deadline, id});
  state.requests.erase(found);
}

void Fail(state& state,
          request_record& record,
          const failure& reason,
          time_point now,
          effects& out) {
  const request_id id = record.request.id;
  ReleaseAttempt(state, record, now, out);
  out.push_back(count_refusal{reason.code});
  out.push_back(fail_request{id, reason});
  Remove(state, id, now);
}

// Tries the request on a target that it has not failed on. A failure keeps the
// outcome of the attempts already made.
void StartAttempt(state& state,
                  request_record& record,
                  const failure& when_none,
                  time_point now,
                  effects& out) {
  const auto choice = ChooseFor(state, record, now);
  if (!choice) {
    Fail(state, record, when_none, now, out);
    return;
  }
  LaunchAttempt(state, record, *choice, now, out);
}

// The record whose current attempt this is; null for a superseded attempt.
request_record* FindCurrent(state& state, const attempt_id& id) {
  const auto found = state.requests.find(id.request);
  const bool is_current = found != state.requests.end() &&
                          found->second.current &&
                          found->second.current->id == id;
  return is_current ? &found->second : nullptr;
}

retry_reason ReasonOf(transport_error error) noexcept {
  return error == transport_error::kConnectFailed
             ? retry_reason::kConnectFailed
             : retry_reason::kConnectionLost;
}

// Another attempt is safe when the last one did not run, or when running twice
// does no harm and the caller has seen nothing of the first answer.
bool MayRetry(const request_record& record) noexcept {
  const bool not_run =
      UnfinishedOutcome(record.current->phase) == outcome::kNotRun;
  return not_run || (record.work.idempotent && !record.head_delivered);
}

void RetryOrFail(state& state,
                 request_record& record,
                 retry_reason reason,
                 failure_code code,
                 time_point now,
                 effects& out) {
  const failure when_none{code, UnfinishedOutcome(record.current->phase),
                          std::nullopt};
  if (!MayRetry(record)) {
    Fail(state, record, when_none, now, out);
    return;
  }
  record.excluded.push_back(record.current->target);
  ReleaseAttempt(state, record, now, out);
  out.push_back(count_retry{reason});
  StartAttempt(state, record, when_none, now, out);
}

void FinishIfComplete(state& state,
                      request_record& record,
                      time_point now,
                      effects& out) {
  if (!record.answer.IsComplete()) {
    return;
  }
  record.current->phase = attempt_phase::kFinished;
  ReleaseAttempt(state, record, now, out);
  const request_id id = record.request.id;
  out.push_back(finish_request{id, record.finish_reason});
  Remove(state, id, now);
}

void FailCorrupt(state& state,
                 request_record& record,
                 time_point now,
                 effects& out) {
  Fail(state, record,
       {failure_code::kAnswerCorrupt, outcome::kUnknown, std::nullopt}, now,
       out);
}

}  // namespace internal

void EndRequest(state& state,
                const request_id& id,
                const failure& reason,
                time_point now,
                effects& out) {
  internal::Fail(state, state.requests.at(id), reason, now, out);
}

void OnCallerGone(state& state,
                  const request_id& id,
                  time_point now,
                  effects& out) {
  const auto found = state.requests.find(id);
  if (found == state.requests.end()) {
    return;
  }
  internal::ReleaseAttempt(state, found->second, now, out);
  out.push_back(count_refusal{failure_code::kCallerGone});
  internal::Remove(state, id, now);
}

void ExpireRequests(state& state, time_point now, effects& out) {
  while (!state.deadlines.empty() && state.deadlines.begin()->first <= now) {
    request_record& record = state.requests.at(state.deadlines.begin()->second);
    const outcome result = record.current
                               ? UnfinishedOutcome(record.current->phase)
                               : outcome::kNotRun;
    internal::Fail(state, record,
                   {failure_code::kDeadlineExceeded, result, std::nullopt}, now,
                   out);
  }
}

void OnAttemptEvent(state& state,
                    const attempt_sent& event,
                    time_point now,
                    effects& /*out*/) {
  if (auto* const record = internal::FindCurrent(state, event.attempt)) {
    record->current->phase = attempt_phase::kSent;
    record->current->progress_at = now;
  }
}

void OnAttemptEvent(state& state,
                    const attempt_accepted& event,
                    time_point now,
                    effects& out) {
  auto* const record = internal::FindCurrent(state, event.attempt);
  if (record == nullptr) {
    return;
  }
  record->current->phase = attempt_phase::kAccepted;
  record->current->progress_at = now;
  if (!record->head_delivered &&
      record->request.kind == request_kind::kServiceCall) {
    record->head_delivered = true;
    out.push_back(deliver_head{event.attempt.request, event.http_status,
                               event.content_type});
  }
}

void OnAttemptEvent(state& state,
                    const attempt_rejected& event,
                    time_point now,
                    effects& out) {
  if (auto* const record = internal::FindCurrent(state, event.attempt)) {
    record->current->phase = attempt_phase::kRejected;
    internal::RetryOrFail(state, *record, retry_reason::kRejected,
                          failure_code::kTargetRejected, now, out);
  }
}

void OnAttemptEvent(state& state,
                    const attempt_progressed& event,
                    time_point now,
                    effects& /*out*/) {
  if (auto* const record = internal::FindCurrent(state, event.attempt)) {
    record->current->progress_at = now;
  }
}

void OnAttemptEvent(state& state,
                    const answer_chunk& event,
                    time_point now,
                    effects& out) {
  auto* const record = internal::FindCurrent(state, event.attempt);
  if (record == nullptr) {
    return;
  }
  record->current->progress_at = now;
  ObserveChunk(state, *record, event.text.size(), now);
  std::string ready;
  const auto verdict = record->answer.Add(event.offset, event.text, ready);
  if (verdict != assembly_verdict::kOk) {
    internal::FailCorrupt(state, *record, now, out);
    return;
  }
  if (!ready.empty()) {
    record->head_delivered = true;
    out.push_back(deliver_chunk{event.attempt.request, std::move(ready)});
  }
  internal::FinishIfComplete(state, *record, now, out);
}

void OnAttemptEvent(state& state,
                    const answer_ended& event,
                    time_point now,
                    effects& out) {
  auto* const record = internal::FindCurrent(state, event.attempt);
  if (record == nullptr) {
    return;
  }
  record->finish_reason = event.finish_reason;
  if (record->answer.SetLength(event.length) != assembly_verdict::kOk) {
    internal::FailCorrupt(state, *record, now, out);
    return;
  }
  internal::FinishIfComplete(state, *record, now, out);
}

void OnAttemptEvent(state& state,
                    const attempt_failed& event,
                    time_point now,
                    effects& out) {
  auto* const record = internal::FindCurrent(state, event.attempt);
  if (record == nullptr) {
    return;
  }
  const failure_code code = event.error == transport_error::kMalformedAnswer
                                ? failure_code::kAnswerCorrupt
                                : failure_code::kTargetLost;
  internal::RetryOrFail(state, *record, internal::ReasonOf(event.error), code,
                        now, out);
}

}  // namespace acaciaferry
