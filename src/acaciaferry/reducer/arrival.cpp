#include "acaciaferry/reducer/arrival.hpp"

#include <optional>
#include <variant>

#include "acaciaferry/admission/admission.hpp"
#include "acaciaferry/reducer/attempt_control.hpp"
#include "acaciaferry/reducer/dispatch.hpp"
#include "acaciaferry/reducer/isolation.hpp"
#include "acaciaferry/reducer/lifecycle.hpp"
#include "acaciaferry/reducer/operation_events.hpp"

namespace acaciaferry {
namespace internal {

// Targets, a configuration or another VM usually become known within this time.
constexpr duration kRetryAfter = std::chrono::seconds(1);

waiting_request MakeWaiting(const state& state,
                            const request_record& record,
                            const routing_choice& choice) {
  const acaciaferry::request& request = record.request;
  return {.order = {record.work.priority, record.deadline, request.id},
          .workspace = request.workspace,
          .workload = record.work.id,
          .pool_queue = {request.pool, IsLongRequest(request)},
          .cost = choice.cost.Total(),
          .weight = WorkspaceWeight(state.workspaces, request.workspace),
          .run_time =
              choice.uses_reported_rates ? choice.run_time : duration::zero()};
}

// If the queue is full, sheds a waiting request that ranks below the incoming
// one. Returns whether there is room.
bool MakeQueueRoom(state& state,
                   const waiting_request& incoming,
                   time_point now,
                   effects& out) {
  if (state.waiting.requests.size() < kMaxWaitingRequests) {
    return true;
  }
  const auto victim = FindVictim(state.waiting, incoming.order);
  if (victim) {
    FailRequest(state, *victim, NotRunFailure(failure_code::kShed, kRetryAfter),
                now, out);
  }
  return victim.has_value();
}

std::optional<failure> PredictRefusal(state& state,
                                      const request_record& record,
                                      const waiting_request& waiting,
                                      const routing_choice& choice,
                                      time_point now) {
  const admission_prediction predicted{
      .wait = PredictWait(state.waiting, waiting),
      .first_token = choice.first_token,
      .run_time = choice.run_time,
      .uses_reported_rates = choice.uses_reported_rates,
      .waiting = CountWaiting(state.waiting, record.work.id)};
  RecordPrediction(state.history, record.request.id,
                   {predicted.wait, choice.first_token, choice.run_time,
                    choice.uses_reported_rates});
  auto refusal = CheckPrediction(record.work, record.deadline - now, predicted);
  if (refusal && refusal->code == failure_code::kDeadlineTooShort) {
    DecayRunRatio(state.costs, record.request.pool);
  }
  return refusal;
}

// Stores the refusal under the call's operation key, so that no later call with
// the key starts the operation.
void RefuseArrival(state& state,
                   const request_record& record,
                   const failure& reason,
                   effects& out) {
  if (record.operation_sequence) {
    StoreFailure(state.operations, *record.operation_sequence, reason);
  }
  RefuseRequest(record.request.id, reason, out);
}

// A request suspected of crashes does not enter the queue: it waits for a
// target with few other requests.
void StartSuspect(state& state,
                  request_record record,
                  time_point now,
                  effects& out) {
  const request_id id = record.request.id;
  state.deadlines.emplace(record.deadline, id);
  RecordAdmission(state.history, id, now);
  request_record& stored =
      state.requests.emplace(id, std::move(record)).first->second;
  StartAttempt(state, stored,
               NotRunFailure(failure_code::kNoLiveTarget, kRetryAfter), now,
               out);
}

void QueueOrRefuse(state& state,
                   request_record record,
                   time_point now,
                   effects& out) {
  const request_id id = record.request.id;
  if (IsSuspectRequest(state, record, now)) {
    return StartSuspect(state, std::move(record), now, out);
  }
  const auto choice = ChooseTargetFor(state, record, now);
  if (!choice) {
    return RefuseArrival(
        state, record, NotRunFailure(failure_code::kNoLiveTarget, kRetryAfter),
        out);
  }
  const waiting_request waiting = MakeWaiting(state, record, *choice);
  if (const auto refusal =
          PredictRefusal(state, record, waiting, *choice, now)) {
    return RefuseArrival(state, record, *refusal, out);
  }
  if (!MakeQueueRoom(state, waiting, now, out)) {
    return RefuseArrival(state, record,
                         NotRunFailure(failure_code::kQueueFull, kRetryAfter),
                         out);
  }
  const auto wait =
      ConsumeTokens(state.workspaces, waiting.workspace, waiting.cost, now);
  if (wait) {
    return RefuseArrival(
        state, record, NotRunFailure(failure_code::kWorkspaceLimit, wait), out);
  }
  record.charged_tokens = waiting.cost;
  Enqueue(state.waiting, waiting, now);
  state.deadlines.emplace(record.deadline, id);
  RecordAdmission(state.history, id, now);
  state.requests.emplace(id, std::move(record));
}

}  // namespace internal

void OnRequestArrived(state& state,
                      const request& request,
                      time_point now,
                      effects& out) {
  // A duplicated event is ignored.
  if (state.requests.contains(request.id)) {
    return;
  }
  RecordArrival(state.history, request, now);
  const auto checked = CheckOperationKey(state, request, now, out);
  const auto* const may_run = std::get_if<call_may_run>(&checked);
  if (may_run == nullptr) {
    return;
  }
  request_record record;
  record.request = request;
  record.operation_sequence = may_run->operation_sequence;
  const auto refuse = [&](const failure& reason) {
    internal::RefuseArrival(state, record, reason, out);
  };
  if (state.refuses_new_requests) {
    return refuse(
        NotRunFailure(failure_code::kDraining, internal::kRetryAfter));
  }
  if (!state.config) {
    return refuse(
        NotRunFailure(failure_code::kNoConfiguration, internal::kRetryAfter));
  }
  const auto verdict = Admit(*state.config, request, now);
  if (const auto* const refusal = std::get_if<failure>(&verdict)) {
    return refuse(*refusal);
  }
  const auto& [work, deadline] = std::get<admitted_request>(verdict);
  RecordWorkload(state.history, request, work.id, deadline - now);
  if (const auto left = RemainingQuarantine(
          state.quarantine, internal::RequestFingerprint(request), now)) {
    return refuse(NotRunFailure(failure_code::kQuarantined, left));
  }
  const routing_context context{state.targets, state.costs,
                                state.config->policy, state.self.failure_domain,
                                now};
  UpdateRequestMix(state.routing, context, request,
                   PredictCost(state.costs, request, work, 0));
  record.work = work;
  record.deadline = deadline;
  internal::QueueOrRefuse(state, std::move(record), now, out);
}

}  // namespace acaciaferry
