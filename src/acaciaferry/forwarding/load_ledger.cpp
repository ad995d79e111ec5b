#include "acaciaferry/forwarding/load_ledger.hpp"

#include <xxhash.h>

#include <algorithm>
#include <iterator>

namespace acaciaferry::forwarding {
namespace internal {

// Weight above which a prompt that would be late is refused: the time that it
// takes from other requests is worth more than its late response.
constexpr double kLongPromptWeight = 3;
// The message that a peer's dispatch has ended may be lost, so the dispatch
// expires this long after its deadline.
constexpr duration kExpiryGrace = std::chrono::seconds(2);
// Datagrams of one VM may be reordered by up to this much.
constexpr duration kReorderingSlack = std::chrono::milliseconds(200);
constexpr duration kUtilizationWindow = std::chrono::seconds(2);
constexpr double kPerThousand = 1e-3;
constexpr double kPerMillion = 1e-6;

duration FromMilliseconds(double value) noexcept {
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double, std::milli>(value));
}

duration QueuedPrefillOf(std::span<const pending_prefill> prefills) noexcept {
  duration total{};
  for (const pending_prefill& each : prefills) {
    total += each.in_pass ? duration{} : each.remaining;
  }
  return total;
}

}  // namespace internal

std::uint64_t ProcessPrefix(std::uint64_t incarnation) noexcept {
  constexpr std::uint64_t kLowHalf = 0xFFFF'FFFF;
  return XXH3_64bits(&incarnation, sizeof incarnation) & kLowHalf;
}

duration target_load::QueuedPrefill() const noexcept {
  return internal::QueuedPrefillOf(prefills);
}

bool IsLongPrompt(double weight) noexcept {
  return weight > internal::kLongPromptWeight;
}

held_slots load_ledger::SlotsOfPool(const pool_id& pool) const {
  const auto at = slots_by_pool_.find(pool);
  return at == slots_by_pool_.end() ? held_slots{} : at->second;
}

held_slots load_ledger::SlotsOfTarget(const target_id& id) const {
  const auto at = queues_.find(id);
  return at == queues_.end() ? held_slots{} : at->second.slots;
}

const pool_id* load_ledger::PoolOf(const target_id& id) const {
  const auto at = pools_.find(id);
  return at == pools_.end() ? nullptr : &at->second;
}

std::optional<slot_use> load_ledger::SlotOf(dispatch_id key) const {
  const auto found = dispatches_.find(key);
  if (found == dispatches_.end() || found->second.targets.empty()) {
    return std::nullopt;
  }
  // The decode target comes first among those of a dispatch.
  const pool_id* pool = PoolOf(found->second.targets.front());
  if (pool == nullptr) {
    return std::nullopt;
  }
  return slot_use{*pool, found->second.added};
}

void load_ledger::SetPool(const target_id& id, const pool_id& pool) {
  const auto [known, is_new] = pools_.try_emplace(id, pool);
  if (!is_new && known->second == pool) {
    return;
  }
  const held_slots held = SlotsOfTarget(id);
  if (!is_new) {
    held_slots& before = slots_by_pool_[known->second];
    before.all -= held.all;
    before.by_long_prompts -= held.by_long_prompts;
    known->second = pool;
  }
  held_slots& after = slots_by_pool_[pool];
  after.all += held.all;
  after.by_long_prompts += held.by_long_prompts;
}

void load_ledger::CountSlot(const target_id& id,
                            queue& target_queue,
                            const job& added) {
  if (!added.is_decode) {
    return;
  }
  const std::uint32_t by_long = IsLongPrompt(added.weight) ? 1 : 0;
  ++target_queue.slots.all;
  target_queue.slots.by_long_prompts += by_long;
  if (const pool_id* pool = PoolOf(id)) {
    held_slots& held = slots_by_pool_[*pool];
    ++held.all;
    held.by_long_prompts += by_long;
  }
}

void load_ledger::FreeSlots(const target_id& id,
                            queue& target_queue,
                            held_slots freed) {
  target_queue.slots.all -= freed.all;
  target_queue.slots.by_long_prompts -= freed.by_long_prompts;
  if (const pool_id* pool = PoolOf(id)) {
    held_slots& held = slots_by_pool_[*pool];
    held.all -= freed.all;
    held.by_long_prompts -= freed.by_long_prompts;
  }
}

void load_ledger::SetEngine(const target_id& id,
                            const engine_properties& engine) {
  engines_[id] = engine;
  const auto at = queues_.find(id);
  if (at != queues_.end()) {
    at->second.engine = engine;
  }
}

