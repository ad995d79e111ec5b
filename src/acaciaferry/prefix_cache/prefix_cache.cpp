#include "acaciaferry/prefix_cache/prefix_cache.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace acaciaferry {
namespace internal {

// Knowledge up to this age is fully trusted; polls are at most this far apart
// in normal operation.
constexpr duration kFullTrustAge = std::chrono::seconds(2);
// Under load, engines replace a large part of their cache within this time.
constexpr double kTrustHalfLifeSeconds = 15;
// Factor for each gap since the last snapshot.
constexpr double kTrustPerGap = 0.5;
constexpr unsigned kMaxGaps = 16;

void EraseBlock(prefix_cache_state& state,
                cached_target& cached,
                std::uint64_t block) {
  const auto found = cached.blocks.find(block);
  if (found == cached.blocks.end()) {
    return;
  }
  cached.oldest_first.erase(found->second);
  cached.blocks.erase(found);
  --state.block_count;
  const auto holder = state.holders.find(block);
  if (holder != state.holders.end() && holder->second == cached.slot) {
    state.holders.erase(holder);
  }
}

void EraseOldest(prefix_cache_state& state, cached_target& cached) {
  EraseBlock(state, cached, cached.oldest_first.begin()->second);
}

cached_target& LargestCache(prefix_cache_state& state) {
  return std::max_element(state.targets.begin(), state.targets.end(),
                          [](const auto& a, const auto& b) {
                            return a.second.blocks.size() <
                                   b.second.blocks.size();
                          })
      ->second;
}

void AddBlock(prefix_cache_state& state,
              cached_target& cached,
              std::uint64_t block) {
  state.holders[block] = cached.slot;
  const auto known = cached.blocks.find(block);
  if (known != cached.blocks.end()) {
    cached.oldest_first.erase(known->second);
    known->second = cached.next_order;
    cached.oldest_first.emplace(cached.next_order++, block);
    return;
  }
  cached.blocks.emplace(block, cached.next_order);
  cached.oldest_first.emplace(cached.next_order++, block);
  ++state.block_count;
  if (cached.blocks.size() > kMaxBlocksPerTarget) {
    EraseOldest(state, cached);
  } else if (state.block_count > kMaxIndexedBlocks) {
    EraseOldest(state, LargestCache(state));
  }
}

void ClearBlocks(prefix_cache_state& state, cached_target& cached) {
  while (!cached.oldest_first.empty()) {
    EraseOldest(state, cached);
  }
}

void ApplySnapshot(prefix_cache_state& state,
                   cached_target& cached,
                   const cache_events_received& answer) {
  ClearBlocks(state, cached);
  // The snapshot includes the effect of all events before the oldest stored
  // one.
  std::uint64_t last_sequence =
      answer.oldest_sequence > 0 ? answer.oldest_sequence - 1 : 0;
  for (const cache_event& each : answer.events) {
    last_sequence = std::max(last_sequence, each.sequence);
    if (!each.is_eviction) {
      AddBlock(state, cached, each.block);
    }
  }
  cached.last_sequence = last_sequence;
  cached.needs_snapshot = false;
  cached.gaps = 0;
}

// Applies the events after the last applied one. Returns whether events were
// missed.
bool ApplyNewer(prefix_cache_state& state,
                cached_target& cached,
                const cache_events_received& answer) {
  bool has_gap = answer.oldest_sequence > cached.last_sequence + 1;
  for (const cache_event& each : answer.events) {
    if (each.sequence <= cached.last_sequence) {
      continue;
    }
    has_gap = has_gap || each.sequence != cached.last_sequence + 1;
    cached.last_sequence = each.sequence;
    if (each.is_eviction) {
      EraseBlock(state, cached, each.block);
    } else {
      AddBlock(state, cached, each.block);
    }
  }
  return has_gap;
}

double TrustFactor(const cached_target& cached, time_point now) noexcept {
  const duration age = now - cached.updated_at - kFullTrustAge;
  const double by_age =
      age <= duration::zero()
          ? 1
          : std::exp2(-ToSeconds(age) / kTrustHalfLifeSeconds);
  return by_age * std::pow(kTrustPerGap, cached.gaps);
}

}  // namespace internal

cache_verdict ApplyCacheEvents(prefix_cache_state& state,
                               const cache_events_received& answer,
                               std::uint64_t incarnation,
                               time_point now) {
  if (incarnation != 0 && answer.incarnation < incarnation) {
    return cache_verdict::kSupersededIncarnation;
  }
  const auto known = state.targets.find(answer.target);
  const bool is_new = known == state.targets.end() ||
                      known->second.incarnation != answer.incarnation;
  if (known != state.targets.end() &&
      answer.incarnation < known->second.incarnation) {
    return cache_verdict::kSupersededIncarnation;
  }
  if (is_new) {
    EraseTargetCache(state, answer.target);
    state.targets[answer.target] = {.incarnation = answer.incarnation,
                                    .slot = state.next_slot};
    state.slots.emplace(state.next_slot++, answer.target);
  }
  cached_target& cached = state.targets.at(answer.target);
  if (answer.is_snapshot) {
    internal::ApplySnapshot(state, cached, answer);
    cached.updated_at = now;
    return cache_verdict::kAccepted;
  }
  const bool is_old = !answer.events.empty() &&
                      answer.events.back().sequence <= cached.last_sequence;
  if (is_old) {
    return cache_verdict::kOldSequence;
  }
  cached.updated_at = now;
  if (internal::ApplyNewer(state, cached, answer)) {
    cached.needs_snapshot = true;
    cached.gaps = std::min(cached.gaps + 1, internal::kMaxGaps);
    return cache_verdict::kGap;
  }
  return cache_verdict::kAccepted;
}

void EraseTargetCache(prefix_cache_state& state, const target_id& target) {
  const auto found = state.targets.find(target);
  if (found != state.targets.end()) {
    internal::ClearBlocks(state, found->second);
    state.slots.erase(found->second.slot);
    state.targets.erase(found);
  }
}

double ExpectedCachedTokens(const prefix_cache_state& state,
                            const target_id& target,
                            std::span<const std::uint64_t> blocks,
                            time_point now) {
  const auto found = state.targets.find(target);
  if (found == state.targets.end()) {
    return 0;
  }
  const cached_target& cached = found->second;
  const auto missing = std::find_if(blocks.begin(), blocks.end(),
                                    [&cached](std::uint64_t block) {
                                      return !cached.blocks.contains(block);
                                    });
  return static_cast<double>(missing - blocks.begin()) * kBlockTokens *
         internal::TrustFactor(cached, now);
}

std::optional<target_id> FindHolder(const prefix_cache_state& state,
                                    std::span<const std::uint64_t> blocks) {
  // clang-tidy 14 cannot parse the reverse view of libstdc++ 12.
  // NOLINTNEXTLINE(modernize-loop-convert)
  for (auto block = blocks.rbegin(); block != blocks.rend(); ++block) {
    const auto found = state.holders.find(*block);
    if (found != state.holders.end()) {
      return state.slots.at(found->second);
    }
  }
  return std::nullopt;
}

cache_poll NextCachePoll(const prefix_cache_state& state,
                         const target_id& target) {
  const auto found = state.targets.find(target);
  return found == state.targets.end()
             ? cache_poll{0, true}
             : cache_poll{found->second.last_sequence,
                          found->second.needs_snapshot};
}

}  // namespace acaciaferry
