#include "acaciaferry/forwarding/load_ledger.hpp"

// Counts the slots that dispatches hold, by target and by pool.
namespace acaciaferry::forwarding {
namespace internal {

// Weight above which a prompt that would be late is refused: the time that it
// takes from other requests is worth more than its late response.
constexpr double kLongPromptWeight = 3;

}  // namespace internal

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

}  // namespace acaciaferry::forwarding
