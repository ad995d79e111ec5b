#include <algorithm>
#include <array>
#include <functional>
#include <iterator>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

#include "acaciaferry/forwarding/flights.hpp"

namespace acaciaferry::forwarding::internal {
namespace {

// Engines refuse requests with more helpers.
constexpr std::size_t kMaxHelpers = 16;
// Numbers of engines to try for a prompt that no single engine can hold.
constexpr std::array<std::size_t, 7> kSpanSplits{2, 3, 4, 6, 8, 12, 17};
// Share of an engine's free memory that a reservation may take.
constexpr double kReservableMemoryShare = 0.8;
// A prompt is small if it needs less than this fraction (1/8) of an engine's
// memory.
constexpr std::uint64_t kSmallPromptDivisor = 8;
// A prompt whose latency objective is out of reach may take up to so many times
// as long as on idle engines.
constexpr std::int64_t kMaxTimesIdle = 2;
// Interference, in late short requests, above which a call is deferred.
constexpr double kMaxInterference = 0.3;
// Time to the first event, less the prefill itself, above which a prompt would
// be queueing at the engines: about two passes with prefills of others.
constexpr duration kMaxQueueing = std::chrono::milliseconds(200);
// A call is deferred only if its predicted time to the first event is below
// this share of its remaining latency budget.
constexpr double kMaxWaitShare = 0.4;
// A failure domain with fewer engines than that shares its long prompts with
// the others from the start.
constexpr std::size_t kAmpleDomain = 12;
constexpr std::uint32_t kSlotsLeftToOthers = 2;
// Shares of the latency budget and of an engine's slots up to which a placement
// in the own failure domain is taken without a look at the others.
constexpr double kGoodLatencyShare = 0.7;
constexpr double kGoodSlotShare = 0.8;
// How often placement of a deferred call is retried: a fraction of a pass.
constexpr duration kPlacementRetryInterval = std::chrono::milliseconds(20);

placement_request MakePlacementRequest(
    const state& current,
    const pending_call& pending,
    const std::vector<const target*>& candidates,
    time_point now) {
  return {pending.request.prompt_tokens,
          pending.request.prompt_tokens + pending.request.output_tokens,
          1,
          RemainingLatency(pending, now),
          pending.request.gap_objective,
          LimitedAmong(current, candidates, now)};
}

std::uint64_t ReservableTokens(const state& current,
                               const engine_properties& engine,
                               const target_id& id,
                               time_point now) {
  const auto load = current.ledger.Load(id, now);
  const std::uint64_t free =
      engine.memory_tokens - std::min(engine.memory_tokens, load.memory_tokens);
  return static_cast<std::uint64_t>(static_cast<double>(free) *
                                    kReservableMemoryShare);
}

// Plans a span: a prompt that no single engine can hold. It is placed as any
// other prompt, on as many engines as its memory requires. Each helper reserves
// memory in proportion to what it has available, and the decode target holds
// the rest.
std::optional<placed_call> PlanSpan(
    const state& current,
    const engine_properties& engine,
    const std::vector<const target*>& candidates,
    placement_request wanted,
    time_point now) {
  const std::uint64_t needed = wanted.memory_tokens;
  for (const std::size_t parts : kSpanSplits) {
    wanted.min_parts = parts;
    wanted.memory_tokens = needed / parts;
    auto at = PlacePrompt(engine, candidates, current.ledger, wanted,
                          kMaxHelpers, now);
    if (!at) {
      continue;
    }
    const std::uint64_t decode_target_room =
        ReservableTokens(current, engine, at->decode_target, now);
    std::uint64_t room = decode_target_room;
    for (const target_id& id : at->helpers) {
      room += ReservableTokens(current, engine, id, now);
    }
    if (room < needed) {
      continue;
    }
    placed_call plan{std::move(*at), {}, needed};
    for (const target_id& id : plan.at.helpers) {
      const auto tokens = static_cast<std::uint64_t>(
          static_cast<double>(needed) *
          static_cast<double>(ReservableTokens(current, engine, id, now)) /
          static_cast<double>(room));
      if (tokens > 0) {
        plan.decode_target_tokens -= tokens;
        plan.memory.push_back({id, tokens});
      }
    }
    return plan;
  }
  return std::nullopt;
}

// A call is deferred as long as it can still meet its latency objective
// afterwards. Then it takes what is available, or is rejected.
bool CanWait(const pending_call& pending,
             duration first_event,
             time_point now) {
  const duration left = RemainingLatency(pending, now);
  return first_event <
             std::chrono::duration_cast<duration>(left * kMaxWaitShare) &&
         now + kMinTimeLeft < pending.deadline;
}

// A prompt that queues at the engines would occupy their memory without being
// prefilled, and one that delays others may find a better moment.
bool IsWorthDeferring(const placement& at) {
  return at.interference > kMaxInterference ||
         at.time_to_first_event - at.part_time > kMaxQueueing;
}

bool CanBeShed(const pending_call& pending) {
  return !pending.partially_delivered && pending.attempts == 0;
}

enum class shed_reason { kPrice, kLate };

std::string_view ToString(shed_reason why) noexcept {
  return why == shed_reason::kPrice ? "price" : "late";
}

refused_call Shed(const state& current,
                  const pending_call& pending,
                  shed_reason why,
                  const engine_properties& engine,
                  double utilization,
                  duration first_event,
                  time_point now,
                  effects& out) {
  LogDecision(
      out, decision_kind::kShed, pending.request.caller_request_id,
      {{"why", std::string(ToString(why))},
       {"prompt_tokens", std::to_string(pending.request.prompt_tokens)},
       {"busy", std::to_string(utilization)},
       {"reading_ms",
        ToMillisText(PrefillTime(engine, pending.request.prompt_tokens))},
       {"worth",
        std::to_string(RequestWeight(engine, pending.request.prompt_tokens))},
       {"first_ms", ToMillisText(first_event)},
       {"aim_left_ms", ToMillisText(RemainingLatency(pending, now))},
       {"jobs", std::to_string(current.ledger.JobCount())}});
  return {failure_code::kShed, {}};
}

// Whether a prompt would have its first event so late that it had better come
// back: past the time that its caller waits; or, for a long prompt, past its
// latency objective, or what engines without other work would need if that is
// longer. It would take engine time from many that are not late, and hold up
// all that come to its engines meanwhile.
bool IsTooLate(const pending_call& pending,
               const engine_properties& engine,
               std::size_t engines,
               duration first_event,
               time_point now) {
  if (!CanBeShed(pending)) {
    return false;
  }
  if (now + first_event + kMinTimeLeft > pending.deadline) {
    return true;
  }
  const duration when_idle =
      PrefillTime(engine, pending.request.prompt_tokens) /
      static_cast<std::int64_t>(std::min(engines, kMaxHelpers + 1));
  const duration objective =
      pending.arrived + pending.request.latency_objective - now;
  return first_event > std::max(objective, when_idle * kMaxTimesIdle) &&
         IsLongPrompt(RequestWeight(engine, pending.request.prompt_tokens));
}

placement_verdict PlanSpannedPrompt(
    const state& current,
    const pending_call& pending,
    const engine_properties& engine,
    const std::vector<const target*>& candidates,
    double utilization,
    time_point now,
    effects& out) {
  placement_request wanted =
      MakePlacementRequest(current, pending, candidates, now);
  auto plan = PlanSpan(current, engine, candidates, wanted, now);
  if (!plan && !wanted.not_as_helpers.empty()) {
    // No single engine can hold the prompt, so limited ones have to help.
    wanted.not_as_helpers.clear();
    plan = PlanSpan(current, engine, candidates, wanted, now);
  }
  const bool wait = !plan || IsWorthDeferring(plan->at);
  if (wait &&
      CanWait(pending,
              plan ? plan->at.time_to_first_event : kPlacementRetryInterval,
              now)) {
    return deferred_call{kPlacementRetryInterval};
  }
  // A late prompt takes engine time from many that are not, and would set
  // memory aside in vain if it gave it back before the engines have answered.
  if (!plan || ReservationTime(pending, now) < kMinReservationTime) {
    return refused_call{failure_code::kSpanUnavailable, {}};
  }
  if (IsTooLate(pending, engine, candidates.size(),
                plan->at.time_to_first_event, now)) {
    return Shed(current, pending, shed_reason::kLate, engine, utilization,
                plan->at.time_to_first_event, now, out);
  }
  return std::move(*plan);
}

// Chooses engines for a prompt that one engine can hold.
std::optional<placement> PlaceWithinMemory(
    const state& current,
    const engine_properties& engine,
    std::span<const target* const> candidates,
    placement_request& wanted,
    time_point now) {
  auto chosen =
      PlacePrompt(engine, candidates, current.ledger, wanted, kMaxHelpers, now);
  if (chosen && !wanted.not_as_helpers.empty() &&
      chosen->time_to_first_event > wanted.latency_budget) {
    // Limited targets help only if the prompt would be late without them.
    wanted.not_as_helpers.clear();
    chosen = PlacePrompt(engine, candidates, current.ledger, wanted,
                         kMaxHelpers, now);
  }
  if (!chosen &&
      wanted.memory_tokens * kSmallPromptDivisor < engine.memory_tokens) {
    // A small prompt gets memory as soon as any other request ends.
    wanted.memory_tokens = 0;
    chosen = PlacePrompt(engine, candidates, current.ledger, wanted,
                         kMaxHelpers, now);
  }
  return chosen;
}

// Whether a prompt is in time at its engines, harms no others there, and leaves
// slots free.
bool IsGood(const state& current,
            const engine_properties& engine,
            const placement_request& wanted,
            const placement& at,
            time_point now) {
  return !IsWorthDeferring(at) &&
         at.time_to_first_event <=
             std::chrono::duration_cast<duration>(wanted.latency_budget *
                                                  kGoodLatencyShare) &&
         current.ledger.Load(at.decode_target, now).decodes <
             static_cast<double>(engine.slots) * kGoodSlotShare;
}

// In a large fleet the planners of different failure domains choose different
// engines this way, and a cut breaks off fewer streams.
std::optional<placement> PlaceInOwnDomain(
    const state& current,
    const engine_properties& engine,
    const std::vector<const target*>& candidates,
    placement_request wanted,
    time_point now) {
  std::vector<const target*> own;
  std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(own),
               [&](const target* each) {
                 return each->failure_domain == current.failure_domain;
               });
  if (!current.is_large_fleet || own.size() < kAmpleDomain ||
      own.size() == candidates.size()) {
    return std::nullopt;
  }
  auto chosen = PlaceWithinMemory(current, engine, own, wanted, now);
  return chosen && IsGood(current, engine, wanted, *chosen, now)
             ? std::move(chosen)
             : std::nullopt;
}

// The engines to choose from in all failure domains: those with free slots, but
// for the last ones of engines of other failure domains, which are left to the
// planners that know these better. Then those with any free slot: an engine of
// the own failure domain that has none makes a prompt wait for longer than a
// planner that takes the same slot does. At last all.
std::vector<const target*> PreferFreeSlots(
    const state& current,
    const engine_properties& engine,
    const std::vector<const target*>& candidates,
    time_point now) {
  for (const std::uint32_t left_to_others : {kSlotsLeftToOthers, 0U}) {
    std::vector<const target*> free;
    std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(free),
                 [&](const target* each) {
                   const bool is_own =
                       each->failure_domain == current.failure_domain;
                   return current.ledger.Load(each->id, now).decodes +
                              (is_own ? 0 : left_to_others) <
                          engine.slots;
                 });
    if (!free.empty()) {
      return free;
    }
  }
  return candidates;
}

