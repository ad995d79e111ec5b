#include "acaciaferry/http/exchange.hpp"

namespace acaciaferry {

void exchange::Push(reply_part part) {
  {
    const std::lock_guard lock(mutex_);
    parts_.push_back(std::move(part));
  }
  wake_.notify_one();
}

std::optional<reply_part> exchange::Pop(duration timeout) {
  std::unique_lock lock(mutex_);
  if (!wake_.wait_for(lock, timeout, [this] { return !parts_.empty(); })) {
    return std::nullopt;
  }
  reply_part part = std::move(parts_.front());
  parts_.pop_front();
  return part;
}

void exchange_registry::Add(const request_id& id,
                            std::shared_ptr<exchange> value) {
  const std::lock_guard lock(mutex_);
  exchanges_[id] = std::move(value);
}

void exchange_registry::Remove(const request_id& id) {
  const std::lock_guard lock(mutex_);
  exchanges_.erase(id);
}

std::shared_ptr<exchange> exchange_registry::Find(const request_id& id) {
  const std::lock_guard lock(mutex_);
  const auto found = exchanges_.find(id);
  return found == exchanges_.end() ? nullptr : found->second;
}

}  // namespace acaciaferry
