#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <span>
#include <unordered_map>
#include <vector>

namespace acaciaferry {

/** One entry of an engine's list of cache events. */
struct cache_change {
  std::uint64_t sequence{};
  bool added{};
  std::uint64_t block{};
};

/** The cache events that an engine still keeps, as a poll gets them. */
struct cache_changes {
  /** Sequence of the oldest event kept; later than the reader's position plus
   * one when the reader has a gap. */
  std::uint64_t oldest_sequence{1};
  std::vector<cache_change> events;
};

/**
 * @brief The finished prefixes that a modelled engine keeps, least recently
 * used out first.
 */
class prefix_store {
 public:
  /** @param max_events Cache events kept for readers. */
  explicit prefix_store(std::size_t max_events) : max_events_(max_events) {}

  /** @return How many leading blocks of the prompt are kept; they are marked
   * as used. */
  [[nodiscard]] std::size_t Match(std::span<const std::uint64_t> blocks);

  /**
   * @brief Keeps leading blocks of a prompt.
   * @param blocks The chained hashes of the prompt.
   * @param limit Blocks that may be kept in all.
   */
  void Add(std::span<const std::uint64_t> blocks, std::size_t limit);

  /** @brief Drops the least recently used blocks beyond a limit. */
  void Shrink(std::size_t limit);

  /** @return Blocks kept. */
  [[nodiscard]] std::size_t BlockCount() const noexcept {
    return lru_order_.size();
  }

  /** @return The events after a sequence that are still kept, in order. */
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
