#include "acaciaferry/standin/kv_memory.hpp"

#include <array>
#include <utility>

namespace acaciaferry::standin {

std::string_view ToString(holding_kind kind) noexcept {
  constexpr std::array<std::string_view, 4> kNames{
      "stream", "reservation", "pinned_prefix", "kv_segment"};
  return kNames[static_cast<std::size_t>(kind)];
}

bool kv_memory::Allocate(holding value) {
  const bool fits = value.tokens <= capacity_ - held_;
  if (!fits || holdings_.contains(value.id)) {
    return false;
  }
  held_ += value.tokens;
  while (held_ + CachedTokens() > capacity_) {
    EvictOldest();
  }
  const std::string id = value.id;
  holdings_.emplace(id, std::move(value));
  return true;
}

bool kv_memory::Release(const std::string& id) {
  const auto found = holdings_.find(id);
  if (found == holdings_.end()) {
    return false;
  }
  held_ -= found->second.tokens;
  holdings_.erase(found);
  return true;
}

bool kv_memory::Renew(const std::string& id,
                      time_point now,
                      std::optional<duration> lease) {
  const auto found = holdings_.find(id);
  if (found == holdings_.end() || found->second.lease == duration{}) {
    return false;
  }
  found->second.lease = lease.value_or(found->second.lease);
  found->second.lease_end = now + found->second.lease;
  return true;
}

std::vector<std::string> kv_memory::FreeLapsedLeases(time_point now) {
  std::vector<std::string> lapsed;
  for (const auto& [id, value] : holdings_) {
    if (value.lease != duration{} && value.lease_end <= now) {
      lapsed.push_back(id);
    }
  }
  for (const std::string& id : lapsed) {
    Release(id);
  }
  return lapsed;
}

const holding* kv_memory::Find(const std::string& id) const {
  const auto found = holdings_.find(id);
  return found == holdings_.end() ? nullptr : &found->second;
}

std::size_t kv_memory::MatchPrefix(std::span<const std::uint64_t> blocks) {
  std::size_t matched = 0;
  while (matched < blocks.size() && blocks_.contains(blocks[matched])) {
    ++matched;
  }
  // The first block ends up as the most recently used one, since the later
  // blocks of a prefix are of no use without it.
  for (std::size_t i = matched; i > 0; --i) {
    const auto position = blocks_.at(blocks[i - 1]);
    recency_.splice(recency_.begin(), recency_, position);
  }
  return matched;
}

void kv_memory::CachePrefix(std::span<const std::uint64_t> blocks) {
  const std::size_t room = (capacity_ - held_) / block_tokens_;
  const std::span kept = blocks.first(std::min(room, blocks.size()));
  const std::size_t matched = MatchPrefix(kept);
  for (std::size_t i = kept.size(); i > matched; --i) {
    const std::uint64_t block = kept[i - 1];
    if (blocks_.contains(block)) {
      continue;
    }
    while (CachedTokens() + block_tokens_ + held_ > capacity_) {
      EvictOldest();
    }
    recency_.push_front(block);
    blocks_[block] = recency_.begin();
    changes_.push_back({cache_operation::kAdd, block});
  }
  static_cast<void>(MatchPrefix(kept));
}

std::vector<cache_change> kv_memory::TakeChanges() {
  return std::exchange(changes_, {});
}

std::vector<std::uint64_t> kv_memory::CachedBlocks() const {
  return {recency_.begin(), recency_.end()};
}

void kv_memory::EvictOldest() {
  const std::uint64_t block = recency_.back();
  recency_.pop_back();
  blocks_.erase(block);
  changes_.push_back({cache_operation::kEvict, block});
}

}  // namespace acaciaferry::standin
