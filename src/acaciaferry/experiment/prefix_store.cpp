#include "acaciaferry/experiment/prefix_store.hpp"

#include <algorithm>
#include <utility>

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
    changes_.push_back({++sequence_, true, block});
  }
  Shrink(limit);
}

void prefix_store::Shrink(std::size_t limit) {
  while (order_.size() > limit) {
    changes_.push_back({++sequence_, false, order_.back()});
    index_.erase(order_.back());
    order_.pop_back();
  }
}

std::vector<cache_change> prefix_store::TakeChanges() {
  return std::exchange(changes_, {});
}

}  // namespace acaciaferry
