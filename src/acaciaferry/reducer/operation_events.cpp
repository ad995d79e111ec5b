#include "acaciaferry/reducer/operation_events.hpp"

#include <string>
#include <variant>

#include "acaciaferry/admission/admission.hpp"
#include "acaciaferry/reducer/attempt_control.hpp"

namespace acaciaferry {
namespace internal {

constexpr int kHttpCreated = 201;

// Whether the call's key is this project's concern. Idempotent calls need no
// key, and a target that deduplicates takes the key as it is.
bool NeedsOperation(const state& state, const request& request) {
  if (request.kind != request_kind::kServiceCall ||
      request.idempotency_key.empty()) {
    return false;
  }
  if (!state.config) {
    return true;
  }
  const workload* const work = FindWorkload(*state.config, request);
  const pool* const known = FindPool(*state.config, request.pool);
  const bool harmless = work != nullptr && work->idempotent;
  return !harmless && !(known != nullptr && known->deduplicates);
}

operation_call CallOf(const request& request, const operation_key& key) {
  return {key, FingerprintOf(request), request.forwarded};
}

// A key that the caller made protects nothing here. The reply has one that
// does.
void RequireKey(state& state,
                const request& request,
                time_point now,
                effects& out) {
  const failure reason{failure_code::kOperationKeyRequired, outcome::kNotRun,
                       std::nullopt};
  fail_request reply{request.id, reason, {}};
  if (!state.closed) {
    if (auto key = MintKey(state.operations, state.self.vm,
                           state.self.incarnation, now)) {
      reply.operation_key = std::move(key->text);
    }
  }
  out.push_back(count_refusal{reason.code});
  out.push_back(std::move(reply));
}

void Replay(const request_id& id, const stored_answer& answer, effects& out) {
  out.push_back(deliver_head{id, answer.http_status, answer.content_type});
  if (!answer.body.empty()) {
    out.push_back(deliver_chunk{id, answer.body});
  }
  out.push_back(finish_request{id, "stop"});
}

// Until the minting VM has answered, nobody can say that the call was not run:
// an earlier one with the same key may have reached it.
void Forward(state& state,
             const request& request,
             const forward_call& owner,
             time_point now,
             effects& out) {
  const auto refuse = [&](failure_code code) {
    Refuse(request.id, {code, outcome::kUnknown, std::nullopt}, out);
  };
  if (state.closed) {
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
  StartForward(state, record, owner, now, out);
}

void RefuseForged(const state& state, const request_id& id, effects& out) {
  // Without the deployment's key a genuine key cannot be told from others,
  // and its call may have run elsewhere.
  const bool can_tell = !state.operations.secret.empty();
  const failure reason{can_tell ? failure_code::kOperationKeyInvalid
                                : failure_code::kOperationKeysUnavailable,
                       can_tell ? outcome::kNotRun : outcome::kUnknown,
                       std::nullopt};
  Refuse(id, reason, out);
}

std::variant<call_replied, call_may_run> SpendKey(state& state,
                                                  const request_id& id,
                                                  const operation_call& call,
                                                  effects& out) {
  if (state.closed) {
    // A VM that has closed starts nothing any more, so the key need not be
    // recorded to keep this true.
    Refuse(id, {failure_code::kDraining, outcome::kNotRun, std::nullopt}, out);
    return call_replied{};
  }
  if (!Spend(state.operations, call)) {
    // The refusal cannot be recorded: an earlier call with this key may still
    // arrive and find room.
    Refuse(id, {failure_code::kOperationsFull, outcome::kUnknown, std::nullopt},
           out);
    return call_replied{};
  }
  return call_may_run{call.key.sequence};
}

}  // namespace internal

void OnOperationKeyRequested(state& state,
                             const operation_key_requested& event,
                             time_point now,
                             effects& out) {
  const auto refuse = [&](failure_code code) {
    internal::Refuse(event.request, {code, outcome::kNotRun, std::nullopt},
                     out);
  };
  if (state.closed) {
    return refuse(failure_code::kDraining);
  }
  const auto key =
      MintKey(state.operations, state.self.vm, state.self.incarnation, now);
  if (!key) {
    return refuse(failure_code::kOperationKeysUnavailable);
  }
  const auto lifetime_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(key->lifetime);
  // A VM's name comes from its settings and has no character that JSON
  // escapes; the rest of a key is hexadecimal.
  out.push_back(
      deliver_head{event.request, internal::kHttpCreated, "application/json"});
  out.push_back(deliver_chunk{
      event.request, R"({"key":")" + key->text + R"(","expires_in_ms":)" +
                         std::to_string(lifetime_ms.count()) + "}"});
  out.push_back(finish_request{event.request, "stop"});
}

std::variant<call_replied, call_may_run> ConsultOperations(
    state& state,
    const request& request,
    time_point now,
    effects& out) {
  if (!internal::NeedsOperation(state, request)) {
    return call_may_run{};
  }
  const presented_key presented =
      ParseKey(request.idempotency_key, state.operations.secret);
  if (presented.verdict == key_verdict::kForged) {
    internal::RefuseForged(state, request.id, out);
    return call_replied{};
  }
  if (presented.verdict == key_verdict::kForeign) {
    if (!state.config || FindWorkload(*state.config, request) == nullptr) {
      return call_may_run{};
    }
    internal::RequireKey(state, request, now, out);
    return call_replied{};
  }
  const operation_call call = internal::CallOf(request, presented.key);
  const auto verdict = JudgeCall(state.operations, state.self.vm,
                                 state.self.incarnation, call, now);
  if (std::holds_alternative<start_operation>(verdict)) {
    return internal::SpendKey(state, request.id, call, out);
  }
  if (const auto* const replay = std::get_if<replay_answer>(&verdict)) {
    internal::Replay(request.id, *replay->answer, out);
  } else if (const auto* const owner = std::get_if<forward_call>(&verdict)) {
    internal::Forward(state, request, *owner, now, out);
  } else if (const auto* const reason = std::get_if<failure>(&verdict)) {
    internal::Refuse(request.id, *reason, out);
  }
  return call_replied{};
}

}  // namespace acaciaferry
