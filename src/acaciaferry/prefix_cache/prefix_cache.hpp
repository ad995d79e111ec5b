#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <unordered_map>

#include "acaciaferry/core/name.hpp"
#include "acaciaferry/core/time.hpp"
#include "acaciaferry/prefix_cache/event.hpp"

namespace acaciaferry {

/** Prompt tokens in one block. */
inline constexpr double kBlockTokens = 2'048;

/** Blocks that the index keeps, over all targets and of one target. */
inline constexpr std::size_t kMaxIndexedBlocks = 65'536;
inline constexpr std::size_t kMaxBlocksPerTarget = 4'096;

/** Upper bound of the memory of one indexed block in bytes: its node and
 * bucket in each of two hash tables and its node in the order. */
inline constexpr std::size_t kBytesPerBlock = 192;

/**
 * @brief What one incarnation of a target is known to have cached.
 */
struct cached_target {
  std::uint64_t incarnation{};
  /** Names the target in `prefix_cache_state::holders`. */
  std::uint32_t slot{};
  /** Sequence number of the last event that was applied. */
  std::uint64_t last_sequence{};
  /** Events were missed; only a snapshot tells what they were. */
  bool needs_snapshot{true};
  /** Gaps since the last snapshot. */
  unsigned gaps{};
  time_point updated_at{};
  /** Blocks with the place of each in `oldest_first`. */
  std::unordered_map<std::uint64_t, std::uint64_t> blocks;
  std::map<std::uint64_t, std::uint64_t> oldest_first;
  std::uint64_t next_order{};
};

/**
 * @brief Index of cached blocks; at most kMaxIndexedBlocks, which is 12 MB.
 */
struct prefix_cache_state {
  std::unordered_map<target_id, cached_target> targets;
  /** The slot of a target that has the block: the last that added it. */
  std::unordered_map<std::uint64_t, std::uint32_t> holders;
  std::unordered_map<std::uint32_t, target_id> slots;
  std::uint32_t next_slot{};
  std::size_t block_count{};
};

/**
 * @brief Applies a target's answer to a poll.
 * @param state The index.
 * @param answer The answer, from outside.
 * @param incarnation The target's incarnation, or zero when it is not known.
 * @param now When it arrived.
 * @return What became of it.
 */
[[nodiscard]] cache_verdict ApplyCacheEvents(
    prefix_cache_state& state,
    const cache_events_received& answer,
    std::uint64_t incarnation,
    time_point now);

/** @brief Forgets a target and its blocks; does nothing when unknown. */
void EraseTargetCache(prefix_cache_state& state, const target_id& target);

/**
 * @brief How many tokens of a prompt a target is expected to have cached.
 * @param state The index.
 * @param target The target.
 * @param blocks The prompt's chained block hashes, first block first.
 * @param now The time.
 * @return Tokens, reduced by distrust of old or incomplete knowledge.
 */
[[nodiscard]] double ExpectedCachedTokens(const prefix_cache_state& state,
                                          const target_id& target,
                                          std::span<const std::uint64_t> blocks,
                                          time_point now);

/** @return A target that holds the longest indexed part of a prompt. */
[[nodiscard]] std::optional<target_id> FindHolder(
    const prefix_cache_state& state,
    std::span<const std::uint64_t> blocks);

/**
 * @brief What to ask a target for next.
 */
struct cache_poll {
  /** Events after this sequence number. */
  std::uint64_t after{};
  bool snapshot{};
};

/** @return The next poll of a target; a snapshot when nothing is known. */
[[nodiscard]] cache_poll NextCachePoll(const prefix_cache_state& state,
                                       const target_id& target);

}  // namespace acaciaferry
