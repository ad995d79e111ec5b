#include "acaciaferry/reducer/attempt_control.hpp"

#include <algorithm>
#include <utility>

#include "acaciaferry/reducer/dispatch.hpp"
#include "acaciaferry/reducer/observation.hpp"
#include "acaciaferry/reducer/span_events.hpp"

namespace acaciaferry::internal {

// A refused connection puts no work on the pool. While the VM list still names
// dead targets, a budget spent on these would be missing for real retries.
// The limit bounds the connections of one request when all targets refuse.
constexpr std::uint32_t kFreeConnectFailures = 3;

bool MayHoldMemory(attempt_phase phase) noexcept {
  return phase == attempt_phase::kUnsent || phase == attempt_phase::kSent ||
         phase == attempt_phase::kAccepted;
}

// Whether the pool has a target that the request has not failed on.
bool HasUntriedTarget(const state& state, const request_record& record) {
  const auto targets = LiveTargets(state.targets, record.request.pool);
  return std::any_of(
      targets.begin(), targets.end(), [&record](const target* candidate) {
        return std::find(record.excluded.begin(), record.excluded.end(),
                         candidate->id) == record.excluded.end();
      });
}

// Whether running the request a second time does no harm.
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
  if (record.forwards || record.committed || !record.delivered.CanRestart()) {
    return false;
  }
  return result == outcome::kNotRun || IsRepeatable(state, record);
}

double RetryFraction(const state& state) noexcept {
  return state.config->policy.retry_budget;
}

// The answer of a new attempt is assembled from its first byte.
void ForgetAnswer(request_record& record) {
  record.answer = {};
  record.delivered.Restart();
  record.head.reset();
  record.held_back.clear();
  record.finish_reason.clear();
}

// A part of a long answer was passed on and is not here any more.
operation_result KeptAnswer(request_record& record) {
  if (record.committed) {
    return operation_answer_dropped{};
  }
  return stored_answer{record.head->http_status, record.head->content_type,
                       std::move(record.held_back)};
}

evidence_source Self(const state& state) {
  return {state.self.vm, state.self.incarnation};
}

std::uint64_t FingerprintOf(const request& request) {
  return CallFingerprint(request.fingerprint, request.method, request.path);
}

outcome OutcomeNow(const request_record& record, attempt_end end) noexcept {
  if (record.forwards || record.may_have_run) {
    return outcome::kUnknown;
  }
  return record.current_attempt
             ? UnfinishedOutcome(*record.current_attempt, end)
             : outcome::kNotRun;
}

void Refuse(const request_id& id, const failure& reason, effects& out) {
  out.push_back(count_refusal{reason.code});
  out.push_back(fail_request{id, reason, {}});
}

void Remove(state& state, const request_id& id, time_point now) {
  const auto found = state.requests.find(id);
  const request_record& record = found->second;
  RemoveWaiting(state.waiting, id, now);
  if (record.attempts_made == 0) {
    Refund(state.workspaces, record.request.workspace, record.charged_tokens);
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
  if (MayHoldMemory(current.phase)) {
    out.push_back(
        cancel_attempt{current.id, current.address, record.request.kind});
  }
  if (!record.forwards) {
    ObserveAttemptEnd(state, record, current.phase == attempt_phase::kFinished,
                      now);
  }
  record.current_attempt.reset();
}

void Fail(state& state,
          request_record& record,
          const failure& reason,
          time_point now,
          effects& out) {
  const request_id id = record.request.id;
  ReleaseAttempt(state, record, now, out);
  if (record.operation) {
    StoreFailure(state.operations, *record.operation, reason);
  }
  out.push_back(count_refusal{reason.code});
  if (!record.caller_disconnected) {
    out.push_back(fail_request{id, reason, {}});
  }
  Remove(state, id, now);
}

void Finish(state& state,
            request_record& record,
            time_point now,
            effects& out) {
  const request_id id = record.request.id;
  record.current_attempt->phase = attempt_phase::kFinished;
  ReleaseAttempt(state, record, now, out);
  if (!record.forwards) {
    EarnRetry(state.retries, record.request.pool, RetryFraction(state), now);
    RecordCompletion(state.quarantine, Self(state),
                     FingerprintOf(record.request), now);
  }
  if (record.operation) {
    StoreResult(state.operations, *record.operation, KeptAnswer(record));
  }
  if (!record.caller_disconnected) {
    out.push_back(finish_request{id, record.finish_reason});
  }
  Remove(state, id, now);
}

void StartAttempt(state& state,
                  request_record& record,
                  const failure& when_none,
                  time_point now,
                  effects& out) {
  if (!HasUntriedTarget(state, record)) {
    Fail(state, record, when_none, now, out);
    return;
  }
  if (NeedsSpan(state, record)) {
    StartSpan(state, record, now, out);
    return;
  }
  const auto choice = ChooseFor(state, record, now);
  if (!choice) {
    state.waiting_suspects.push_back(record.request.id);
    return;
  }
  LaunchAttempt(state, record, *choice, now, out);
}

void StartForward(state& state,
                  request_record& record,
                  const forward_call& owner,
                  time_point now,
                  effects& out) {
  const attempt_id id{record.request.id, ++record.attempts_made};
  const target_id target{owner.vm.value};
  record.forwards = true;
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
    const outcome result = OutcomeNow(record, attempt_end::kAbandoned);
    if (const auto left = QuarantinedFor(state.quarantine,
                                         FingerprintOf(record.request), now)) {
      Fail(state, record, {failure_code::kQuarantined, result, left}, now, out);
      continue;
    }
    const failure_code code = record.may_have_run ? failure_code::kTargetLost
                                                  : failure_code::kNoLiveTarget;
    StartAttempt(state, record, {code, result, std::nullopt}, now, out);
  }
}

void EndQuarantined(state& state, time_point now, effects& out) {
  if (state.quarantine.suspects.empty()) {
    return;
  }
  std::vector<request_id> quarantined;
  for (const auto& [id, record] : state.requests) {
    const bool runs_on = record.operation && record.current_attempt;
    const bool may_end = !record.forwards && !runs_on && !record.committed;
    if (may_end &&
        QuarantinedFor(state.quarantine, FingerprintOf(record.request), now)) {
      quarantined.push_back(id);
    }
  }
  std::sort(quarantined.begin(), quarantined.end());
  for (const request_id& id : quarantined) {
    request_record& record = state.requests.at(id);
    const auto left =
        QuarantinedFor(state.quarantine, FingerprintOf(record.request), now);
    const outcome result = OutcomeNow(record, attempt_end::kAbandoned);
    Fail(state, record, {failure_code::kQuarantined, result, left}, now, out);
  }
}

void RetryOrFail(state& state,
                 request_record& record,
                 attempt_end end,
                 retry_reason reason,
                 failure_code code,
                 time_point now,
                 effects& out) {
  const outcome result = OutcomeNow(record, end);
  RecordAttemptEnd(state.history, record.request.id, reason, now);
  const auto fail = [&](failure_code why, std::optional<duration> after) {
    Fail(state, record, {why, result, after}, now, out);
  };
  if (record.forwards) {
    return fail(failure_code::kOperationOwnerLost, std::nullopt);
  }
  if (!MayRetry(state, record, result)) {
    return fail(code, std::nullopt);
  }
  if (const auto left = QuarantinedFor(state.quarantine,
                                       FingerprintOf(record.request), now)) {
    return fail(failure_code::kQuarantined, left);
  }
  record.excluded.push_back(record.current_attempt->target);
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
