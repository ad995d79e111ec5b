#include "acaciaferry/forwarding/load_ledger.hpp"

#include <xxhash.h>

#include <algorithm>
#include <iterator>

namespace acaciaferry::forwarding {
namespace internal {

// The end of a peer's dispatch is told in a datagram, which may be lost.
constexpr duration kOverdue = std::chrono::seconds(2);
// Datagrams of one VM may overtake each other by this much.
constexpr duration kReorderingSlack = std::chrono::milliseconds(200);
constexpr duration kUtilizationWindow = std::chrono::seconds(2);
constexpr double kPerThousand = 1e-3;
constexpr double kPerMillion = 1e-6;

duration FromMilliseconds(double value) noexcept {
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double, std::milli>(value));
}

duration WaitingOf(std::span<const unfinished_read> reads) noexcept {
  duration total{};
  for (const unfinished_read& each : reads) {
    total += each.in_pass ? duration{} : each.remaining;
  }
  return total;
}

}  // namespace internal

std::uint64_t SaltOfProcess(std::uint64_t incarnation) noexcept {
  constexpr std::uint64_t kLowHalf = 0xFFFF'FFFF;
  return XXH3_64bits(&incarnation, sizeof incarnation) & kLowHalf;
}

duration target_load::Waiting() const noexcept {
  return internal::WaitingOf(reads);
}

void load_ledger::Describe(const target_id& id,
                           const engine_properties& engine) {
  engines_[id] = engine;
  const auto at = queues_.find(id);
  if (at != queues_.end()) {
    at->second.engine = engine;
  }
}

duration load_ledger::PassOf(const queue& target_queue) {
  std::uint32_t writers = 0;
  std::uint64_t context = 0;
  for (const job& each : target_queue.jobs) {
    if (each.writes) {
      ++writers;
      context += each.context_tokens;
    }
  }
  return PassTime(target_queue.engine, writers, context);
}

// A pass reads all that is there when it starts.
void load_ledger::StartPass(queue& target_queue, time_point now) {
  target_queue.pass_started = now;
  target_queue.pass_ends = now + PassOf(target_queue);
  for (unfinished_read& each : target_queue.reads) {
    target_queue.pass_ends += each.remaining;
    each.in_pass = true;
  }
}

void load_ledger::AdvancePasses(queue& target_queue, time_point now) {
  while (target_queue.pass_ends <= now) {
    std::erase_if(target_queue.reads,
                  [](const unfinished_read& each) { return each.in_pass; });
    if (!target_queue.reads.empty()) {
      StartPass(target_queue, target_queue.pass_ends);
      continue;
    }
    // Passes without reads follow each other until now.
    const duration pass = PassOf(target_queue);
    target_queue.pass_started =
        pass > duration{} ? now - (now - target_queue.pass_ends) % pass : now;
    target_queue.pass_ends = target_queue.pass_started + pass;
    return;
  }
}

void load_ledger::AdvanceReads(queue& target_queue, time_point now) {
  auto& reads = target_queue.reads;
  while (!reads.empty() && !HasWriters(target_queue)) {
    const duration elapsed = now - target_queue.advanced_to;
    unfinished_read& first = reads.front();
    if (elapsed < first.remaining) {
      first.remaining -= std::max(elapsed, duration{});
      break;
    }
    target_queue.advanced_to += first.remaining;
    reads.erase(reads.begin());
  }
}

void load_ledger::Advance(queue& target_queue, time_point now) {
  if (!HasWriters(target_queue)) {
    target_queue.runs_passes = false;
    AdvanceReads(target_queue, now);
  }
  if (HasWriters(target_queue)) {
    if (!target_queue.runs_passes) {
      target_queue.runs_passes = true;
      StartPass(target_queue, target_queue.advanced_to);
    }
    AdvancePasses(target_queue, now);
  }
  target_queue.advanced_to = std::max(target_queue.advanced_to, now);
}

void load_ledger::PassEnded(const target_id& id, time_point now) {
  const auto at = queues_.find(id);
  if (at == queues_.end()) {
    return;
  }
  queue& target_queue = at->second;
  Advance(target_queue, now);
  if (!target_queue.runs_passes) {
    return;
  }
  const duration since = now - target_queue.pass_started;
  const duration left = target_queue.pass_ends - now;
  if (since < left) {
    // The end that was expected a little before.
    target_queue.pass_started += since;
    target_queue.pass_ends += since;
  } else {
    target_queue.pass_ends = now;
    AdvancePasses(target_queue, now);
  }
}

