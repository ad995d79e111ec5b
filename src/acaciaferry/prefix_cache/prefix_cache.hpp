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

/** Maximum number of blocks in the index, over all targets and for one target.
 */
inline constexpr std::size_t kMaxIndexedBlocks = 65'536;
inline constexpr std::size_t kMaxBlocksPerTarget = 4'096;

/** Upper bound of the memory of one indexed block in bytes: a node and a bucket
 * in each of two hash tables, and a node in `oldest_first`. */
inline constexpr std::size_t kBytesPerBlock = 192;

/**
 * @brief The blocks known to be cached by one incarnation of a target.
 */
struct cached_target {
  std::uint64_t incarnation{};
  /** Identifies the target in `prefix_cache_state::holders`. */
  std::uint32_t slot{};
  /** Sequence number of the last event that was applied. */
  std::uint64_t last_sequence{};
  /** Events were missed, or there was no snapshot yet; the next poll must ask
   * for a snapshot. */
  bool needs_snapshot{true};
  /** Gaps since the last snapshot. */
  unsigned gaps{};
  time_point updated_at{};
  /** The cached blocks, with the key of each in `oldest_first`. */
  std::unordered_map<std::uint64_t, std::uint64_t> blocks;
  std::map<std::uint64_t, std::uint64_t> oldest_first;
  std::uint64_t next_order{};
};

/**
 * @brief Index of cached blocks; at most kMaxIndexedBlocks, which is 12 MB.
 */
struct prefix_cache_state {
  std::unordered_map<target_id, cached_target> targets;
  /** By block, the slot of the target that added it last. */
  std::unordered_map<std::uint64_t, std::uint32_t> holders;
  std::unordered_map<std::uint32_t, target_id> slots;
  std::uint32_t next_slot{};
  std::size_t block_count{};
};

/**
 * @brief Applies a target's response to a poll.
 * @param state The index.
 * @param answer The response; it is untrusted input.
 * @param incarnation The target's incarnation, or zero when it is not known.
 * @param now When the response arrived.
 * @return Whether the response was applied, with or without a gap, or why not.
 */
[[nodiscard]] cache_verdict ApplyCacheEvents(
    prefix_cache_state& state,
    const cache_events_received& answer,
    std::uint64_t incarnation,
    time_point now);

/** @brief Removes a target and its blocks from the index; does nothing when the
 * target is unknown. */
void EraseTargetCache(prefix_cache_state& state, const target_id& target);

/**
 * @brief Estimates how many prompt tokens a target has cached.
 * @param state The index.
 * @param target The target.
 * @param blocks The prompt's chained block hashes, first block first.
 * @param now The time.
 * @return Tokens of the longest cached prefix, scaled down when the knowledge
 * is old or incomplete.
 */
[[nodiscard]] double ExpectedCachedTokens(const prefix_cache_state& state,
                                          const target_id& target,
                                          std::span<const std::uint64_t> blocks,
                                          time_point now);

/** @return The target that last added the longest indexed prefix of a prompt,
 * if any. */
[[nodiscard]] std::optional<target_id> FindHolder(
    const prefix_cache_state& state,
    std::span<const std::uint64_t> blocks);

/**
 * @brief Parameters of the next poll of a target.
 */
struct cache_poll {
  /** Ask for events after this sequence number. */
  std::uint64_t after{};
  bool snapshot{};
};

/** @return The next poll of a target; asks for a snapshot when the target is
 * not in the index. */
[[nodiscard]] cache_poll NextCachePoll(const prefix_cache_state& state,
                                       const target_id& target);

}  // namespace acaciaferry
