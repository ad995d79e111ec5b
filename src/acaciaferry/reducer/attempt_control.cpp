#include "acaciaferry/reducer/attempt_control.hpp"

#include <algorithm>
#include <utility>

#include "acaciaferry/reducer/dispatch.hpp"
#include "acaciaferry/reducer/observation.hpp"
#include "acaciaferry/reducer/span_events.hpp"

namespace acaciaferry::internal {

// Up to this many failed connections of a request are retried without using the
// retry budget. A refused connection puts no load on the pool, and targets that
// are dead but still listed would use up the budget. The limit bounds the
// connections of one request when all targets refuse.
constexpr std::uint32_t kFreeConnectFailures = 3;

bool MayHoldTargetMemory(attempt_phase phase) noexcept {
  return phase == attempt_phase::kUnsent || phase == attempt_phase::kSent ||
         phase == attempt_phase::kAccepted;
}

// Whether the pool has a target on which the request has not failed.
bool HasUntriedTarget(const state& state, const request_record& record) {
  const auto targets = LiveTargets(state.targets, record.request.pool);
  return std::any_of(
      targets.begin(), targets.end(), [&record](const target* candidate) {
        return std::find(record.excluded_targets.begin(),
                         record.excluded_targets.end(),
                         candidate->id) == record.excluded_targets.end();
      });
}

// Whether the request may safely be executed twice.
bool IsRepeatable(const state& state, const request_record& record) {
  if (record.work.idempotent) {
    return true;
  }
  const pool* const known = FindPool(*state.config, record.request.pool);
  return known != nullptr && known->deduplicates &&
         !record.request.idempotency_key.empty();
}

bool MayRetry(const state& state,
              const request_record& record,
              outcome result) {
  if (record.forwarded_to_owner || record.partially_delivered ||
      !record.delivered_prefix.CanRestart()) {
    return false;
  }
  return result == outcome::kNotRun || IsRepeatable(state, record);
}

double RetryFraction(const state& state) noexcept {
  return state.config->policy.retry_budget;
}

void ResetAnswer(request_record& record) {
  record.answer = {};
  record.delivered_prefix.RestartComparison();
  record.response_head.reset();
  record.buffered_body.clear();
  record.finish_reason.clear();
}

// The answer to store under the call's operation key. The start of a long
// answer was delivered and is no longer buffered.
operation_result TakeStoredAnswer(request_record& record) {
  if (record.partially_delivered) {
    return operation_answer_dropped{};
  }
  return stored_answer{record.response_head->http_status,
                       record.response_head->content_type,
                       std::move(record.buffered_body)};
}

evidence_source OwnEvidenceSource(const state& state) {
  return {state.self.vm, state.self.incarnation};
}

std::uint64_t RequestFingerprint(const request& request) {
  return CallFingerprint(request.fingerprint, request.method, request.path);
}

outcome OutcomeIfEnded(const request_record& record, attempt_end end) noexcept {
  if (record.forwarded_to_owner || record.may_have_run) {
    return outcome::kUnknown;
  }
  return record.current_attempt
             ? UnfinishedOutcome(*record.current_attempt, end)
             : outcome::kNotRun;
}

void RefuseRequest(const request_id& id, const failure& reason, effects& out) {
  out.push_back(count_refusal{reason.code});
  out.push_back(fail_request{id, reason, {}});
}

void RemoveRequest(state& state, const request_id& id, time_point now) {
  const auto found = state.requests.find(id);
  const request_record& record = found->second;
  RemoveWaiting(state.waiting, id, now);
  if (record.attempts_made == 0) {
    RefundTokens(state.workspaces, record.request.workspace,
                 record.charged_tokens);
  }
  state.deadlines.erase({found->second.deadline, id});
  std::erase(state.waiting_suspects, id);
  state.requests.erase(found);
}

void ReleaseAttempt(state& state,
                    request_record& record,
                    time_point now,
                    effects& out) {
  ReleaseSpan(state, record.request.id, out);
  if (!record.current_attempt) {
    return;
  }
  const attempt& current = *record.current_attempt;
  if (MayHoldTargetMemory(current.phase)) {
    out.push_back(
        cancel_attempt{current.id, current.address, record.request.kind});
  }
  if (!record.forwarded_to_owner) {
    ObserveAttemptEnd(state, record, current.phase == attempt_phase::kFinished,
                      now);
  }
  record.current_attempt.reset();
}

void FailAndRemove(state& state,
                   request_record& record,
                   const failure& reason,
                   time_point now,
                   effects& out) {
  const request_id id = record.request.id;
  ReleaseAttempt(state, record, now, out);
  if (record.operation_sequence) {
    StoreFailure(state.operations, *record.operation_sequence, reason);
  }
  out.push_back(count_refusal{reason.code});
  if (!record.caller_disconnected) {
    out.push_back(fail_request{id, reason, {}});
  }
  RemoveRequest(state, id, now);
}

void FinishAndRemove(state& state,
                     request_record& record,
                     time_point now,
                     effects& out) {
  const request_id id = record.request.id;
  record.current_attempt->phase = attempt_phase::kFinished;
  ReleaseAttempt(state, record, now, out);
  if (!record.forwarded_to_owner) {
    EarnRetry(state.retries, record.request.pool, RetryFraction(state), now);
    RecordCompletion(state.quarantine, OwnEvidenceSource(state),
                     RequestFingerprint(record.request), now);
  }
  if (record.operation_sequence) {
    StoreResult(state.operations, *record.operation_sequence,
                TakeStoredAnswer(record));
  }
  if (!record.caller_disconnected) {
    out.push_back(finish_request{id, record.finish_reason});
  }
  RemoveRequest(state, id, now);
}

void StartAttempt(state& state,
                  request_record& record,
                  const failure& no_target_failure,
                  time_point now,
                  effects& out) {
  if (!HasUntriedTarget(state, record)) {
    FailAndRemove(state, record, no_target_failure, now, out);
    return;
  }
  if (NeedsSpan(state, record)) {
    StartSpan(state, record, now, out);
    return;
  }
  const auto choice = ChooseTargetFor(state, record, now);
  if (!choice) {
    state.waiting_suspects.push_back(record.request.id);
    return;
  }
  LaunchAttempt(state, record, *choice, now, out);
}

void StartForwardAttempt(state& state,
                         request_record& record,
                         const forward_call& owner,
                         time_point now,
                         effects& out) {
  const attempt_id id{record.request.id, ++record.attempts_made};
  const target_id target{owner.vm.value};
  record.forwarded_to_owner = true;
  RecordAttempt(state.history, id, target, std::nullopt, now);
  record.current_attempt =
      attempt{id, target, owner.address, attempt_phase::kUnsent, now};
  out.push_back(start_attempt{.attempt = id,
                              .target = target,
                              .address = owner.address,
                              .kind = record.request.kind,
                              .prompt_tokens = 0,
                              .remaining = record.deadline - now,
                              .priority = record.work.priority,
                              .reservations = {},
                              .forward = true});
}

void StartWaitingSuspects(state& state, time_point now, effects& out) {
  for (const request_id& id : std::exchange(state.waiting_suspects, {})) {
    request_record& record = state.requests.at(id);
    const outcome result = OutcomeIfEnded(record, attempt_end::kAbandoned);
    if (const auto left = RemainingQuarantine(
            state.quarantine, RequestFingerprint(record.request), now)) {
      FailAndRemove(state, record, {failure_code::kQuarantined, result, left},
                    now, out);
      continue;
    }
    const failure_code code = record.may_have_run ? failure_code::kTargetLost
                                                  : failure_code::kNoLiveTarget;
    StartAttempt(state, record, {code, result, std::nullopt}, now, out);
  }
}

void FailQuarantinedRequests(state& state, time_point now, effects& out) {
  if (state.quarantine.suspects.empty()) {
    return;
  }
  std::vector<request_id> quarantined;
  for (const auto& [id, record] : state.requests) {
    const bool is_running_operation =
        record.operation_sequence && record.current_attempt;
    const bool may_fail = !record.forwarded_to_owner && !is_running_operation &&
                          !record.partially_delivered;
    if (may_fail &&
        RemainingQuarantine(state.quarantine,
                            RequestFingerprint(record.request), now)) {
      quarantined.push_back(id);
    }
  }
  std::sort(quarantined.begin(), quarantined.end());
  for (const request_id& id : quarantined) {
    request_record& record = state.requests.at(id);
    const auto left = RemainingQuarantine(
        state.quarantine, RequestFingerprint(record.request), now);
    const outcome result = OutcomeIfEnded(record, attempt_end::kAbandoned);
    FailAndRemove(state, record, {failure_code::kQuarantined, result, left},
                  now, out);
  }
}

void RetryOrFail(state& state,
                 request_record& record,
                 attempt_end end,
                 retry_reason reason,
                 failure_code code,
                 time_point now,
                 effects& out) {
  const outcome result = OutcomeIfEnded(record, end);
  RecordAttemptEnd(state.history, record.request.id, reason, now);
  const auto fail = [&](failure_code why, std::optional<duration> after) {
    FailAndRemove(state, record, {why, result, after}, now, out);
  };
  if (record.forwarded_to_owner) {
    return fail(failure_code::kOperationOwnerLost, std::nullopt);
  }
  if (!MayRetry(state, record, result)) {
    return fail(code, std::nullopt);
  }
  if (const auto left = RemainingQuarantine(
          state.quarantine, RequestFingerprint(record.request), now)) {
    return fail(failure_code::kQuarantined, left);
  }
  record.excluded_targets.push_back(record.current_attempt->target);
  if (!HasUntriedTarget(state, record)) {
    return fail(code, std::nullopt);
  }
  const bool is_free = end == attempt_end::kConnectFailed &&
                       result == outcome::kNotRun &&
                       record.attempts_made <= kFreeConnectFailures;
  if (!is_free && !SpendRetry(state.retries, record.request.pool,
                              RetryFraction(state), now)) {
    return fail(failure_code::kRetryBudgetExhausted, std::nullopt);
  }
  record.may_have_run = result == outcome::kUnknown;
  ReleaseAttempt(state, record, now, out);
  out.push_back(count_retry{reason});
  StartAttempt(state, record, {code, result, std::nullopt}, now, out);
}

}  // namespace acaciaferry::internal
