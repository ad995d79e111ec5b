#include "acaciaferry/experiment/prefix_store.hpp"

#include <algorithm>

namespace acaciaferry {

std::size_t prefix_store::Match(std::span<const std::uint64_t> blocks) {
  std::size_t matched = 0;
  while (matched < blocks.size() && index_.contains(blocks[matched])) {
    ++matched;
  }
  // The first block becomes the most recently used, because later blocks cannot
  // match without it.
  for (std::size_t i = matched; i > 0; --i) {
    lru_order_.splice(lru_order_.begin(), lru_order_, index_.at(blocks[i - 1]));
  }
  return matched;
}

void prefix_store::Add(std::span<const std::uint64_t> blocks,
                       std::size_t limit) {
  const auto kept = blocks.first(std::min(blocks.size(), limit));
  for (std::size_t i = kept.size(); i > 0; --i) {
    const std::uint64_t block = kept[i - 1];
    const auto found = index_.find(block);
    if (found != index_.end()) {
      lru_order_.splice(lru_order_.begin(), lru_order_, found->second);
      continue;
    }
    lru_order_.push_front(block);
    index_.emplace(block, lru_order_.begin());
    RecordChange(true, block);
  }
  Shrink(limit);
}

void prefix_store::Shrink(std::size_t limit) {
  while (lru_order_.size() > limit) {
    RecordChange(false, lru_order_.back());
    index_.erase(lru_order_.back());
    lru_order_.pop_back();
  }
}

void prefix_store::RecordChange(bool added, std::uint64_t block) {
  changes_.push_back({++sequence_, added, block});
  if (changes_.size() > max_events_) {
    changes_.pop_front();
  }
}

cache_changes prefix_store::ChangesAfter(std::uint64_t sequence) const {
  cache_changes result;
  result.oldest_sequence =
      changes_.empty() ? sequence_ + 1 : changes_.front().sequence;
  for (const cache_change& change : changes_) {
    if (change.sequence > sequence) {
      result.events.push_back(change);
    }
  }
  return result;
}

}  // namespace acaciaferry
