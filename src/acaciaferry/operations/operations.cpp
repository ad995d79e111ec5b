#include "acaciaferry/operations/operations.hpp"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace acaciaferry {
namespace internal {

// Long enough for a caller to re-send after an outage of some minutes.
constexpr duration kKeyLifetime = std::chrono::minutes(10);
// 27 new operations a second over the lifetime of a key, more than five times
// the load of a VM at the design size.
constexpr std::size_t kMaxSpentKeys = 16'384;
constexpr std::size_t kMaxAnswerBytes = 16 << 20;
// More than ten times the VMs at the design size. VMs are replaced daily, so
// their names would add up.
constexpr std::size_t kMaxOwners = 4'096;

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

// Peers repeat what they have every second, and other failure domains every
// 15 s at most.
constexpr duration kHolderSilence = std::chrono::seconds(20);

// The verdict of a closed set that this VM has; nothing when it has none, or
// when a part that may have the key is missing.
std::optional<operation_verdict> JudgeClosed(const operations_state& state,
                                             const operation_call& call,
                                             time_point now) {
  const auto found = state.closed.find({call.key.vm, call.key.incarnation});
  if (found == state.closed.end() || now >= found->second.expires) {
    return std::nullopt;
  }
  const closed_set& set = found->second;
  const auto spent = set.spent.find(call.key.sequence);
  if (spent != set.spent.end()) {
    return JudgeSpent(spent->second, call);
  }
  if (set.received.size() != set.count ||
      call.key.sequence >= set.next_sequence) {
    return std::nullopt;
  }
  if (call.key.expires <= set.closed_at) {
    return Refuse(failure_code::kOperationKeyExpired, outcome::kUnknown);
  }
  // The minting VM had closed without having started it.
  return Refuse(failure_code::kDraining, outcome::kNotRun);
}

// The peer that said last that it has the closed set.
const key_owner* FindHolder(const operations_state& state,
                            const operation_call& call,
                            time_point now,
                            vm_id& holder) {
  const auto found = state.holders.find({call.key.vm, call.key.incarnation});
  if (found == state.holders.end()) {
    return nullptr;
  }
  const key_owner* best = nullptr;
  time_point latest = now - kHolderSilence;
  for (const auto& [vm, said_at] : found->second) {
    const auto known = state.owners.find(vm);
    if (known != state.owners.end() && said_at > latest) {
      latest = said_at;
      best = &known->second;
      holder = vm;
    }
  }
  return best;
}

operation_verdict JudgeForeign(const operations_state& state,
                               const operation_call& call,
                               time_point now) {
  if (auto verdict = JudgeClosed(state, call, now)) {
    return *std::move(verdict);
  }
  vm_id holder;
  const key_owner* const keeper = FindHolder(state, call, now, holder);
  if (keeper != nullptr && !call.forwarded) {
    return forward_call{holder, keeper->callers_address};
  }
  const auto found = state.owners.find(call.key.vm);
  const bool reachable = !call.forwarded && found != state.owners.end() &&
                         found->second.incarnation == call.key.incarnation;
  if (!reachable) {
    // Nobody here can tell whether the minting process started the call.
    return Refuse(failure_code::kOperationOwnerLost, outcome::kUnknown);
  }
  return forward_call{call.key.vm, found->second.callers_address};
}

// Encoded size of a key without its texts.
constexpr std::size_t kClosedKeyBytes = 48;
// Answers are handed over up to these sizes, which with all other fields makes
// kMaxClosedKeyParts parts at most.
constexpr std::size_t kMaxHandedAnswer = 16 << 10;
constexpr std::size_t kMaxHandedAnswers = 512 << 10;
// Keys of all closed sets, about 10 MB.
constexpr std::size_t kMaxClosedKeys = 65'536;
constexpr std::size_t kMaxHolders = 8;

closed_key Closed(std::uint64_t sequence,
                  const operation& known,
                  std::size_t& answer_bytes) {
  closed_key key{.sequence = sequence, .fingerprint = known.fingerprint};
  if (const auto* const answer = std::get_if<stored_answer>(&known.result)) {
    key.result = closed_key_result::kAnswerDropped;
    const std::size_t size = answer->body.size() + answer->content_type.size();
    if (size <= kMaxHandedAnswer && answer_bytes + size <= kMaxHandedAnswers) {
      answer_bytes += size;
      key.result = closed_key_result::kAnswer;
      key.http_status = static_cast<std::uint32_t>(answer->http_status);
      key.content_type = answer->content_type;
      key.body = answer->body;
    }
  } else if (const auto* const reason = std::get_if<failure>(&known.result)) {
    key.result = closed_key_result::kFailure;
    key.code = Describe(reason->code).code;
    key.failure_outcome = reason->result;
  } else if (std::holds_alternative<operation_answer_dropped>(known.result)) {
    key.result = closed_key_result::kAnswerDropped;
  }
  return key;
}

// A code that a later version added says no more than its outcome does.
failure_code CodeNamed(std::string_view text) {
  for (std::size_t i = 0; i < kFailureCodes; ++i) {
    const auto code = static_cast<failure_code>(i);
    if (Describe(code).code == text) {
      return code;
    }
  }
  return failure_code::kOperationOwnerLost;
}

operation Opened(const closed_key& key, time_point expires) {
  operation known{key.fingerprint, expires, {}};
  switch (key.result) {
    case closed_key_result::kAnswer:
      known.result = stored_answer{static_cast<int>(key.http_status),
                                   key.content_type, key.body};
      break;
    case closed_key_result::kFailure:
      known.result =
          failure{CodeNamed(key.code), key.failure_outcome, std::nullopt};
      break;
    case closed_key_result::kAnswerDropped:
      known.result = operation_answer_dropped{};
      break;
    case closed_key_result::kUnknown:
      known.result =
          Refuse(failure_code::kOperationOwnerLost, outcome::kUnknown);
      break;
  }
  return known;
}

void ForgetClosed(operations_state& state, time_point now) {
  std::erase_if(state.closed, [now](const auto& entry) {
    return entry.second.expires <= now;
  });
}

bool HasRoom(const operations_state& state,
             const key_set& minter,
             const closed_keys_part& part) {
  std::size_t keys = part.keys.size();
  for (const auto& [vm, set] : state.closed) {
    keys += set.spent.size();
  }
  return keys <= kMaxClosedKeys && (state.closed.size() < kMaxClosedSets ||
                                    state.closed.contains(minter));
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
    return internal::JudgeForeign(state, call, now);
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
  if (found != state.spent.end()) {
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

key_handover CloseKeys(const operations_state& state, time_point now) {
  key_handover result;
  result.deadline = now + kHandoverTime;
  if (state.next_sequence == 1) {
    return result;
  }
  closed_keys_part part{
      state.next_sequence,
      static_cast<std::uint64_t>(now.time_since_epoch().count())};
  std::size_t bytes = 0;
  std::size_t answer_bytes = 0;
  // The latest first: their callers are the likeliest to ask. clang-tidy 14
  // cannot parse the reverse view of libstdc++ 12.
  // NOLINTNEXTLINE(modernize-loop-convert)
  for (auto each = state.spent.rbegin(); each != state.spent.rend(); ++each) {
    closed_key key = internal::Closed(each->first, each->second, answer_bytes);
    const std::size_t size = internal::kClosedKeyBytes + key.body.size() +
                             key.content_type.size() + key.code.size();
    if (bytes + size > kMaxPartBytes || part.keys.size() == kMaxKeysPerPart) {
      result.parts.push_back(part);
      part.keys.clear();
      bytes = 0;
    }
    bytes += size;
    part.keys.push_back(std::move(key));
  }
  result.parts.push_back(std::move(part));
  for (std::size_t i = 0; i < result.parts.size(); ++i) {
    result.parts[i].index = static_cast<std::uint32_t>(i);
    result.parts[i].count = static_cast<std::uint32_t>(result.parts.size());
  }
  return result;
}

bool TakeClosedKeys(operations_state& state,
                    const key_set& minter,
                    const closed_keys_part& part,
                    time_point now) {
  internal::ForgetClosed(state, now);
  if (part.count == 0 || part.count > kMaxClosedKeyParts ||
      part.index >= part.count || !internal::HasRoom(state, minter, part)) {
    return false;
  }
  const auto [found, is_new] = state.closed.try_emplace(minter);
  closed_set& set = found->second;
  if (is_new) {
    set.next_sequence = part.next_sequence;
    set.closed_at =
        time_point(duration(static_cast<duration::rep>(part.closed_at)));
    set.count = part.count;
    // No key that was minted before the closing lives longer.
    set.expires = now + internal::kKeyLifetime;
  }
  const bool is_same =
      set.count == part.count && set.next_sequence == part.next_sequence;
  if (is_same && set.received.insert(part.index).second) {
    for (const closed_key& each : part.keys) {
      set.spent.emplace(each.sequence, internal::Opened(each, set.expires));
    }
  }
  return set.received.size() == set.count;
}

void LearnHolders(operations_state& state,
                  std::span<const closed_set_holder> sets,
                  time_point now) {
  std::erase_if(state.holders, [now](const auto& entry) {
    return std::all_of(entry.second.begin(), entry.second.end(),
                       [now](const auto& each) {
                         return each.second + internal::kHolderSilence <= now;
                       });
  });
  for (const closed_set_holder& each : sets) {
    const key_set set{each.minter, each.incarnation};
    if (state.holders.size() < internal::kMaxOwners ||
        state.holders.contains(set)) {
      auto& known = state.holders[set];
      std::erase_if(known, [now](const auto& holder) {
        return holder.second + internal::kHolderSilence <= now;
      });
      if (known.size() < internal::kMaxHolders || known.contains(each.holder)) {
        known[each.holder] = now;
      }
    }
  }
}

std::vector<key_set> CompleteSets(const operations_state& state,
                                  time_point now) {
  std::vector<key_set> sets;
  for (const auto& [minter, set] : state.closed) {
    if (set.received.size() == set.count && now < set.expires) {
      sets.push_back(minter);
    }
  }
  return sets;
}

std::vector<closed_set_holder> KnownHolders(const operations_state& state,
                                            time_point now) {
  std::vector<closed_set_holder> known;
  for (const auto& [set, holders] : state.holders) {
    for (const auto& [vm, said_at] : holders) {
      // Only a holder's own heartbeats are passed on, while they are new.
      if (now - said_at < 2 * kHandoverTime) {
        known.push_back({vm, set.first, set.second});
      }
    }
  }
  return known;
}

void LearnOwner(operations_state& state, const peer_discovered& event) {
  key_owner& known = state.owners[event.vm];
  if (event.incarnation >= known.incarnation) {
    known = {event.incarnation, event.callers_address};
  }
  if (state.owners.size() > internal::kMaxOwners) {
    // Incarnations begin with the start time, so the lowest is the oldest.
    state.owners.erase(
        std::min_element(state.owners.begin(), state.owners.end(),
                         [](const auto& a, const auto& b) {
                           return a.second.incarnation < b.second.incarnation;
                         }));
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
