#include <algorithm>
#include <cmath>
#include <iterator>
#include <set>
#include <string>
#include <variant>

#include "acaciaferry/forwarding/flights.hpp"

namespace acaciaferry::forwarding::internal {
namespace {

// A VM that hears a smaller part of the VMs knows too little of the load to
// refuse calls for it: one that has just started hears none, and a member of a
// large fleet that places a call itself knows of its own only.
constexpr double kMinHeardShare = 0.5;
// Share of the slots up to which a pool is calm, whatever else is known.
constexpr double kCalmShare = 0.75;
// Passes between the time at which a prompt gets a slot and its first event:
// the rest of the running one, and its own.
constexpr double kPassesToFirstEvent = 1.5;
// A call may wait for this share of its objective even if it will be late then
// by its prediction.
constexpr double kMinWaitShare = 0.2;
// Callers wait for this share of their remaining time.
constexpr std::int64_t kReturnDivisor = 3;
constexpr std::int64_t kMaxParts = 17;
// Callers and peers may state any number of tokens, with which the predicted
// duration of a stream would overflow.
constexpr std::uint64_t kMaxOutputTokens = 1'000'000;

// The slots that this VM may count on. One that hears a part of the VMs knows
// of a part of the dispatches, so it leaves the other slots to those that it
// doesn't hear, and has those of failure domains that are cut off left to it.
double SlotsToCountOn(const state& current,
                      const pool_id& pool,
                      const std::vector<const target*>& candidates) {
  double slots = 0;
  for (const target* each : candidates) {
    slots += std::max(each->slots, 1U);
  }
  const double share = current.SlotShare();
  if (share >= 1) {
    return slots;
  }
  const auto known = current.pool_slots.find(pool);
  const double counted =
      share * (known == current.pool_slots.end() ? slots : known->second.all);
  // Few VMs have all their calls at the same time.
  return std::min(slots, std::max(counted + std::sqrt(counted), 1.0));
}

// The limits of targets decide on their requests. Their slots would seem free
// to calls that wait at several VMs, all of which would take the room of a
// limit at the same time.
std::vector<const target*> WithoutLimit(
    const state& current,
    const std::vector<const target*>& candidates,
    time_point now) {
  std::vector<const target*> kept;
  std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(kept),
               [&](const target* each) {
                 return !current.limits.IsLimited(each->id, now);
               });
  return kept;
}

// In a large fleet each failure domain has a planner, and a VM that is no hub
// counts on a part of the slots that is its own. Otherwise each VM decides.
std::size_t DecidersOf(const state& current, std::size_t domains) {
  if (!current.is_large_fleet) {
    return std::max<std::size_t>(current.heard_vm_count, 1);
  }
  return current.is_hub ? std::max<std::size_t>(domains, 1) : 1;
}

slot_supply SupplyOf(const state& current,
                     const pending_call& pending,
                     const engine_properties* engine,
                     const std::vector<const target*>& candidates) {
  slot_supply supply;
  supply.slots = SlotsToCountOn(current, pending.request.pool, candidates);
  std::set<failure_domain_id> domains;
  for (const target* each : candidates) {
    const held_slots held = current.ledger.SlotsOfTarget(each->id);
    supply.held.all += held.all;
    supply.held.by_long_prompts += held.by_long_prompts;
    domains.insert(each->failure_domain);
  }
  if (current.heard_vm_count == 1 && current.vm_count > 1 &&
      !current.is_large_fleet) {
    // Dispatches of VMs that aren't heard any more may have ended.
    supply.held = current.admission.HeldByPlaced(pending.request.pool);
  }
  supply.deciders = DecidersOf(current, domains.size());
  // A plain service responds within its objective most of the time.
  supply.usual_hold = pending.request.latency_objective / 2;
  if (engine != nullptr && pending.request.prompt_tokens > 0) {
    supply.usual_hold = PassTime(*engine, engine->slots, 0) *
                        static_cast<std::int64_t>(std::min(
                            pending.request.output_tokens, kMaxOutputTokens)) /
                        std::max(engine->steps_per_pass, 1U);
  }
  return supply;
}

// Time that a call takes from when it gets a slot to its first event.
duration TimeWithSlot(const state& current,
                      const pending_call& pending,
                      const engine_properties* engine,
                      const slot_supply& supply,
                      bool is_long,
                      std::size_t targets,
                      time_point now) {
  if (engine == nullptr || pending.request.prompt_tokens == 0) {
    return current.admission.MeanHold(pending.request.pool, supply.usual_hold,
                                      now);
  }
  const std::int64_t parts =
      is_long ? std::min<std::int64_t>(static_cast<std::int64_t>(targets),
                                       kMaxParts)
              : 1;
  const duration alone =
      PrefillTime(*engine, pending.request.prompt_tokens) / parts +
      std::chrono::duration_cast<duration>(
          PassTime(*engine, engine->slots,
                   static_cast<std::uint64_t>(engine->mean_prompt_tokens) *
                       engine->slots) *
          kPassesToFirstEvent);
  // Slots that become free together are taken by prompts that are read
  // together.
  return is_long ? alone
                 : std::max(alone, current.admission.MeanFirstEvent(
                                       pending.request.pool, now));
}

slot_demand DemandOf(const state& current,
                     const pending_call& pending,
                     const engine_properties* engine,
                     time_point now) {
  slot_demand demand;
  demand.key = NextDispatch(current, pending);
  demand.pool = pending.request.pool;
  demand.workspace = pending.request.workspace;
  demand.fingerprint = pending.request.fingerprint;
  demand.is_long =
      engine != nullptr &&
      IsLongPrompt(RequestWeight(*engine, pending.request.prompt_tokens));
  demand.arrived = pending.arrived;
  demand.deadline = pending.deadline;
  demand.longest_return = (pending.deadline - now) / kReturnDivisor;
  return demand;
}

// Whether the dispatches of the whole pool leave many slots of the candidates
// free. The cost doesn't depend on the number of targets.
bool IsCalm(const state& current, const pool_id& pool, std::size_t candidates) {
  const auto known = current.pool_slots.find(pool);
  if (known == current.pool_slots.end() ||
      current.admission.IsAnyWaiting(pool)) {
    return known == current.pool_slots.end();
  }
  return current.ledger.SlotsOfPool(pool).all + 1 <=
         kCalmShare * current.SlotShare() *
             static_cast<double>(candidates * known->second.least);
}

bool WasSent(const pending_call& pending) {
  return pending.attempts > 0 || pending.partially_delivered ||
         pending.request.resume_after > 0;
}

bool DecidesOn(const state& current,
               const pending_call& pending,
               const std::vector<const target*>& candidates) {
  return current.admits_by_slots && !WasSent(pending) &&
         current.SlotShare() >= kMinHeardShare &&
         !IsCalm(current, pending.request.pool, candidates.size());
}

refused_call RefuseForSlots(const pending_call& pending,
                            const slot_demand& demand,
                            const slot_supply& supply,
                            const slot_refused& refused,
                            effects& out) {
  LogDecision(
      out, decision_kind::kShed, pending.request.caller_request_id,
      {{"why", std::string(ToString(refused.why))},
       {"slots", std::to_string(static_cast<std::uint64_t>(supply.slots))},
       {"held", std::to_string(supply.held.all)},
       {"ahead", std::to_string(refused.ahead)},
       {"wait_ms", ToMillisText(refused.predicted)},
       {"max_wait_ms", ToMillisText(demand.max_wait)},
       {"return_ms", ToMillisText(refused.retry_after)}});
  return {failure_code::kShed, refused.retry_after};
}

}  // namespace

