#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <span>
#include <unordered_map>
#include <vector>

namespace acaciaferry {

/** A cache event: a block was added or evicted. */
struct cache_change {
  std::uint64_t sequence{};
  bool added{};
  std::uint64_t block{};
};

/** The reply to a poll for cache events. */
struct cache_changes {
  /** Sequence number of the oldest retained event. When it is more than one
   * above the reader's last sequence number, the reader has missed events. */
  std::uint64_t oldest_sequence{1};
  std::vector<cache_change> events;
};

/**
 * @brief An LRU cache of the blocks of finished prompts in a simulated engine.
 */
class prefix_store {
 public:
  /** @param max_events Cache events retained for readers. */
  explicit prefix_store(std::size_t max_events) : max_events_(max_events) {}

  /** @return The number of leading blocks of the prompt that are cached; they
   * become the most recently used. */
  [[nodiscard]] std::size_t Match(std::span<const std::uint64_t> blocks);

  /**
   * @brief Caches leading blocks of a prompt.
   * @param blocks The chained hashes of the prompt.
   * @param limit Blocks that the cache may hold in total.
   */
  void Add(std::span<const std::uint64_t> blocks, std::size_t limit);

  /** @brief Evicts the least recently used blocks beyond a limit. */
  void Shrink(std::size_t limit);

  /** @return The number of cached blocks. */
  [[nodiscard]] std::size_t BlockCount() const noexcept {
    return lru_order_.size();
  }

  /** @return The retained events after a sequence number, in order. */
  [[nodiscard]] cache_changes ChangesAfter(std::uint64_t sequence) const;

 private:
  void RecordChange(bool added, std::uint64_t block);

  std::size_t max_events_;
  std::list<std::uint64_t> lru_order_;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> index_;
  std::deque<cache_change> changes_;
  std::uint64_t sequence_{};
};

}  // namespace acaciaferry