duration load_ledger::PassTimeOf(const queue& target_queue) {
  std::uint32_t decodes = 0;
  std::uint64_t context = 0;
  for (const job& each : target_queue.jobs) {
    if (each.is_decode) {
      ++decodes;
      context += each.context_tokens;
    }
  }
  return PassTime(target_queue.engine, decodes, context);
}

// A pass prefills everything that is queued when it starts.
void load_ledger::StartPass(queue& target_queue, time_point now) {
  target_queue.pass_started = now;
  target_queue.pass_ends = now + PassTimeOf(target_queue);
  for (pending_prefill& each : target_queue.prefills) {
    target_queue.pass_ends += each.remaining;
    each.in_pass = true;
  }
}

void load_ledger::AdvancePasses(queue& target_queue, time_point now) {
  while (target_queue.pass_ends <= now) {
    std::erase_if(target_queue.prefills,
                  [](const pending_prefill& each) { return each.in_pass; });
    if (!target_queue.prefills.empty()) {
      StartPass(target_queue, target_queue.pass_ends);
      continue;
    }
    // Skip the passes without prefill that have completed since.
    const duration pass = PassTimeOf(target_queue);
    target_queue.pass_started =
        pass > duration{} ? now - (now - target_queue.pass_ends) % pass : now;
    target_queue.pass_ends = target_queue.pass_started + pass;
    return;
  }
}

void load_ledger::AdvancePrefills(queue& target_queue, time_point now) {
  auto& prefills = target_queue.prefills;
  while (!prefills.empty() && !HasDecodes(target_queue)) {
    const duration elapsed = now - target_queue.advanced_to;
    pending_prefill& first = prefills.front();
    if (elapsed < first.remaining) {
      first.remaining -= std::max(elapsed, duration{});
      break;
    }
    target_queue.advanced_to += first.remaining;
    prefills.erase(prefills.begin());
  }
}

void load_ledger::Advance(queue& target_queue, time_point now) {
  if (!HasDecodes(target_queue)) {
    target_queue.runs_passes = false;
    AdvancePrefills(target_queue, now);
  }
  if (HasDecodes(target_queue)) {
    if (!target_queue.runs_passes) {
      target_queue.runs_passes = true;
      StartPass(target_queue, target_queue.advanced_to);
    }
    AdvancePasses(target_queue, now);
  }
  target_queue.advanced_to = std::max(target_queue.advanced_to, now);
}

void load_ledger::RecordPassEnd(const target_id& id, time_point now) {
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
    // The pass boundary that was predicted to have just passed.
    target_queue.pass_started += since;
    target_queue.pass_ends += since;
  } else {
    target_queue.pass_ends = now;
    AdvancePasses(target_queue, now);
  }
}

duration load_ledger::RemainingPrefill(const queue& target_queue,
                                       const job& wanted) {
  if (wanted.prefill_time <= duration{}) {
    return {};
  }
  for (const pending_prefill& each : target_queue.prefills) {
    if (each.key == wanted.key) {
      return each.remaining;
    }
  }
  return {};
}

bool load_ledger::IsPrefilling(const queue& target_queue, dispatch_id key) {
  return std::any_of(
      target_queue.prefills.begin(), target_queue.prefills.end(),
      [key](const pending_prefill& prefill) { return prefill.key == key; });
}

bool load_ledger::HasDecodes(const queue& target_queue) {
  return std::any_of(
      target_queue.jobs.begin(), target_queue.jobs.end(), [&](const job& each) {
        return each.is_decode && !IsPrefilling(target_queue, each.key);
      });
}

// A pass with decodes prefills everything that was queued when it began; what
// arrives meanwhile waits for the next pass. Without decodes a pass is a single
// step, so a new part overtakes all queued prefills.
std::vector<pending_prefill>::iterator load_ledger::InsertPosition(
    queue& target_queue,
    bool is_part) {
  return is_part && !HasDecodes(target_queue) ? target_queue.prefills.begin()
                                              : target_queue.prefills.end();
}

// Everything that is queued at a target is prefilled between two events of its
// decodes. A request that is still being prefilled has no events yet.
void load_ledger::MarkExceededGaps(queue& target_queue) {
  const duration pause = PassTimeOf(target_queue) +
                         internal::QueuedPrefillOf(target_queue.prefills);
  for (job& each : target_queue.jobs) {
    each.gap_exceeded =
        each.gap_exceeded ||
        (each.is_decode && !IsPrefilling(target_queue, each.key) &&
         each.gap_objective > duration{} && pause > each.gap_objective);
  }
}

