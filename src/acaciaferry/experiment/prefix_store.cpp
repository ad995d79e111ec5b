#include "acaciaferry/experiment/prefix_store.hpp"

#include <algorithm>

namespace acaciaferry {

std::size_t prefix_store::Match(std::span<const std::uint64_t> blocks) {
  std::size_t matched = 0;
  while (matched < blocks.size() && index_.contains(blocks[matched])) {
    ++matched;
  }
  // The first block ends up most recently used, as no later block is of use
  // without it.
  for (std::size_t i = matched; i > 0; --i) {
    order_.splice(order_.begin(), order_, index_.at(blocks[i - 1]));
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
      order_.splice(order_.begin(), order_, found->second);
      continue;
    }
    order_.push_front(block);
    index_.emplace(block, order_.begin());
    Record(true, block);
  }
  Shrink(limit);
}

void prefix_store::Shrink(std::size_t limit) {
  while (order_.size() > limit) {
    Record(false, order_.back());
    index_.erase(order_.back());
    order_.pop_back();
  }
}

void prefix_store::Record(bool added, std::uint64_t block) {
  changes_.push_back({++sequence_, added, block});
  if (changes_.size() > events_kept_) {
    changes_.pop_front();
  }
}

cache_changes prefix_store::ChangesAfter(std::uint64_t sequence) const {
  cache_changes result;
  result.first = changes_.empty() ? sequence_ + 1 : changes_.front().sequence;
  for (const cache_change& change : changes_) {
    if (change.sequence > sequence) {
      result.events.push_back(change);
    }
  }
  return result;
}

}  // namespace acaciaferry
