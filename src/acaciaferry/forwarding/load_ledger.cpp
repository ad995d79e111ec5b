#include "acaciaferry/forwarding/load_ledger.hpp"

#include <xxhash.h>

#include <algorithm>
#include <iterator>

namespace acaciaferry::forwarding {
namespace internal {

// The message that a peer's dispatch has ended may be lost, so the dispatch
// expires this long after its deadline.
constexpr duration kExpiryGrace = std::chrono::seconds(2);
// Datagrams of one VM may be reordered by up to this much.
constexpr duration kReorderingSlack = std::chrono::milliseconds(200);

}  // namespace internal

std::uint64_t ProcessPrefix(std::uint64_t incarnation) noexcept {
  constexpr std::uint64_t kLowHalf = 0xFFFF'FFFF;
  return XXH3_64bits(&incarnation, sizeof incarnation) & kLowHalf;
}

void load_ledger::SetEngine(const target_id& id,
                            const engine_properties& engine) {
  engines_[id] = engine;
  const auto at = queues_.find(id);
  if (at != queues_.end()) {
    at->second.engine = engine;
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
  CountSlot(added.target, target_queue, added);
  if (added.prefill_time > duration{}) {
    prefill_meter_.Record(added.key, added.target, added.prefill_time, now);
    const pending_prefill prefill{added.key,
                                  added.prefill_time,
                                  added.is_part,
                                  added.first_event_due,
                                  added.weight,
                                  false,
                                  {}};
    target_queue.prefills.insert(InsertPosition(target_queue, added.is_part),
                                 prefill);
    MarkExceededGaps(target_queue);
  }
  dispatch& known = dispatches_[added.key];
  known.added = known.targets.empty() ? now : known.added;
  known.deadline = std::max(known.deadline, added.deadline);
  if (std::find(known.targets.begin(), known.targets.end(), added.target) ==
      known.targets.end()) {
    known.targets.push_back(added.target);
  }
  ++jobs_;
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
    held_slots freed;
    jobs_ -= std::erase_if(target_queue.jobs, [&](const job& each) {
      const bool ends = each.key == key;
      if (ends && each.is_decode) {
        ++freed.all;
        freed.by_long_prompts += IsLongPrompt(each.weight) ? 1 : 0;
      }
      return ends;
    });
    FreeSlots(id, target_queue, freed);
    prefill_meter_.Subtract(key, id, UnreadPrefill(target_queue, key));
    RemovePrefills(target_queue, key, now);
    if (target_queue.jobs.empty()) {
      queues_.erase(at);
    }
  }
  dispatches_.erase(found);
}

void load_ledger::EndProcess(std::uint64_t prefix, time_point now) {
  for (const dispatch_id key : DispatchesOf(prefix)) {
    End(key, now);
  }
}

std::size_t load_ledger::Reconcile(std::uint64_t prefix,
                                   std::span<const dispatch_id> live,
                                   time_point now) {
  std::size_t ended = 0;
  for (const dispatch_id key : DispatchesOf(prefix)) {
    const bool is_live = std::find(live.begin(), live.end(), key) != live.end();
    if (!is_live &&
        dispatches_.at(key).added + internal::kReorderingSlack < now) {
      End(key, now);
      ++ended;
    }
  }
  return ended;
}

std::vector<dispatch_id> load_ledger::DispatchesOf(std::uint64_t prefix) const {
  std::vector<dispatch_id> keys;
  for (const auto& [key, known] : dispatches_) {
    if (ProcessPrefixOf(key) == prefix) {
      keys.push_back(key);
    }
  }
  return keys;
}

std::vector<dispatch_id> load_ledger::FindUnknown(
    std::span<const dispatch_id> keys) const {
  std::vector<dispatch_id> unknown;
  std::copy_if(
      keys.begin(), keys.end(), std::back_inserter(unknown),
      [this](dispatch_id each) { return !dispatches_.contains(each); });
  return unknown;
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
          each.prefill_time = RemainingPrefill(current, each);
          jobs.push_back(std::move(each));
        }
      }
    }
  }
  return jobs;
}

void load_ledger::RemoveTarget(const target_id& id) {
  const auto at = queues_.find(id);
  if (at != queues_.end()) {
    jobs_ -= at->second.jobs.size();
    FreeSlots(id, at->second, at->second.slots);
    queues_.erase(at);
  }
  prefill_meter_.Forget(id);
  engines_.erase(id);
  pools_.erase(id);
}

void load_ledger::Expire(time_point now) {
  std::vector<dispatch_id> overdue;
  for (const auto& [key, known] : dispatches_) {
    if (known.deadline + internal::kExpiryGrace < now) {
      overdue.push_back(key);
    }
  }
  for (const dispatch_id key : overdue) {
    End(key, now);
  }
}

}  // namespace acaciaferry::forwarding