duration load_ledger::LeftOf(const queue& target_queue, const job& of) {
  if (of.reading <= duration{}) {
    return {};
  }
  for (const unfinished_read& each : target_queue.reads) {
    if (each.key == of.key) {
      return each.remaining;
    }
  }
  return {};
}

bool load_ledger::IsRead(const queue& target_queue, dispatch_id key) {
  return std::any_of(
      target_queue.reads.begin(), target_queue.reads.end(),
      [key](const unfinished_read& read) { return read.key == key; });
}

bool load_ledger::HasWriters(const queue& target_queue) {
  return std::any_of(target_queue.jobs.begin(), target_queue.jobs.end(),
                     [&](const job& each) {
                       return each.writes && !IsRead(target_queue, each.key);
                     });
}

// A pass with writers reads everything that was there when it began, and what
// comes meanwhile waits for its end. Without writers a pass is a single step,
// so that a new part goes ahead of all reads.
std::vector<unfinished_read>::iterator load_ledger::PlaceOf(queue& target_queue,
                                                            bool is_part) {
  return is_part && !HasWriters(target_queue) ? target_queue.reads.begin()
                                              : target_queue.reads.end();
}

// All that a target has not read is read between two events of its writers. A
// request that is still read has no events yet.
void load_ledger::MarkPaused(queue& target_queue) {
  const duration pause =
      PassOf(target_queue) + internal::WaitingOf(target_queue.reads);
  for (job& each : target_queue.jobs) {
    each.paused =
        each.paused ||
        (each.writes && !IsRead(target_queue, each.key) &&
         each.gap_objective > duration{} && pause > each.gap_objective);
  }
}

void load_ledger::Add(const job& added, time_point now) {
  const auto [at, fresh] = queues_.try_emplace(added.target);
  queue& target_queue = at->second;
  if (fresh) {
    target_queue.advanced_to = now;
    const auto engine = engines_.find(added.target);
    if (engine != engines_.end()) {
      target_queue.engine = engine->second;
    }
  }
  Advance(target_queue, now);
  target_queue.jobs.push_back(added);
  if (added.reading > duration{}) {
    recent_.emplace_back(now, added.reading);
    recent_total_ += added.reading;
    while (recent_.front().first + internal::kUtilizationWindow < now) {
      recent_total_ -= recent_.front().second;
      recent_.pop_front();
    }
    const unfinished_read read{added.key, added.reading, added.is_part,
                               added.due, added.worth,   false,
                               {}};
    target_queue.reads.insert(PlaceOf(target_queue, added.is_part), read);
    MarkPaused(target_queue);
  }
  dispatch& of = dispatches_[added.key];
  of.added = of.targets.empty() ? now : of.added;
  of.latest_end = std::max(of.latest_end, added.latest_end);
  if (std::find(of.targets.begin(), of.targets.end(), added.target) ==
      of.targets.end()) {
    of.targets.push_back(added.target);
  }
  ++jobs_;
}

// What a pass does not read any more makes it shorter.
void load_ledger::DropReads(queue& target_queue,
                            dispatch_id key,
                            time_point now) {
  for (const unfinished_read& each : target_queue.reads) {
    if (each.key == key && each.in_pass) {
      target_queue.pass_ends =
          std::max(now, target_queue.pass_ends - each.remaining);
    }
  }
  std::erase_if(target_queue.reads,
                [&](const unfinished_read& each) { return each.key == key; });
}

void load_ledger::End(dispatch_id key, time_point now) {
  const auto found = dispatches_.find(key);
  if (found == dispatches_.end()) {
    return;
  }
  for (const target_id& id : found->second.targets) {
    const auto at = queues_.find(id);
    if (at == queues_.end()) {
      continue;
    }
    queue& target_queue = at->second;
    Advance(target_queue, now);
    jobs_ -= std::erase_if(target_queue.jobs,
                           [&](const job& each) { return each.key == key; });
    DropReads(target_queue, key, now);
    if (target_queue.jobs.empty()) {
      queues_.erase(at);
    }
  }
  dispatches_.erase(found);
}

void load_ledger::EndAllOf(std::uint64_t salt, time_point now) {
  for (const dispatch_id key : DispatchesOf(salt)) {
    End(key, now);
  }
}

std::size_t load_ledger::KeepOnly(std::uint64_t salt,
                                  std::span<const dispatch_id> live,
                                  time_point now) {
  std::size_t ended = 0;
  for (const dispatch_id key : DispatchesOf(salt)) {
    const bool is_live = std::find(live.begin(), live.end(), key) != live.end();
    if (!is_live &&
        dispatches_.at(key).added + internal::kReorderingSlack < now) {
      End(key, now);
      ++ended;
    }
  }
  return ended;
}