void load_ledger::RecordPrefill(const job& added, time_point now) {
  if (uncounted_.contains(added.target)) {
    return;
  }
  recent_prefills_.push_back({now, added.prefill_time, added.target});
  recent_prefill_time_ += added.prefill_time;
  while (recent_prefills_.front().at + internal::kUtilizationWindow < now) {
    recent_prefill_time_ -= recent_prefills_.front().time;
    recent_prefills_.pop_front();
  }
}

void load_ledger::SetUncounted(std::set<target_id> targets) {
  uncounted_ = std::move(targets);
  if (uncounted_.empty()) {
    return;
  }
  std::erase_if(recent_prefills_, [this](const recent_prefill& each) {
    const bool is_uncounted = uncounted_.contains(each.target);
    if (is_uncounted) {
      recent_prefill_time_ -= each.time;
    }
    return is_uncounted;
  });
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
    RecordPrefill(added, now);
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

// Removing a prefill from the running pass shortens the pass.
void load_ledger::RemovePrefills(queue& target_queue,
                                 dispatch_id key,
                                 time_point now) {
  for (const pending_prefill& each : target_queue.prefills) {
    if (each.key == key && each.in_pass) {
      target_queue.pass_ends =
          std::max(now, target_queue.pass_ends - each.remaining);
    }
  }
  std::erase_if(target_queue.prefills,
                [&](const pending_prefill& each) { return each.key == key; });
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

double load_ledger::Utilization(std::size_t targets, time_point now) const {
  duration total = recent_prefill_time_;
  for (const recent_prefill& each : recent_prefills_) {
    if (each.at + internal::kUtilizationWindow >= now) {
      break;
    }
    total -= each.time;
  }
  return targets == 0
             ? 0
             : ToSeconds(total) / (ToSeconds(internal::kUtilizationWindow) *
                                   static_cast<double>(targets));
}

void load_ledger::RemoveTarget(const target_id& id) {
  const auto at = queues_.find(id);
  if (at != queues_.end()) {
    jobs_ -= at->second.jobs.size();
    FreeSlots(id, at->second, at->second.slots);
    queues_.erase(at);
  }
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

target_load load_ledger::Load(const target_id& id, time_point now) const {
  target_load load;
  const auto at = queues_.find(id);
  if (at == queues_.end()) {
    return load;
  }
  queue current = at->second;
  Advance(current, now);
  load.has_decodes = current.runs_passes;
  if (load.has_decodes) {
    load.pass_remaining = current.pass_ends - now;
    const time_point next = current.pass_ends + PassTimeOf(current) +
                            internal::QueuedPrefillOf(current.prefills);
    for (pending_prefill& each : current.prefills) {
      each.done_at = each.in_pass ? current.pass_ends : next;
    }
  } else {
    time_point done_at = now;
    for (pending_prefill& each : current.prefills) {
      done_at += each.remaining;
      each.done_at = done_at;
    }
  }
  load.prefills = std::move(current.prefills);
  for (const job& each : at->second.jobs) {
    load.memory_tokens += each.memory_tokens;
    if (!each.is_decode) {
      ++load.prefill_parts;
      continue;
    }
    ++load.decodes;
    load.context_tokens += each.context_tokens;
    if (each.gap_objective > duration{} && !each.gap_exceeded) {
      load.paced_decodes.push_back({each.gap_objective, each.weight});
    }
  }
  return load;
}

duration PrefillTime(const engine_properties& engine,
                     std::uint64_t prompt_tokens) noexcept {
  const auto tokens = static_cast<double>(prompt_tokens);
  const double rate = std::max(engine.prefill_tokens_per_ms, 1e-3);
  const double pairs = tokens * tokens / 2 * internal::kPerMillion;
  return internal::FromMilliseconds(tokens / rate +
                                    pairs * engine.prefill_ms_per_m_pairs);
}

duration PassTime(const engine_properties& engine,
                  std::uint32_t decodes,
                  std::uint64_t context_tokens) noexcept {
  const double step = engine.step_ms + engine.step_ms_per_decode * decodes +
                      engine.step_ms_per_k_context *
                          static_cast<double>(context_tokens) *
                          internal::kPerThousand;
  return internal::FromMilliseconds(step * std::max(engine.steps_per_pass, 1U));
}

}  // namespace acaciaferry::forwarding