std::optional<placement_verdict> AwaitSlot(
    state& current,
    const pending_call& pending,
    const engine_properties* engine,
    const std::vector<const target*>& candidates,
    time_point now,
    effects& out) {
  if (!DecidesOn(current, pending, candidates)) {
    return std::nullopt;
  }
  // A candidate with a limit is in this list only if its limit leaves room.
  if (std::any_of(candidates.begin(), candidates.end(),
                  [&](const target* each) {
                    return current.limits.IsLimited(each->id, now);
                  })) {
    return std::nullopt;
  }
  slot_demand demand = DemandOf(current, pending, engine, now);
  const slot_supply supply = SupplyOf(current, pending, engine, candidates);
  const duration objective = pending.request.latency_objective > duration{}
                                 ? pending.request.latency_objective
                                 : pending.deadline - pending.arrived;
  const duration with_slot = TimeWithSlot(
      current, pending, engine, supply, demand.is_long, candidates.size(), now);
  demand.max_wait =
      std::max(objective - with_slot, std::chrono::duration_cast<duration>(
                                          objective * kMinWaitShare)) -
      (now - pending.arrived);
  const slot_verdict verdict = current.admission.Decide(demand, supply, now);
  if (const auto* awaited = std::get_if<slot_awaited>(&verdict)) {
    return deferred_call{awaited->wait};
  }
  if (const auto* refused = std::get_if<slot_refused>(&verdict)) {
    return RefuseForSlots(pending, demand, supply, *refused, out);
  }
  return std::nullopt;
}

std::optional<placement_verdict> RefuseIfLate(
    state& current,
    const pending_call& pending,
    const engine_properties& engine,
    const std::vector<const target*>& candidates,
    const placement& at,
    time_point now,
    effects& out) {
  if (at.time_to_first_event <= RemainingLatency(pending, now) ||
      !DecidesOn(current, pending, candidates)) {
    return std::nullopt;
  }
  const auto counted = WithoutLimit(current, candidates, now);
  const slot_demand demand = DemandOf(current, pending, &engine, now);
  if (counted.empty() || demand.is_long || current.admission.IsOwed(demand)) {
    return std::nullopt;
  }
  const slot_supply supply = SupplyOf(current, pending, &engine, counted);
  return RefuseForSlots(pending, demand, supply,
                        current.admission.RefuseLate(demand, supply, now), out);
}

void RecordSlotTaken(state& current,
                     const pending_call& pending,
                     const engine_properties* engine,
                     duration first_event,
                     time_point now) {
  current.admission.RecordPlaced(DemandOf(current, pending, engine, now),
                                 first_event, now);
}

void EndDispatch(state& current, dispatch_id key, time_point now) {
  if (const auto used = current.ledger.SlotOf(key)) {
    current.admission.RecordFreed(used->pool, key, now - used->since, now);
  }
  // The ledger doesn't know the slots of targets that are gone.
  current.admission.EndPlaced(key);
  current.ledger.End(key, now);
}

void EndPlacedOutsideLedger(state& current) {
  for (const dispatch_id key :
       current.ledger.FindUnknown(current.admission.PlacedDispatches())) {
    current.admission.EndPlaced(key);
  }
}

}  // namespace acaciaferry::forwarding::internal
