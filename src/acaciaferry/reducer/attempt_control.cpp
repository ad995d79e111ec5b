#include "acaciaferry/reducer/attempt_control.hpp"

#include <algorithm>
#include <unordered_map>
#include <utility>

namespace acaciaferry::internal {

// Other requests of this VM that may run on a target where a suspect starts.
constexpr std::size_t kFewOthers = 1;

struct occupancy {
  std::size_t requests{};
  bool has_suspect{};
};

bool MayHoldMemory(attempt_phase phase) noexcept {
  return phase == attempt_phase::kUnsent || phase == attempt_phase::kSent ||
         phase == attempt_phase::kAccepted;
}

std::unordered_map<target_id, occupancy> Occupancies(const state& state,
                                                     time_point now) {
  std::unordered_map<target_id, occupancy> result;
  for (const auto& [id, record] : state.requests) {
    if (record.current && !record.forwards) {
      occupancy& seen = result[record.current->target];
      ++seen.requests;
      seen.has_suspect =
          seen.has_suspect ||
          IsSuspect(state.quarantine, FingerprintOf(record.request), now);
    }
  }
  return result;
}

// Keeps suspects apart: from one another, and from all but a few requests.
// Other requests avoid targets with a suspect as long as there are others.
std::vector<const target*> Separate(const state& state,
                                    const request_record& record,
                                    std::vector<const target*> live,
                                    time_point now) {
  if (state.quarantine.suspects.empty()) {
    return live;
  }
  const auto seen = Occupancies(state, now);
  const bool suspect =
      IsSuspect(state.quarantine, FingerprintOf(record.request), now);
  std::vector<const target*> separate;
  for (const target* const candidate : live) {
    const auto found = seen.find(candidate->id);
    const occupancy there = found == seen.end() ? occupancy{} : found->second;
    const bool fits =
        !there.has_suspect && (!suspect || there.requests <= kFewOthers);
    if (fits) {
      separate.push_back(candidate);
    }
  }
  return suspect || !separate.empty() ? separate : live;
}

// The pool's targets that the request has not failed on.
std::vector<const target*> UntriedTargets(const state& state,
                                          const request_record& record) {
  auto targets = LiveTargets(state.targets, record.request.pool);
  std::erase_if(targets, [&record](const target* candidate) {
    return std::find(record.excluded.begin(), record.excluded.end(),
                     candidate->id) != record.excluded.end();
  });
  return targets;
}

// VMs do not know where the others' suspects run. Were they all to choose the
// least loaded target, a culprit and an innocent would meet again; a choice by
// hash sends different requests different ways.
std::optional<target_id> ChooseForSuspect(
    const request_record& record,
    const std::vector<const target*>& separate) {
  const auto score = [&record](const target* candidate) {
    return CallFingerprint(FingerprintOf(record.request), "",
                           candidate->id.value);
  };
  const auto best = std::max_element(
      separate.begin(), separate.end(),
      [&score](const auto* a, const auto* b) { return score(a) < score(b); });
  return best == separate.end() ? std::nullopt : std::optional((*best)->id);
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
  return record.current ? UnfinishedOutcome(*record.current, end)
                        : outcome::kNotRun;
}

void Refuse(const request_id& id, const failure& reason, effects& out) {
  out.push_back(count_refusal{reason.code});
  out.push_back(fail_request{id, reason, {}});
}

void Remove(state& state, const request_id& id) {
  const auto found = state.requests.find(id);
  state.deadlines.erase({found->second.deadline, id});
  std::erase(state.waiting_suspects, id);
  state.requests.erase(found);
}

void ReleaseAttempt(state& state, request_record& record, effects& out) {
  if (!record.current) {
    return;
  }
  const attempt& current = *record.current;
  if (MayHoldMemory(current.phase)) {
    out.push_back(
        cancel_attempt{current.id, current.address, record.request.kind});
  }
  if (!record.forwards) {
    RecordEnd(state.routing, current.target, record.request);
  }
  record.current.reset();
}

void Fail(state& state,
          request_record& record,
          const failure& reason,
          effects& out) {
  const request_id id = record.request.id;
  ReleaseAttempt(state, record, out);
  if (record.operation) {
    StoreFailure(state.operations, *record.operation, reason);
  }
  out.push_back(count_refusal{reason.code});
  if (!record.caller_gone) {
    out.push_back(fail_request{id, reason, {}});
  }
  Remove(state, id);
}

void Finish(state& state,
            request_record& record,
            time_point now,
            effects& out) {
  const request_id id = record.request.id;
  record.current->phase = attempt_phase::kFinished;
  ReleaseAttempt(state, record, out);
  if (!record.forwards) {
    EarnRetry(state.retries, record.request.pool, RetryFraction(state), now);
    RecordCompletion(state.quarantine, Self(state),
                     FingerprintOf(record.request), now);
  }
  if (record.operation) {
    StoreResult(state.operations, *record.operation, KeptAnswer(record));
  }
  if (!record.caller_gone) {
    out.push_back(finish_request{id, record.finish_reason});
  }
  Remove(state, id);
}

void StartAttempt(state& state,
                  request_record& record,
                  const failure& when_none,
                  time_point now,
                  effects& out) {
  const auto untried = UntriedTargets(state, record);
  if (untried.empty()) {
    Fail(state, record, when_none, out);
    return;
  }
  const auto separate = Separate(state, record, untried, now);
  const bool suspect =
      IsSuspect(state.quarantine, FingerprintOf(record.request), now);
  const auto chosen =
      suspect ? ChooseForSuspect(record, separate)
              : ChooseTarget(state.routing, {record.request, record.excluded},
                             separate);
  if (!chosen) {
    state.waiting_suspects.push_back(record.request.id);
    return;
  }
  const target& target = *FindTarget(state.targets, *chosen);
  const attempt_id id{record.request.id, ++record.attempts_made};
  ForgetAnswer(record);
  record.current =
      attempt{id, target.id, target.address, attempt_phase::kUnsent, now};
  RecordDispatch(state.routing, target.id, record.request);
  out.push_back(start_attempt{.attempt = id,
                              .target = target.id,
                              .address = target.address,
                              .kind = record.request.kind,
                              .prompt_tokens = record.request.prompt_tokens,
                              .remaining = record.deadline - now,
                              .priority = record.work.priority,
                              .reservations = {}});
}

void StartForward(state& /*state*/,
                  request_record& record,
                  const forward_call& owner,
                  time_point now,
                  effects& out) {
  const attempt_id id{record.request.id, ++record.attempts_made};
  const target_id target{owner.vm.value};
  record.forwards = true;
  record.current =
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
      Fail(state, record, {failure_code::kQuarantined, result, left}, out);
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
    const bool may_end = record.current && !record.forwards &&
                         !record.operation && !record.committed;
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
    Fail(state, record, {failure_code::kQuarantined, result, left}, out);
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
  const auto fail = [&](failure_code why, std::optional<duration> after) {
    Fail(state, record, {why, result, after}, out);
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
  record.excluded.push_back(record.current->target);
  if (UntriedTargets(state, record).empty()) {
    return fail(code, std::nullopt);
  }
  if (!SpendRetry(state.retries, record.request.pool, RetryFraction(state),
                  now)) {
    return fail(failure_code::kRetryBudgetExhausted, std::nullopt);
  }
  record.may_have_run = result == outcome::kUnknown;
  ReleaseAttempt(state, record, out);
  out.push_back(count_retry{reason});
  StartAttempt(state, record, {code, result, std::nullopt}, now, out);
}

}  // namespace acaciaferry::internal
