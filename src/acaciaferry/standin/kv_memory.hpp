#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "acaciaferry/core/time.hpp"

namespace acaciaferry::standin {

enum class holding_kind { kStream, kReservation, kPinnedPrefix, kKvSegment };

/** @return The kind as `GET /v1/holdings` prints it. */
[[nodiscard]] std::string_view ToString(holding_kind kind) noexcept;

/**
 * @brief Memory that is allocated for an owner.
 */
struct holding {
  std::string id;
  holding_kind kind{holding_kind::kStream};
  std::string owner;
  std::uint64_t tokens{};
  /** Passing it frees nothing; reclamation has to release the holding. */
  std::optional<time_point> deadline;
  /** Length of the lease; zero when the holding has none. */
  duration lease{};
  time_point lease_end{};
};

enum class cache_operation { kAdd, kEvict };

/** @brief A block that entered or left the prefix cache. */
struct cache_change {
  cache_operation operation{cache_operation::kAdd};
  std::uint64_t block{};
};

/**
 * @brief The KV memory of one engine: holdings, and a prefix cache in what
 * they leave free. Cached blocks give way to holdings.
 */
class kv_memory {
 public:
  /**
   * @param capacity_tokens Size of the memory.
   * @param block_tokens Size of a cached block.
   */
  kv_memory(std::uint64_t capacity_tokens, std::uint64_t block_tokens)
      : capacity_(capacity_tokens), block_tokens_(block_tokens) {}

  /** @return Whether the holding fitted and its id was free. */
  [[nodiscard]] bool Allocate(holding value);

  /** @return Whether there was a holding of that id. */
  bool Release(const std::string& id);

  /**
   * @brief Renews a lease.
   * @param lease The new length, or nothing to keep the one it had.
   * @return Whether there was a leased holding of that id.
   */
  [[nodiscard]] bool Renew(const std::string& id,
                           time_point now,
                           std::optional<duration> lease = std::nullopt);

  /** @return The ids of the holdings that were freed. */
  std::vector<std::string> FreeLapsedLeases(time_point now);

  /** @return The holding, or null. */
  [[nodiscard]] const holding* Find(const std::string& id) const;

  /** @return Number of leading blocks that are cached; marks them as used. */
  [[nodiscard]] std::size_t MatchPrefix(std::span<const std::uint64_t> blocks);

  /** @brief Caches blocks, first block first, as far as memory allows. */
  void CachePrefix(std::span<const std::uint64_t> blocks);

  /** @return The changes of the cache since the last call. */
  [[nodiscard]] std::vector<cache_change> TakeChanges();

  /** @return All cached blocks, most recently used first. */
  [[nodiscard]] std::vector<std::uint64_t> CachedBlocks() const;

  [[nodiscard]] const std::map<std::string, holding>& Holdings() const {
    return holdings_;
  }
  [[nodiscard]] std::uint64_t HeldTokens() const noexcept { return held_; }
  [[nodiscard]] std::uint64_t CapacityTokens() const noexcept {
    return capacity_;
  }

 private:
  [[nodiscard]] std::uint64_t CachedTokens() const {
    return recency_.size() * block_tokens_;
  }
  void EvictOldest();

  const std::uint64_t capacity_;
  const std::uint64_t block_tokens_;
  std::uint64_t held_{};
  std::map<std::string, holding> holdings_;
  /** Most recently used first. */
  std::list<std::uint64_t> recency_;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> blocks_;
  std::vector<cache_change> changes_;
};

}  // namespace acaciaferry::standin
