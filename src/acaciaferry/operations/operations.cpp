#include "acaciaferry/operations/operations.hpp"

#include <xxhash.h>

#include <utility>

namespace acaciaferry {
namespace internal {

// Long enough for a caller to re-send after an outage of some minutes.
constexpr duration kKeyLifetime = std::chrono::minutes(10);
// 27 new operations a second over the lifetime of a key, more than five times
// the load of a VM at the design size.
constexpr std::size_t kMaxSpentKeys = 16'384;
constexpr std::size_t kMaxAnswerBytes = 16 << 20;

failure Refuse(failure_code code, outcome result) {
  return {code, result, std::nullopt};
}

operation_verdict JudgeSpent(const operation& known,
                             const operation_call& call) {
  if (known.fingerprint != call.fingerprint) {
    return Refuse(failure_code::kOperationKeyReused, outcome::kNotRun);
  }
  if (const auto* const answer = std::get_if<stored_answer>(&known.result)) {
    return replay_answer{answer};
  }
  if (const auto* const reason = std::get_if<failure>(&known.result)) {
    return *reason;
  }
  if (std::holds_alternative<operation_running>(known.result)) {
    return failure{failure_code::kOperationInProgress, outcome::kUnknown,
                   std::chrono::seconds(1)};
  }
  return Refuse(failure_code::kOperationAnswerDropped, outcome::kRan);
}

operation_verdict JudgeForeign(const operations_state& state,
                               const operation_call& call) {
  const auto found = state.owners.find(call.key.vm);
  const bool reachable = !call.forwarded && found != state.owners.end() &&
                         found->second.incarnation == call.key.incarnation;
  if (!reachable) {
    // Nobody here can tell whether the minting process started the call.
    return Refuse(failure_code::kOperationOwnerLost, outcome::kUnknown);
  }
  return forward_call{call.key.vm, found->second.callers_address};
}

void SetResult(operations_state& state,
               operation& known,
               operation_result result) {
  if (const auto* const old = std::get_if<stored_answer>(&known.result)) {
    state.answer_bytes -= old->body.size();
  }
  if (const auto* const fresh = std::get_if<stored_answer>(&result)) {
    state.answer_bytes += fresh->body.size();
  }
  known.result = std::move(result);
}

// Drops the oldest answers, but never the fact that their calls ran.
void BoundAnswers(operations_state& state) {
  for (auto& [sequence, known] : state.spent) {
    if (state.answer_bytes <= kMaxAnswerBytes) {
      return;
    }
    if (std::holds_alternative<stored_answer>(known.result)) {
      SetResult(state, known, operation_answer_dropped{});
    }
  }
}

}  // namespace internal

std::optional<minted_key> MintKey(operations_state& state,
                                  const vm_id& vm,
                                  std::uint64_t incarnation,
                                  time_point now) {
  if (state.secret.empty()) {
    return std::nullopt;
  }
  const operation_key key{.vm = vm,
                          .incarnation = incarnation,
                          .sequence = state.next_sequence++,
                          .expires = now + internal::kKeyLifetime};
  return minted_key{FormatKey(key, state.secret), internal::kKeyLifetime};
}

operation_verdict JudgeCall(const operations_state& state,
                            const vm_id& vm,
                            std::uint64_t incarnation,
                            const operation_call& call,
                            time_point now) {
  if (call.key.vm != vm || call.key.incarnation != incarnation) {
    return internal::JudgeForeign(state, call);
  }
  const auto found = state.spent.find(call.key.sequence);
  if (found != state.spent.end()) {
    return internal::JudgeSpent(found->second, call);
  }
  if (now >= call.key.expires) {
    // The record of a call that ran earlier may have been forgotten.
    return internal::Refuse(failure_code::kOperationKeyExpired,
                            outcome::kUnknown);
  }
  return start_operation{};
}

bool Spend(operations_state& state, const operation_call& call) {
  if (state.spent.size() >= internal::kMaxSpentKeys) {
    return false;
  }
  const operation fresh{call.fingerprint, call.key.expires,
                        operation_running{}};
  return state.spent.try_emplace(call.key.sequence, fresh).second;
}

void StoreResult(operations_state& state,
                 std::uint64_t sequence,
                 operation_result result) {
  const auto found = state.spent.find(sequence);
  if (found != state.spent.end()) {
    internal::SetResult(state, found->second, std::move(result));
    internal::BoundAnswers(state);
  }
}

void StoreFailure(operations_state& state,
                  std::uint64_t sequence,
                  const failure& reason) {
  const auto found = state.spent.find(sequence);
  if (found == state.spent.end()) {
    return;
  }
  if (reason.result == outcome::kNotRun) {
    state.spent.erase(found);
  } else {
    internal::SetResult(state, found->second, reason);
  }
}

void ExpireOperations(operations_state& state, time_point now) {
  auto each = state.spent.begin();
  while (each != state.spent.end() && each->second.expires <= now) {
    if (std::holds_alternative<operation_running>(each->second.result)) {
      ++each;
      continue;
    }
    internal::SetResult(state, each->second, operation_answer_dropped{});
    each = state.spent.erase(each);
  }
}

void LearnOwner(operations_state& state, const peer_learnt& event) {
  key_owner& known = state.owners[event.vm];
  if (event.incarnation >= known.incarnation) {
    known = {event.incarnation, event.callers_address};
  }
}

std::uint64_t CallFingerprint(std::uint64_t fingerprint,
                              std::string_view method,
                              std::string_view path) {
  const auto hash = [](std::string_view text, std::uint64_t seed) {
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
  };
  return hash(path, hash(method, fingerprint));
}

}  // namespace acaciaferry