// Chooses from all failure domains. Planners of several of them may do so at
// the same time, so they begin with different engines.
std::optional<placement> PlaceAnywhere(
    const state& current,
    const engine_properties& engine,
    const std::vector<const target*>& candidates,
    placement_request& wanted,
    time_point now) {
  if (!current.is_large_fleet) {
    return PlaceWithinMemory(current, engine, candidates, wanted, now);
  }
  std::vector<const target*> preferred =
      PreferFreeSlots(current, engine, candidates, now);
  const std::size_t begin =
      std::hash<failure_domain_id>{}(current.failure_domain) % preferred.size();
  std::rotate(preferred.begin(),
              preferred.begin() + static_cast<std::ptrdiff_t>(begin),
              preferred.end());
  return PlaceWithinMemory(current, engine, preferred, wanted, now);
}

prompt_kind KindOf(const call& request) {
  return {request.pool, request.latency_objective, request.gap_objective};
}

placement_verdict PlaceOrWait(state& current,
                              const pending_call& pending,
                              const engine_properties& engine,
                              const std::vector<const target*>& candidates,
                              double utilization,
                              time_point now,
                              effects& out) {
  if (NeedsSpan(engine, pending.request)) {
    return PlanSpannedPrompt(current, pending, engine, candidates, utilization,
                             now, out);
  }
  placement_request wanted =
      MakePlacementRequest(current, pending, candidates, now);
  const std::uint64_t memory_tokens = wanted.memory_tokens;
  auto chosen = PlaceInOwnDomain(current, engine, candidates, wanted, now);
  if (!chosen) {
    chosen = PlaceAnywhere(current, engine, candidates, wanted, now);
  }
  if (!chosen) {
    // No single engine has enough free memory.
    return PlanSpannedPrompt(current, pending, engine, candidates, utilization,
                             now, out);
  }
  if (IsWorthDeferring(*chosen) &&
      CanWait(pending, chosen->time_to_first_event, now)) {
    return deferred_call{kPlacementRetryInterval};
  }
  if (IsTooLate(pending, engine, candidates.size(), chosen->time_to_first_event,
                now)) {
    return Shed(current, pending, shed_reason::kLate, engine, utilization,
                chosen->time_to_first_event, now, out);
  }
  return placed_call{std::move(*chosen), {}, memory_tokens};
}

}  // namespace

bool NeedsSpan(const engine_properties& engine, const call& request) noexcept {
  return request.prompt_tokens + request.output_tokens > engine.memory_tokens;
}

placement_verdict PlanPrompt(state& current,
                             const pending_call& pending,
                             const engine_properties& engine,
                             const std::vector<const target*>& candidates,
                             time_point now,
                             effects& out) {
  const double utilization = current.ledger.Utilization(candidates, now);
  const prompt_kind kind = KindOf(pending.request);
  const std::uint64_t tokens = pending.request.prompt_tokens;
  if (CanBeShed(pending) &&
      current.price.Refuses(engine, kind, tokens,
                            NextDispatch(current, pending), utilization, now)) {
    current.price.Record(engine, kind, tokens, now);
    return Shed(current, pending, shed_reason::kPrice, engine, utilization, {},
                now, out);
  }
  auto verdict =
      PlaceOrWait(current, pending, engine, candidates, utilization, now, out);
  if (!std::holds_alternative<deferred_call>(verdict)) {
    current.price.Record(engine, kind, tokens, now);
  }
  return verdict;
}

}  // namespace acaciaferry::forwarding::internal
