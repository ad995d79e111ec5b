#include "acaciaferry/operations/operations.hpp"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace acaciaferry {
namespace internal {

// Long enough for a caller to re-send a call after an outage of some minutes.
constexpr duration kKeyLifetime = std::chrono::minutes(10);
// 27 new operations a second over the lifetime of a key, more than five times
// the load of a VM at the design size.
constexpr std::size_t kMaxSpentKeys = 16'384;
constexpr std::size_t kMaxAnswerBytes = 16 << 20;
// Limit on the key owners, and on the closed sets with known holders. More than
// ten times the VMs at the design size. VMs are replaced daily, so without a
// bound their entries would accumulate.
constexpr std::size_t kMaxOwners = 4'096;

failure MakeFailure(failure_code code, outcome result) {
  return {code, result, std::nullopt};
}

operation_verdict ResolveSpentKey(const spent_key& known,
                                  const operation_call& call) {
  if (known.fingerprint != call.fingerprint) {
    return MakeFailure(failure_code::kOperationKeyReused, outcome::kNotRun);
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
  return MakeFailure(failure_code::kOperationAnswerDropped, outcome::kRan);
}

// Peers announce their closed sets every second, and those of other failure
// domains at least every 15 s.
constexpr duration kHolderTimeout = std::chrono::seconds(20);

// The verdict from a closed set that this VM holds; nothing if it holds none
// that is unexpired, if a part that may contain the key is missing, or if the
// key was never minted.
std::optional<operation_verdict> ResolveFromClosedSet(
    const operations_state& state,
    const operation_call& call,
    time_point now) {
  const auto found =
      state.closed_sets.find({call.key.vm, call.key.incarnation});
  if (found == state.closed_sets.end() || now >= found->second.expires) {
    return std::nullopt;
  }
  const closed_set& set = found->second;
  const auto spent = set.spent_keys.find(call.key.sequence);
  if (spent != set.spent_keys.end()) {
    return ResolveSpentKey(spent->second, call);
  }
  if (set.received_parts.size() != set.part_count ||
      call.key.sequence >= set.next_sequence) {
    return std::nullopt;
  }
  if (call.key.expires <= set.closed_at) {
    return MakeFailure(failure_code::kOperationKeyExpired, outcome::kUnknown);
  }
  // The minting VM closed its set without having started the call.
  return MakeFailure(failure_code::kDraining, outcome::kNotRun);
}

// The peer that last announced that it holds the closed set, or null. Stores
// its name in `holder`.
const key_owner* FindClosedSetHolder(const operations_state& state,
                                     const operation_call& call,
                                     time_point now,
                                     vm_id& holder) {
  const auto found =
      state.closed_set_holders.find({call.key.vm, call.key.incarnation});
  if (found == state.closed_set_holders.end()) {
    return nullptr;
  }
  const key_owner* best = nullptr;
  time_point latest = now - kHolderTimeout;
  for (const auto& [vm, announced_at] : found->second) {
    const auto known = state.key_owners.find(vm);
    if (known != state.key_owners.end() && announced_at > latest) {
      latest = announced_at;
      best = &known->second;
      holder = vm;
    }
  }
  return best;
}

operation_verdict ResolvePeerKey(const operations_state& state,
                                 const operation_call& call,
                                 time_point now) {
  if (auto verdict = ResolveFromClosedSet(state, call, now)) {
    return *std::move(verdict);
  }
  vm_id holder;
  const key_owner* const holder_entry =
      FindClosedSetHolder(state, call, now, holder);
  if (holder_entry != nullptr && !call.forwarded) {
    return forward_call{holder, holder_entry->callers_address};
  }
  const auto found = state.key_owners.find(call.key.vm);
  const bool reachable = !call.forwarded && found != state.key_owners.end() &&
                         found->second.incarnation == call.key.incarnation;
  if (!reachable) {
    // It is unknown whether the minting process started the call.
    return MakeFailure(failure_code::kOperationOwnerLost, outcome::kUnknown);
  }
  return forward_call{call.key.vm, found->second.callers_address};
}

// Encoded size of a closed key without its strings.
constexpr std::size_t kClosedKeyBytes = 48;
// Size limits of one answer and of all answers that are handed over. With all
// other fields they fit into kMaxClosedKeyParts parts.
constexpr std::size_t kMaxHandoverAnswerBytes = 16 << 10;
constexpr std::size_t kMaxTotalHandoverAnswerBytes = 512 << 10;
// Limit on the keys of all closed sets, about 10 MB.
constexpr std::size_t kMaxClosedKeys = 65'536;
// Limit on the known holders of one closed set.
constexpr std::size_t kMaxHolders = 8;

closed_key MakeClosedKey(std::uint64_t sequence,
                         const spent_key& known,
                         std::size_t& answer_bytes) {
  closed_key key{.sequence = sequence, .fingerprint = known.fingerprint};
  if (const auto* const answer = std::get_if<stored_answer>(&known.result)) {
    key.result = closed_key_result::kAnswerDropped;
    const std::size_t size = answer->body.size() + answer->content_type.size();
    if (size <= kMaxHandoverAnswerBytes &&
        answer_bytes + size <= kMaxTotalHandoverAnswerBytes) {
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

// A code that a later version added is mapped to kOperationOwnerLost; the
// outcome is taken from the message.
failure_code ParseFailureCode(std::string_view text) {
  for (std::size_t i = 0; i < kFailureCodeCount; ++i) {
    const auto code = static_cast<failure_code>(i);
    if (Describe(code).code == text) {
      return code;
    }
  }
  return failure_code::kOperationOwnerLost;
}

spent_key RestoreSpentKey(const closed_key& key, time_point expires) {
  spent_key known{key.fingerprint, expires, {}};
  switch (key.result) {
    case closed_key_result::kAnswer:
      known.result = stored_answer{static_cast<int>(key.http_status),
                                   key.content_type, key.body};
      break;
    case closed_key_result::kFailure:
      known.result = failure{ParseFailureCode(key.code), key.failure_outcome,
                             std::nullopt};
      break;
    case closed_key_result::kAnswerDropped:
      known.result = operation_answer_dropped{};
      break;
    case closed_key_result::kUnknown:
      known.result =
          MakeFailure(failure_code::kOperationOwnerLost, outcome::kUnknown);
      break;
  }
  return known;
}

void EraseExpiredClosedSets(operations_state& state, time_point now) {
  std::erase_if(state.closed_sets, [now](const auto& entry) {
    return entry.second.expires <= now;
  });
}

bool HasRoomForPart(const operations_state& state,
                    const key_set_id& minter,
                    const closed_keys_part& part) {
  std::size_t keys = part.keys.size();
  for (const auto& [vm, set] : state.closed_sets) {
    keys += set.spent_keys.size();
  }
  return keys <= kMaxClosedKeys && (state.closed_sets.size() < kMaxClosedSets ||
                                    state.closed_sets.contains(minter));
}

void SetResult(operations_state& state,
               spent_key& known,
               operation_result result) {
  if (const auto* const old = std::get_if<stored_answer>(&known.result)) {
    state.answer_bytes -= old->body.size();
  }
  if (const auto* const fresh = std::get_if<stored_answer>(&result)) {
    state.answer_bytes += fresh->body.size();
  }
  known.result = std::move(result);
}

// Drops the oldest answers beyond the limit. That their calls ran stays
// recorded.
void TrimStoredAnswers(operations_state& state) {
  for (auto& [sequence, known] : state.spent_keys) {
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

operation_verdict ResolveCall(const operations_state& state,
                              const vm_id& vm,
                              std::uint64_t incarnation,
                              const operation_call& call,
                              time_point now) {
  if (call.key.vm != vm || call.key.incarnation != incarnation) {
    return internal::ResolvePeerKey(state, call, now);
  }
  const auto found = state.spent_keys.find(call.key.sequence);
  if (found != state.spent_keys.end()) {
    return internal::ResolveSpentKey(found->second, call);
  }
  if (now >= call.key.expires) {
    // A record of an earlier call with the key may have expired.
    return internal::MakeFailure(failure_code::kOperationKeyExpired,
                                 outcome::kUnknown);
  }
  return start_operation{};
}

bool MarkSpent(operations_state& state, const operation_call& call) {
  if (state.spent_keys.size() >= internal::kMaxSpentKeys) {
    return false;
  }
  const spent_key fresh{call.fingerprint, call.key.expires,
                        operation_running{}};
  return state.spent_keys.try_emplace(call.key.sequence, fresh).second;
}

void StoreResult(operations_state& state,
                 std::uint64_t sequence,
                 operation_result result) {
  const auto found = state.spent_keys.find(sequence);
  if (found != state.spent_keys.end()) {
    internal::SetResult(state, found->second, std::move(result));
    internal::TrimStoredAnswers(state);
  }
}

void StoreFailure(operations_state& state,
                  std::uint64_t sequence,
                  const failure& reason) {
  const auto found = state.spent_keys.find(sequence);
  if (found != state.spent_keys.end()) {
    internal::SetResult(state, found->second, reason);
  }
}

void ExpireOperations(operations_state& state, time_point now) {
  auto each = state.spent_keys.begin();
  while (each != state.spent_keys.end() && each->second.expires <= now) {
    if (std::holds_alternative<operation_running>(each->second.result)) {
      ++each;
      continue;
    }
    internal::SetResult(state, each->second, operation_answer_dropped{});
    each = state.spent_keys.erase(each);
  }
}

key_handover BuildKeyHandover(const operations_state& state, time_point now) {
  key_handover result;
  result.deadline = now + kHandoverTimeout;
  if (state.next_sequence == 1) {
    return result;
  }
  closed_keys_part part{
      state.next_sequence,
      static_cast<std::uint64_t>(now.time_since_epoch().count())};
  std::size_t bytes = 0;
  std::size_t answer_bytes = 0;
  // The latest keys come first, because their callers are the most likely to
  // retry. clang-tidy 14 cannot parse the reverse view of libstdc++ 12.
  // NOLINTNEXTLINE(modernize-loop-convert)
  for (auto each = state.spent_keys.rbegin(); each != state.spent_keys.rend();
       ++each) {
    closed_key key =
        internal::MakeClosedKey(each->first, each->second, answer_bytes);
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

bool MergeClosedKeys(operations_state& state,
                     const key_set_id& minter,
                     const closed_keys_part& part,
                     time_point now) {
  internal::EraseExpiredClosedSets(state, now);
  if (part.count == 0 || part.count > kMaxClosedKeyParts ||
      part.index >= part.count ||
      !internal::HasRoomForPart(state, minter, part)) {
    return false;
  }
  const auto [found, is_new] = state.closed_sets.try_emplace(minter);
  closed_set& set = found->second;
  if (is_new) {
    set.next_sequence = part.next_sequence;
    set.closed_at =
        time_point(duration(static_cast<duration::rep>(part.closed_at)));
    set.part_count = part.count;
    // No key that was minted before the set was closed expires later.
    set.expires = now + internal::kKeyLifetime;
  }
  const bool is_same =
      set.part_count == part.count && set.next_sequence == part.next_sequence;
  if (is_same && set.received_parts.insert(part.index).second) {
    for (const closed_key& each : part.keys) {
      set.spent_keys.emplace(each.sequence,
                             internal::RestoreSpentKey(each, set.expires));
    }
  }
  return set.received_parts.size() == set.part_count;
}

void UpdateClosedSetHolders(operations_state& state,
                            std::span<const closed_set_holder> sets,
                            time_point now) {
  std::erase_if(state.closed_set_holders, [now](const auto& entry) {
    return std::all_of(entry.second.begin(), entry.second.end(),
                       [now](const auto& each) {
                         return each.second + internal::kHolderTimeout <= now;
                       });
  });
  for (const closed_set_holder& each : sets) {
    const key_set_id set{each.minter, each.incarnation};
    if (state.closed_set_holders.size() < internal::kMaxOwners ||
        state.closed_set_holders.contains(set)) {
      auto& known = state.closed_set_holders[set];
      std::erase_if(known, [now](const auto& holder) {
        return holder.second + internal::kHolderTimeout <= now;
      });
      if (known.size() < internal::kMaxHolders || known.contains(each.holder)) {
        known[each.holder] = now;
      }
    }
  }
}

std::vector<key_set_id> CompleteClosedSets(const operations_state& state,
                                           time_point now) {
  std::vector<key_set_id> sets;
  for (const auto& [minter, set] : state.closed_sets) {
    if (set.received_parts.size() == set.part_count && now < set.expires) {
      sets.push_back(minter);
    }
  }
  return sets;
}

std::vector<closed_set_holder> RecentClosedSetHolders(
    const operations_state& state,
    time_point now) {
  std::vector<closed_set_holder> known;
  for (const auto& [set, holders] : state.closed_set_holders) {
    for (const auto& [vm, announced_at] : holders) {
      // Only recent announcements in a holder's own heartbeats are relayed.
      if (now - announced_at < 2 * kHandoverTimeout) {
        known.push_back({vm, set.first, set.second});
      }
    }
  }
  return known;
}

void UpdateKeyOwner(operations_state& state, const peer_discovered& event) {
  key_owner& known = state.key_owners[event.vm];
  if (event.incarnation >= known.incarnation) {
    known = {event.incarnation, event.callers_address};
  }
  if (state.key_owners.size() > internal::kMaxOwners) {
    // The high bits of an incarnation are the start time, so the lowest one is
    // the oldest.
    state.key_owners.erase(
        std::min_element(state.key_owners.begin(), state.key_owners.end(),
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