std::vector<dispatch_id> load_ledger::DispatchesOf(std::uint64_t salt) const {
  std::vector<dispatch_id> keys;
  for (const auto& [key, of] : dispatches_) {
    if (SaltOf(key) == salt) {
      keys.push_back(key);
    }
  }
  return keys;
}

std::vector<dispatch_id> load_ledger::FindUnknown(
    std::span<const dispatch_id> keys) const {
  std::vector<dispatch_id> lacking;
  std::copy_if(
      keys.begin(), keys.end(), std::back_inserter(lacking),
      [this](dispatch_id each) { return !dispatches_.contains(each); });
  return lacking;
}

std::vector<job> load_ledger::JobsOf(std::span<const dispatch_id> keys,
                                     time_point now) const {
  std::vector<job> jobs;
  for (const dispatch_id key : keys) {
    const auto found = dispatches_.find(key);
    if (found == dispatches_.end()) {
      continue;
    }
    for (const target_id& id : found->second.targets) {
      const auto at = queues_.find(id);
      if (at == queues_.end()) {
        continue;
      }
      queue current = at->second;
      Advance(current, now);
      for (job each : current.jobs) {
        if (each.key == key) {
          each.reading = LeftOf(current, each);
          jobs.push_back(std::move(each));
        }
      }
    }
  }
  return jobs;
}

double load_ledger::Utilization(std::size_t targets, time_point now) const {
  duration total = recent_total_;
  for (const auto& [at, reading] : recent_) {
    if (at + internal::kUtilizationWindow >= now) {
      break;
    }
    total -= reading;
  }
  return targets == 0
             ? 0
             : ToSeconds(total) / (ToSeconds(internal::kUtilizationWindow) *
                                   static_cast<double>(targets));
}

void load_ledger::Forget(const target_id& id) {
  const auto at = queues_.find(id);
  if (at != queues_.end()) {
    jobs_ -= at->second.jobs.size();
    queues_.erase(at);
  }
  engines_.erase(id);
}

void load_ledger::Expire(time_point now) {
  std::vector<dispatch_id> overdue;
  for (const auto& [key, of] : dispatches_) {
    if (of.latest_end + internal::kOverdue < now) {
      overdue.push_back(key);
    }
  }
  for (const dispatch_id key : overdue) {
    End(key, now);
  }
}

target_load load_ledger::Load(const target_id& id, time_point now) const {
  target_load load;
  const auto at = queues_.find(id);
  if (at == queues_.end()) {
    return load;
  }
  queue current = at->second;
  Advance(current, now);
  load.has_writers = current.runs_passes;
  if (load.has_writers) {
    load.pass_left = current.pass_ends - now;
    const time_point next = current.pass_ends + PassOf(current) +
                            internal::WaitingOf(current.reads);
    for (unfinished_read& each : current.reads) {
      each.done = each.in_pass ? current.pass_ends : next;
    }
  } else {
    time_point done = now;
    for (unfinished_read& each : current.reads) {
      done += each.remaining;
      each.done = done;
    }
  }
  load.reads = std::move(current.reads);
  for (const job& each : at->second.jobs) {
    load.memory_tokens += each.memory_tokens;
    if (!each.writes) {
      ++load.parts;
      continue;
    }
    ++load.writers;
    load.context_tokens += each.context_tokens;
    if (each.gap_objective > duration{} && !each.paused) {
      load.paced.push_back({each.gap_objective, each.worth});
    }
  }
  return load;
}

duration ReadingTime(const engine_properties& engine,
                     std::uint64_t prompt_tokens) noexcept {
  const auto tokens = static_cast<double>(prompt_tokens);
  const double rate = std::max(engine.prefill_tokens_per_ms, 1e-3);
  const double pairs = tokens * tokens / 2 * internal::kPerMillion;
  return internal::FromMilliseconds(tokens / rate +
                                    pairs * engine.prefill_ms_per_m_pairs);
}

duration PassTime(const engine_properties& engine,
                  std::uint32_t writers,
                  std::uint64_t context_tokens) noexcept {
  const double step = engine.step_ms + engine.step_ms_per_decode * writers +
                      engine.step_ms_per_k_context *
                          static_cast<double>(context_tokens) *
                          internal::kPerThousand;
  return internal::FromMilliseconds(step * std::max(engine.steps_per_pass, 1U));
}

}  // namespace acaciaferry::forwarding
