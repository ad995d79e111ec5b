#include "acaciaferry/net/memory_account.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace acaciaferry::net {
namespace internal {
namespace {

// Holdings below this are dropped after all others: a stream holds no more.
constexpr std::size_t kSmallHolding = 64U << 10U;

}  // namespace
}  // namespace internal

void memory_account::Shrink() {
  const auto rank = [](const held_memory* holding) {
    const bool is_small = holding->bytes_ < internal::kSmallHolding;
    return std::tuple(is_small, is_small ? held_content{} : holding->what_,
                      ~holding->bytes_);
  };
  while (held_ > limit_) {
    const auto first = std::min_element(
        holdings_.begin(), holdings_.end(),
        [&](const auto* a, const auto* b) { return rank(a) < rank(b); });
    if (first == holdings_.end() || (*first)->bytes_ == 0) {
      return;
    }
    held_memory& dropped = **first;
    dropped.dropped_ = true;
    held_ -= std::exchange(dropped.bytes_, 0);
    ++dropped_;
    dropped.on_dropped_();
  }
}

held_memory::held_memory(memory_account* account,
                         std::function<void()> on_dropped)
    : account_(account), on_dropped_(std::move(on_dropped)) {
  if (account_ != nullptr) {
    position_ = account_->holdings_.insert(account_->holdings_.end(), this);
  }
}

held_memory::~held_memory() {
  if (account_ != nullptr) {
    account_->held_ -= bytes_;
    account_->holdings_.erase(position_);
  }
}

void held_memory::Set(std::size_t bytes, held_content what) {
  if (account_ == nullptr || dropped_) {
    return;
  }
  account_->held_ += bytes - bytes_;
  bytes_ = bytes;
  what_ = what;
  account_->Shrink();
}

}  // namespace acaciaferry::net
