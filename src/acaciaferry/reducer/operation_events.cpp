#include "acaciaferry/reducer/operation_events.hpp"

#include <string>
#include <variant>

#include "acaciaferry/admission/admission.hpp"
#include "acaciaferry/reducer/attempt_control.hpp"

namespace acaciaferry {
namespace internal {

constexpr int kHttpCreated = 201;

// Whether this VM must check the call's key. Idempotent calls need no operation
// key, and a target that deduplicates receives the caller's key unchanged.
bool HandlesOperationKey(const state& state, const request& request) {
  if (request.kind != request_kind::kServiceCall ||
      request.idempotency_key.empty()) {
    return false;
  }
  if (!state.config) {
    return true;
  }
  const workload* const work = FindWorkload(*state.config, request);
  const pool* const known = FindPool(*state.config, request.pool);
  const bool is_idempotent = work != nullptr && work->idempotent;
  return !is_idempotent && !(known != nullptr && known->deduplicates);
}

operation_call MakeOperationCall(const request& request,
                                 const operation_key& key) {
  return {key, RequestFingerprint(request), request.forwarded};
}

// Refuses a call with a key of the caller's own making, which does not prevent
// a second execution. The reply contains a new operation key, unless this VM
// refuses new requests or has no secret.
void RefuseWithFreshKey(state& state,
                        const request& request,
                        time_point now,
                        effects& out) {
  const failure reason{failure_code::kOperationKeyRequired, outcome::kNotRun,
                       std::nullopt};
  fail_request reply{request.id, reason, {}};
  if (!state.refuses_new_requests) {
    if (auto key = MintKey(state.operations, state.self.vm,
                           state.self.incarnation, now)) {
      reply.operation_key = std::move(key->text);
    }
  }
  out.push_back(count_refusal{reason.code});
  out.push_back(std::move(reply));
}

void ReplayStoredAnswer(const request_id& id,
                        const stored_answer& answer,
                        effects& out) {
  out.push_back(deliver_head{id, answer.http_status, answer.content_type});
  if (!answer.body.empty()) {
    out.push_back(deliver_chunk{id, answer.body});
  }
  out.push_back(finish_request{id, "stop"});
}

// Forwards a call to the VM that minted its key. Refusals have the outcome
// unknown, because an earlier call with the key may have reached that VM.
void ForwardToOwner(state& state,
                    const request& request,
                    const forward_call& owner,
                    time_point now,
                    effects& out) {
  const auto refuse = [&](failure_code code) {
    RefuseRequest(request.id, {code, outcome::kUnknown, std::nullopt}, out);
  };
  if (state.refuses_new_requests) {
    return refuse(failure_code::kDraining);
  }
  if (!state.config) {
    return refuse(failure_code::kNoConfiguration);
  }
  const auto verdict = Admit(*state.config, request, now);
  if (const auto* const refusal = std::get_if<failure>(&verdict)) {
    return refuse(refusal->code);
  }
  const auto& [work, deadline] = std::get<admitted_request>(verdict);
  request_record& record = state.requests[request.id];
  record.request = request;
  record.work = work;
  record.deadline = deadline;
  RecordWorkload(state.history, request, work.id, deadline - now);
  RecordAdmission(state.history, request.id, now);
  state.deadlines.emplace(deadline, request.id);
  StartForwardAttempt(state, record, owner, now, out);
}

void RefuseForgedKey(const state& state, const request_id& id, effects& out) {
  // Without the deployment's secret a genuine key cannot be verified, and its
  // call may have run elsewhere.
  const bool can_verify = !state.operations.secret.empty();
  const failure reason{can_verify ? failure_code::kOperationKeyInvalid
                                  : failure_code::kOperationKeysUnavailable,
                       can_verify ? outcome::kNotRun : outcome::kUnknown,
                       std::nullopt};
  RefuseRequest(id, reason, out);
}

std::variant<call_handled, call_may_run> SpendKey(state& state,
                                                  const request_id& id,
                                                  const operation_call& call,
                                                  effects& out) {
  if (state.refuses_new_requests) {
    // This VM starts no more operations, so `not-run` stays true without a
    // record of the key.
    RefuseRequest(id, {failure_code::kDraining, outcome::kNotRun, std::nullopt},
                  out);
    return call_handled{};
  }
  if (!MarkSpent(state.operations, call)) {
    // The refusal cannot be recorded, so an earlier call with this key that is
    // still in transit may be started once there is room.
    RefuseRequest(
        id, {failure_code::kOperationsFull, outcome::kUnknown, std::nullopt},
        out);
    return call_handled{};
  }
  return call_may_run{call.key.sequence};
}

}  // namespace internal

void OnOperationKeyRequested(state& state,
                             const operation_key_requested& event,
                             time_point now,
                             effects& out) {
  const auto refuse = [&](failure_code code) {
    internal::RefuseRequest(event.request,
                            {code, outcome::kNotRun, std::nullopt}, out);
  };
  if (state.refuses_new_requests) {
    return refuse(failure_code::kDraining);
  }
  const auto key =
      MintKey(state.operations, state.self.vm, state.self.incarnation, now);
  if (!key) {
    return refuse(failure_code::kOperationKeysUnavailable);
  }
  const auto lifetime_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(key->lifetime);
  // A VM's name comes from its settings and contains no character that needs
  // escaping in JSON; the rest of a key is hexadecimal.
  out.push_back(
      deliver_head{event.request, internal::kHttpCreated, "application/json"});
  out.push_back(deliver_chunk{
      event.request, R"({"key":")" + key->text + R"(","expires_in_ms":)" +
                         std::to_string(lifetime_ms.count()) + "}"});
  out.push_back(finish_request{event.request, "stop"});
}

std::variant<call_handled, call_may_run> CheckOperationKey(
    state& state,
    const request& request,
    time_point now,
    effects& out) {
  if (!internal::HandlesOperationKey(state, request)) {
    return call_may_run{};
  }
  const presented_key presented =
      ParseKey(request.idempotency_key, state.operations.secret);
  if (presented.verdict == key_verdict::kForged) {
    internal::RefuseForgedKey(state, request.id, out);
    return call_handled{};
  }
  if (presented.verdict == key_verdict::kNotMinted) {
    if (!state.config || FindWorkload(*state.config, request) == nullptr) {
      return call_may_run{};
    }
    internal::RefuseWithFreshKey(state, request, now, out);
    return call_handled{};
  }
  const operation_call call =
      internal::MakeOperationCall(request, presented.key);
  const auto verdict = ResolveCall(state.operations, state.self.vm,
                                   state.self.incarnation, call, now);
  if (std::holds_alternative<start_operation>(verdict)) {
    return internal::SpendKey(state, request.id, call, out);
  }
  if (const auto* const replay = std::get_if<replay_answer>(&verdict)) {
    internal::ReplayStoredAnswer(request.id, *replay->answer, out);
  } else if (const auto* const owner = std::get_if<forward_call>(&verdict)) {
    internal::ForwardToOwner(state, request, *owner, now, out);
  } else if (const auto* const reason = std::get_if<failure>(&verdict)) {
    internal::RefuseRequest(request.id, *reason, out);
  }
  return call_handled{};
}

}  // namespace acaciaferry
