#include "acaciaferry/forwarding/admission/slot_admission.hpp"

#include <algorithm>
#include <cmath>
#include <vector>

namespace acaciaferry::forwarding {
namespace internal {
namespace {

// A workspace that asked for nothing during this time has no share.
constexpr duration kShareWindow = std::chrono::seconds(2);
// The shares of a pool are calculated again after this time, so that the cost
// of a decision doesn't grow with the number of workspaces.
constexpr duration kShareRefresh = std::chrono::milliseconds(5);
// A workspace is over its share from this multiple of it. Calls arrive at
// random, so workspaces with equal load differ by some.
constexpr double kOverShare = 1.25;
constexpr double kShareSlack = 4;
constexpr double kShareSteps = 4;
// Weight of the expected share of this VM in what it and others have placed.
constexpr double kPriorPlaced = 8;
// Weight of the usual duration of a dispatch in the observed mean.
constexpr double kPriorEnded = 4;
constexpr double kMinHoldS = 1e-3;
// Longest time that is predicted.
constexpr double kMaxPredictedS = 3'600;
// Weight of the mean rate in that of the last moments. Streams that began
// together end together: in between, slots become free far below the mean.
constexpr double kPriorJustEnded = 4;
// Fewer predictions of the last moments say nothing.
constexpr double kMinPredicted = 1;
// The message that a dispatch has ended may be lost.
constexpr duration kEndGrace = std::chrono::seconds(3);
// A call that waits is decided on again when a slot is predicted to be free for
// it, but within these bounds.
constexpr duration kShortestWait = std::chrono::milliseconds(10);
constexpr duration kLongestWait = std::chrono::milliseconds(40);
// Keeps calls that wait at several VMs from taking the same slot.
constexpr double kWaitJitter = 0.5;
// Planners don't see calls end that wait at other VMs; they are asked for again
// within the wait, two datagrams and what a VM may be late.
constexpr duration kLapseSlack = std::chrono::milliseconds(100);
constexpr std::size_t kMaxWaiting = 1'024;
// Share of the slots up to which a class goes before the other one.
constexpr double kClassShare = 0.5;
// A caller that returns before this share of the time that it was told is
// early.
constexpr double kEarlyShare = 0.7;
// For how long after that time a caller is still recognised.
constexpr duration kRememberedFor = std::chrono::seconds(3);
// A caller that was refused so many times and returned when told waits this
// long, so that none is refused for ever: a late answer is worth less than one
// in time, but more than none.
constexpr std::uint32_t kOwedRefusals = 2;
constexpr duration kOwedMaxWait = std::chrono::milliseconds(1'000);
constexpr std::size_t kMaxRemembered = 32'768;
constexpr std::size_t kMaxWorkspaces = 4'096;

// Rates may be next to 0, and a duration holds no more than 2^63 microseconds.
duration FromBoundedSeconds(double seconds) {
  return FromSeconds(std::clamp(seconds, 0.0, kMaxPredictedS));
}

// Calls of the other class that go before those of this one.
double OtherClassAhead(const slot_supply& supply,
                       bool is_long,
                       std::size_t others_waiting) {
  const double held_by_long = supply.held.by_long_prompts;
  const double held_by_short = supply.held.all - held_by_long;
  const double own = is_long ? held_by_long : held_by_short;
  const double other = is_long ? held_by_short : held_by_long;
  const double share = supply.slots * kClassShare;
  return own < share ? 0
                     : std::clamp(share - other, 0.0,
                                  static_cast<double>(others_waiting));
}

}  // namespace
}  // namespace internal

std::string_view ToString(slot_refusal why) noexcept {
  switch (why) {
    case slot_refusal::kNoSlot:
      return "no_slot";
    case slot_refusal::kWorkspaceShare:
      return "workspace_share";
    case slot_refusal::kReturnedEarly:
      return "returned_early";
    case slot_refusal::kPrefill:
      return "prefill";
  }
  return "unknown";
}

slot_admission::fair_share slot_admission::ShareOf(const pool_use& pool,
                                                   time_point now) {
  double total = 0;
  std::size_t active = 0;
  for (const auto& [name, use] : pool.workspaces) {
    if (use.last_asked + internal::kShareWindow >= now) {
      total += use.admitted.At(now);
      ++active;
    }
  }
  active = std::max<std::size_t>(active, 1);
  return {total / static_cast<double>(active), active};
}

slot_admission::admission_order slot_admission::OrderOf(
    const workspace_use& use,
    const fair_share& share,
    const slot_demand& demand,
    caller_kind caller,
    time_point now) {
  const double admitted = use.admitted.At(now);
  return {
      admitted > share.admitted * internal::kOverShare + internal::kShareSlack,
      caller,
      static_cast<int>(admitted / std::max(share.admitted, 1.0) *
                       internal::kShareSteps),
      demand.arrived, demand.key};
}

duration slot_admission::MeanHold(const pool_id& pool,
                                  duration usual,
                                  time_point now) const {
  const auto at = pools_.find(pool);
  return at == pools_.end()
             ? usual
             : internal::FromBoundedSeconds(MeanHoldS(at->second, usual, now));
}

double slot_admission::MeanHoldS(const pool_use& pool,
                                 duration usual,
                                 time_point now) {
  return std::max(
      (pool.held_s.At(now) + internal::kPriorEnded * ToSeconds(usual)) /
          (pool.ended.At(now) + internal::kPriorEnded),
      internal::kMinHoldS);
}

// The part of the slots that become free which this VM may expect to get: that
// of the calls that it placed, and no less than an equal one. With little load
// it has few calls that wait, of which the first goes as soon as others' first.
double slot_admission::PlacementShare(const pool_use& pool,
                                      const slot_supply& supply,
                                      time_point now) {
  const auto deciders = static_cast<double>(supply.deciders);
  const double placed =
      (pool.placed_here.At(now) + internal::kPriorPlaced) /
      (pool.placed.At(now) + internal::kPriorPlaced * deciders);
  return std::clamp(placed, 1 / deciders, 1.0);
}

// Slots that become free a second, as far as this VM may expect to get them:
// others that place calls of the pool take theirs.
double slot_admission::FreedPerS(const pool_use& pool,
                                 const slot_supply& supply,
                                 time_point now) {
  const double mean =
      std::max(supply.slots, 1.0) / MeanHoldS(pool, supply.usual_hold, now);
  const double freed =
      (pool.just_ended.At(now) + internal::kPriorJustEnded) /
      (pool.just_ended.WindowS() + internal::kPriorJustEnded / mean);
  return freed * PlacementShare(pool, supply, now);
}

// Slots that workspaces are expected to need, up to an equal share each, and
// don't hold.
double slot_admission::KeptForOthers(const pool_use& pool,
                                     const fair_share& share,
                                     const slot_supply& supply,
                                     time_point now) {
  const double hold_s = MeanHoldS(pool, supply.usual_hold, now);
  const double own = supply.slots * PlacementShare(pool, supply, now) /
                     static_cast<double>(share.workspaces);
  double kept = 0;
  for (const auto& [name, use] : pool.workspaces) {
    if (use.last_asked + internal::kShareWindow >= now) {
      const double needed =
          std::min(own, use.asked.At(now) / use.asked.WindowS() * hold_s);
      kept += std::max(needed - use.held, 0.0);
    }
  }
  return kept;
}

slot_admission::workspace_use* slot_admission::UseOf(
    pool_use& pool,
    const workspace_id& workspace) {
  const auto at = pool.workspaces.find(workspace);
  if (at != pool.workspaces.end()) {
    return &at->second;
  }
  return pool.workspaces.size() < internal::kMaxWorkspaces
             ? &pool.workspaces[workspace]
             : nullptr;
}

slot_admission::caller_kind slot_admission::ClassifyCaller(
    const slot_demand& demand,
    time_point now) {
  const auto at = refused_.find(demand.fingerprint);
  if (demand.fingerprint == 0 || at == refused_.end()) {
    return caller_kind::kNew;
  }
  refused_caller& known = at->second;
  if (known.returns_at + internal::kRememberedFor < now) {
    return caller_kind::kNew;
  }
  const auto earliest = known.told_at + std::chrono::duration_cast<duration>(
                                            (known.returns_at - known.told_at) *
                                            internal::kEarlyShare);
  if (demand.arrived < earliest) {
    return caller_kind::kEarly;
  }
  // The same request may be sent several times at once; one was promised.
  if (known.returned_as != 0 && known.returned_as != demand.key) {
    return caller_kind::kNew;
  }
  known.returned_as = demand.key;
  return caller_kind::kReturned;
}

duration slot_admission::AssignReturnTime(const slot_demand& demand,
                                          workspace_use& workspace,
                                          duration predicted,
                                          duration spacing,
                                          time_point now) {
  const time_point latest = now + demand.longest_return;
  const time_point next = std::max(now + predicted, workspace.promised);
  // All that refuse callers of a pool count from about the same time, so their
  // callers are spread.
  const time_point turn =
      next + FromSeconds(ToSeconds(spacing) * DrawFraction(random_));
  if (turn <= latest) {
    workspace.promised = next + spacing;
  }
  return std::min(turn, latest) - now;
}

void slot_admission::RecordRefusal(const slot_demand& demand,
                                   duration retry_after,
                                   time_point now) {
  if (demand.fingerprint == 0) {
    return;
  }
  const auto [at, is_new] = refused_.try_emplace(demand.fingerprint);
  if (!is_new) {
    refused_order_.erase(at->second.place);
  }
  at->second = {
      now, now + retry_after, 0, at->second.refusals + 1,
      refused_order_.insert(refused_order_.end(), demand.fingerprint)};
  while (refused_.size() > internal::kMaxRemembered) {
    refused_.erase(refused_order_.front());
    refused_order_.pop_front();
  }
}

// Recalculates what depends on all workspaces and waiting calls of a pool, so
// that the cost of a decision doesn't.
void slot_admission::RefreshShare(pool_use& pool,
                                  const slot_supply& supply,
                                  time_point now) {
  if (pool.share_at + internal::kShareRefresh > now) {
    return;
  }
  std::erase_if(pool.waiting,
                [&](const auto& each) { return each.second.lapses_at < now; });
  pool.share_at = now;
  pool.share = ShareOf(pool, now);
  pool.kept_for_others = KeptForOthers(pool, pool.share, supply, now);
}

slot_admission::waiting_count slot_admission::CountWaiting(
    const pool_use& pool,
    const slot_demand& demand,
    const admission_order& order) {
  waiting_count waiting;
  for (const auto& [key, each] : pool.waiting) {
    if (key == demand.key) {
      continue;
    }
    if (each.is_long != demand.is_long) {
      ++waiting.other_class;
    } else if (each.order < order) {
      ++waiting.ahead;
    }
  }
  return waiting;
}

double slot_admission::MissingSlots(const pool_use& pool,
                                    const slot_demand& demand,
                                    const slot_supply& supply,
                                    bool over_share,
                                    const waiting_count& waiting,
                                    time_point now) {
  double free = supply.slots - supply.held.all;
  if (over_share) {
    // The other part is left to the workspaces that others serve: this VM
    // doesn't know what these need.
    free = std::min(free, free * PlacementShare(pool, supply, now)) -
           pool.kept_for_others;
  }
  return static_cast<double>(waiting.ahead) +
         internal::OtherClassAhead(supply, demand.is_long,
                                   waiting.other_class) +
         1 - free;
}

slot_awaited slot_admission::Await(pool_use& pool,
                                   const slot_demand& demand,
                                   const admission_order& order,
                                   duration predicted,
                                   duration max_wait,
                                   time_point now) {
  // It is decided on once more while it is in time.
  const duration wait = std::min(
      FromSeconds(ToSeconds(std::clamp(predicted, internal::kShortestWait,
                                       internal::kLongestWait)) *
                  (1 - internal::kWaitJitter * DrawFraction(random_))),
      std::max(max_wait, duration{1}));
  pool.waiting[demand.key] = {demand.is_long, order,
                              now + wait + internal::kLapseSlack};
  return {wait};
}

slot_verdict slot_admission::Decide(const slot_demand& demand,
                                    const slot_supply& supply,
                                    time_point now) {
  pool_use& pool = pools_[demand.pool];
  ++counts_.scarce;
  const bool is_known = pool.waiting.contains(demand.key);
  workspace_use unlisted;
  workspace_use* use = UseOf(pool, demand.workspace);
  use = use == nullptr ? &unlisted : use;
  use->last_asked = now;
  if (!is_known) {
    use->asked.Add(1, now);
  }
  RefreshShare(pool, supply, now);
  const admission_order order =
      OrderOf(*use, pool.share, demand, ClassifyCaller(demand, now), now);
  const waiting_count waiting = CountWaiting(pool, demand, order);
  const double missing =
      MissingSlots(pool, demand, supply, order.over_share, waiting, now);
  if (missing <= 0) {
    return slot_granted{};
  }
  const duration predicted =
      internal::FromBoundedSeconds(missing / FreedPerS(pool, supply, now));
  const duration max_wait =
      IsOwed(demand) ? std::max(demand.max_wait,
                                demand.arrived - now + internal::kOwedMaxWait)
                     : demand.max_wait;
  if (predicted <= max_wait &&
      (is_known || pool.waiting.size() < internal::kMaxWaiting)) {
    return Await(pool, demand, order, predicted, max_wait, now);
  }
  slot_refusal why = slot_refusal::kNoSlot;
  if (order.caller == caller_kind::kEarly) {
    why = slot_refusal::kReturnedEarly;
  } else if (order.over_share) {
    why = slot_refusal::kWorkspaceShare;
  }
  slot_refused refused = Refuse(demand, supply, *use, why, predicted, now);
  refused.ahead = waiting.ahead;
  return refused;
}

bool slot_admission::IsOwed(const slot_demand& demand) const {
  const auto at = refused_.find(demand.fingerprint);
  return demand.fingerprint != 0 && at != refused_.end() &&
         at->second.returned_as == demand.key &&
         at->second.refusals >= internal::kOwedRefusals;
}

slot_refused slot_admission::RefuseLate(const slot_demand& demand,
                                        const slot_supply& supply,
                                        time_point now) {
  workspace_use unlisted;
  workspace_use* use = UseOf(pools_[demand.pool], demand.workspace);
  return Refuse(demand, supply, use == nullptr ? unlisted : *use,
                ClassifyCaller(demand, now) == caller_kind::kEarly
                    ? slot_refusal::kReturnedEarly
                    : slot_refusal::kPrefill,
                {}, now);
}

slot_refused slot_admission::Refuse(const slot_demand& demand,
                                    const slot_supply& supply,
                                    workspace_use& use,
                                    slot_refusal why,
                                    duration predicted,
                                    time_point now) {
  pool_use& pool = pools_[demand.pool];
  pool.waiting.erase(demand.key);
  slot_refused refused{why, {}, predicted, 0};
  if (why == slot_refusal::kReturnedEarly) {
    // The time that it was told stays.
    const refused_caller& known = refused_.at(demand.fingerprint);
    refused.retry_after = std::max(known.returns_at - now, duration{});
  } else {
    // Each workspace has an equal part of the slots that become free.
    const duration spacing = internal::FromBoundedSeconds(
        static_cast<double>(pool.share.workspaces) /
        FreedPerS(pool, supply, now));
    refused.retry_after =
        AssignReturnTime(demand, use, predicted, spacing, now);
    RecordRefusal(demand, refused.retry_after, now);
  }
  ++counts_.refusals[static_cast<std::size_t>(why)];
  return refused;
}

duration slot_admission::MeanFirstEvent(const pool_id& pool,
                                        time_point now) const {
  const auto at = pools_.find(pool);
  if (at == pools_.end()) {
    return {};
  }
  const double predicted = at->second.predicted.At(now);
  return predicted < internal::kMinPredicted
             ? duration{}
             : internal::FromBoundedSeconds(at->second.first_event_s.At(now) /
                                            predicted);
}

void slot_admission::RecordPlaced(const slot_demand& demand,
                                  duration first_event,
                                  time_point now) {
  pool_use& pool = pools_[demand.pool];
  if (!demand.is_long && first_event > duration{}) {
    pool.predicted.Add(1, now);
    pool.first_event_s.Add(ToSeconds(first_event), now);
  }
  counts_.admitted_after_wait += pool.waiting.erase(demand.key);
  const auto returned = refused_.find(demand.fingerprint);
  if (returned != refused_.end() && demand.fingerprint != 0) {
    if (returned->second.returned_as == demand.key) {
      ++counts_.admitted_on_return;
      refused_order_.erase(returned->second.place);
      refused_.erase(returned);
    }
  }
  pool.placed_here.Add(1, now);
  pool.placed.Add(1, now);
  // A call is placed again if its VM has not heard of the first time.
  EndPlaced(demand.key);
  placed_[demand.key] = {demand.pool, demand.workspace, demand.is_long,
                         demand.deadline + internal::kEndGrace};
  ++pool.held.all;
  pool.held.by_long_prompts += demand.is_long ? 1 : 0;
  if (workspace_use* use = UseOf(pool, demand.workspace)) {
    use->admitted.Add(1, now);
    use->last_asked = now;
    ++use->held;
  }
}

void slot_admission::RecordPlacedElsewhere(const pool_id& pool,
                                           time_point now) {
  pools_[pool].placed.Add(1, now);
}

void slot_admission::EndPlaced(dispatch_id key) {
  const auto at = placed_.find(key);
  if (at == placed_.end()) {
    return;
  }
  pool_use& pool = pools_[at->second.pool];
  --pool.held.all;
  pool.held.by_long_prompts -= at->second.is_long ? 1 : 0;
  const auto use = pool.workspaces.find(at->second.workspace);
  if (use != pool.workspaces.end() && use->second.held > 0) {
    --use->second.held;
  }
  placed_.erase(at);
}

void slot_admission::RecordFreed(const pool_id& pool,
                                 dispatch_id key,
                                 duration held,
                                 time_point now) {
  EndPlaced(key);
  pool_use& use = pools_[pool];
  use.ended.Add(1, now);
  use.just_ended.Add(1, now);
  use.held_s.Add(ToSeconds(held), now);
}

std::vector<dispatch_id> slot_admission::PlacedDispatches() const {
  std::vector<dispatch_id> keys;
  keys.reserve(placed_.size());
  for (const auto& [key, each] : placed_) {
    keys.push_back(key);
  }
  return keys;
}

held_slots slot_admission::HeldByPlaced(const pool_id& pool) const {
  const auto at = pools_.find(pool);
  return at == pools_.end() ? held_slots{} : at->second.held;
}

bool slot_admission::IsAnyWaiting(const pool_id& pool) const {
  const auto at = pools_.find(pool);
  return at != pools_.end() && !at->second.waiting.empty();
}

std::size_t slot_admission::WaitingCount() const {
  std::size_t count = 0;
  for (const auto& [name, pool] : pools_) {
    count += pool.waiting.size();
  }
  return count;
}

void slot_admission::Expire(time_point now) {
  std::vector<dispatch_id> lapsed;
  for (const auto& [key, each] : placed_) {
    if (each.lapses_at < now) {
      lapsed.push_back(key);
    }
  }
  for (const dispatch_id key : lapsed) {
    EndPlaced(key);
  }
  for (auto& [name, pool] : pools_) {
    std::erase_if(pool.waiting, [&](const auto& each) {
      return each.second.lapses_at < now;
    });
    std::erase_if(pool.workspaces, [&](const auto& each) {
      return each.second.last_asked + 4 * internal::kShareWindow < now &&
             each.second.promised < now && each.second.held == 0;
    });
  }
  std::erase_if(refused_order_, [&](std::uint64_t fingerprint) {
    const auto at = refused_.find(fingerprint);
    const bool is_over = at->second.returns_at + internal::kRememberedFor < now;
    if (is_over) {
      refused_.erase(at);
    }
    return is_over;
  });
}

}  // namespace acaciaferry::forwarding
