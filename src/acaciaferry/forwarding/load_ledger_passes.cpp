#include <algorithm>
#include <utility>

#include "acaciaferry/forwarding/load_ledger.hpp"

// Predicts the passes of targets, and their load from them.
namespace acaciaferry::forwarding {
namespace internal {

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

duration target_load::QueuedPrefill() const noexcept {
  return internal::QueuedPrefillOf(prefills);
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

duration load_ledger::UnreadPrefill(const queue& target_queue,
                                    dispatch_id key) {
  duration unread{};
  for (const pending_prefill& each : target_queue.prefills) {
    unread += each.key == key ? each.remaining : duration{};
  }
  return unread;
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
