#include "acaciaferry/standin/batch_scheduler.hpp"

#include <algorithm>
#include <utility>

namespace acaciaferry::standin {

void batch_scheduler::Add(batch_entry entry) {
  const auto position =
      std::upper_bound(entries_.begin(), entries_.end(), entry.priority,
                       [](std::uint32_t priority, const batch_entry& other) {
                         return priority < other.priority;
                       });
  entries_.insert(position, std::move(entry));
}

void batch_scheduler::Remove(const std::string& id) {
  std::erase_if(entries_,
                [&id](const batch_entry& entry) { return entry.id == id; });
}

batch_step batch_scheduler::Plan() const {
  batch_step step;
  std::uint64_t budget = step_tokens_;
  for (const batch_entry& entry : entries_) {
    if (entry.prefill_left == 0 && budget > 0) {
      step.decodes.push_back(entry.id);
      --budget;
    }
  }
  for (const batch_entry& entry : entries_) {
    const std::uint64_t tokens = std::min(entry.prefill_left, budget);
    if (tokens == 0) {
      continue;
    }
    budget -= tokens;
    step.prefills.push_back({entry.id, tokens});
    step.prefill_tokens += tokens;
    // The end of a prefill yields the first token.
    if (tokens == entry.prefill_left) {
      step.decodes.push_back(entry.id);
    }
  }
  return step;
}

std::vector<std::string> batch_scheduler::Apply(const batch_step& step) {
  for (const prefill_chunk& chunk : step.prefills) {
    if (batch_entry* const entry = Find(chunk.id)) {
      entry->prefill_left -= std::min(entry->prefill_left, chunk.tokens);
    }
  }
  std::vector<std::string> finished;
  for (const std::string& id : step.decodes) {
    batch_entry* const entry = Find(id);
    if (entry == nullptr) {
      continue;
    }
    entry->output_left -= std::min<std::uint64_t>(entry->output_left, 1);
    if (entry->output_left == 0) {
      finished.push_back(id);
    }
  }
  for (const std::string& id : finished) {
    Remove(id);
  }
  return finished;
}

bool batch_scheduler::Contains(const std::string& id) const {
  return std::any_of(
      entries_.begin(), entries_.end(),
      [&id](const batch_entry& entry) { return entry.id == id; });
}

std::uint64_t batch_scheduler::QueuedPrefillTokens() const noexcept {
  std::uint64_t sum = 0;
  for (const batch_entry& entry : entries_) {
    sum += entry.prefill_left;
  }
  return sum;
}

batch_entry* batch_scheduler::Find(const std::string& id) {
  const auto found =
      std::find_if(entries_.begin(), entries_.end(),
                   [&id](const batch_entry& entry) { return entry.id == id; });
  return found == entries_.end() ? nullptr : &*found;
}

}  // namespace acaciaferry::standin
