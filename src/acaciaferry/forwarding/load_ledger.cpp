#include "acaciaferry/forwarding/load_ledger.hpp"

#include <algorithm>

namespace acaciaferry::forwarding {
namespace internal {

// The end of a peer's dispatch is told in a datagram, which may be lost.
constexpr duration kOverdue = std::chrono::seconds(2);
constexpr double kPerThousand = 1e-3;
constexpr double kPerMillion = 1e-6;

duration FromMilliseconds(double value) noexcept {
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double, std::milli>(value));
}

}  // namespace internal

void load_ledger::Add(const job& added, time_point now) {
  queue& target_queue = queues_[added.target];
  const time_point begins = std::max(now, target_queue.reading_until);
  target_queue.reading_until = begins + added.reading;
  target_queue.entries.push_back({added, begins, target_queue.reading_until});
  targets_[added.key].push_back(added.target);
  ++jobs_;
}

void load_ledger::End(job_key key, time_point now) {
  const auto found = targets_.find(key);
  if (found == targets_.end()) {
    return;
  }
  for (const target_id& id : found->second) {
    const auto at = queues_.find(id);
    if (at == queues_.end()) {
      continue;
    }
    queue& target_queue = at->second;
    duration unread{};
    jobs_ -= std::erase_if(target_queue.entries, [&](const entry& each) {
      if (each.what.key != key) {
        return false;
      }
      if (each.reading_ends > now) {
        unread += each.reading_ends - std::max(now, each.reading_begins);
      }
      return true;
    });
    target_queue.reading_until -= unread;
    if (target_queue.entries.empty()) {
      queues_.erase(at);
    }
  }
  targets_.erase(found);
}

void load_ledger::Forget(const target_id& id) {
  const auto at = queues_.find(id);
  if (at != queues_.end()) {
    jobs_ -= at->second.entries.size();
    queues_.erase(at);
  }
}

void load_ledger::Expire(time_point now) {
  std::vector<job_key> overdue;
  for (const auto& [id, target_queue] : queues_) {
    for (const entry& each : target_queue.entries) {
      if (each.what.expected_end + internal::kOverdue < now) {
        overdue.push_back(each.what.key);
      }
    }
  }
  for (const job_key key : overdue) {
    End(key, now);
  }
}

target_load load_ledger::Load(const target_id& id,
                              duration strict_gap,
                              time_point now) const {
  target_load load;
  load.reading_until = now;
  const auto at = queues_.find(id);
  if (at == queues_.end()) {
    return load;
  }
  load.reading_until = std::max(now, at->second.reading_until);
  for (const entry& each : at->second.entries) {
    load.memory_tokens += each.what.memory_tokens;
    if (!each.what.writes) {
      load.parts += each.reading_ends > now ? 1 : 0;
      continue;
    }
    ++load.writers;
    load.context_tokens += each.what.context_tokens;
    const duration gap = each.what.target_gap;
    if (gap > duration{}) {
      load.strictest_gap = load.strictest_gap > duration{}
                               ? std::min(load.strictest_gap, gap)
                               : gap;
      load.strict_writers += gap <= strict_gap ? 1 : 0;
    }
  }
  return load;
}

duration ReadingTime(const engine_properties& engine,
                     std::uint64_t prompt_tokens) noexcept {
  const auto tokens = static_cast<double>(prompt_tokens);
  const double rate = std::max(engine.read_tokens_per_ms, 1e-3);
  const double pairs = tokens * tokens / 2 * internal::kPerMillion;
  return internal::FromMilliseconds(tokens / rate +
                                    pairs * engine.read_ms_per_m_pairs);
}

duration PassTime(const engine_properties& engine,
                  std::uint32_t writers,
                  std::uint64_t context_tokens) noexcept {
  const double step = engine.step_ms + engine.step_ms_per_writer * writers +
                      engine.step_ms_per_k_context *
                          static_cast<double>(context_tokens) *
                          internal::kPerThousand;
  return internal::FromMilliseconds(step * std::max(engine.stride, 1U));
}

}  // namespace acaciaferry::forwarding
