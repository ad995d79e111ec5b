#include "acaciaferry/standin/call_journal.hpp"

#include <utility>

namespace acaciaferry::standin {

std::optional<std::string> call_journal::Begin(call_record record) {
  std::unique_lock lock(mutex_);
  if (deduplicates_ && !record.idempotency_key.empty()) {
    const auto inserted =
        answers_.try_emplace(record.idempotency_key, std::nullopt);
    if (!inserted.second) {
      const std::optional<std::string>& answer = inserted.first->second;
      answered_.wait(lock, [&answer] { return answer.has_value(); });
      return answer;
    }
  }
  record.sequence = records_.size() + 1;
  records_.push_back(std::move(record));
  return std::nullopt;
}

void call_journal::End(const std::string& idempotency_key, std::string answer) {
  const std::lock_guard lock(mutex_);
  const auto found = answers_.find(idempotency_key);
  if (found != answers_.end()) {
    found->second = std::move(answer);
    answered_.notify_all();
  }
}

std::vector<call_record> call_journal::After(std::uint64_t sequence) const {
  const std::lock_guard lock(mutex_);
  if (sequence >= records_.size()) {
    return {};
  }
  return {records_.begin() + static_cast<std::ptrdiff_t>(sequence),
          records_.end()};
}

}  // namespace acaciaferry::standin
