#include <algorithm>
#include <array>
#include <string>

#include "acaciaferry/forwarding/flights.hpp"

namespace acaciaferry::forwarding::internal {
namespace {

// Engines refuse requests with more helpers.
constexpr std::size_t kMaxHelpers = 16;
// Numbers of engines to try for a prompt that no single engine can hold.
constexpr std::array<std::size_t, 7> kSpanSplits{2, 3, 4, 6, 8, 12, 17};
// Share of an engine's free memory that a reservation may take.
constexpr double kReservableMemoryShare = 0.8;
// Share of the latency budget within which all reservations of a span must be
// held.
constexpr double kReservationTimeShare = 0.5;
// Engines don't answer reservations in less time.
constexpr duration kMinReservationTime = std::chrono::milliseconds(20);
// Price, in weights of very short requests, of one second of a saturated
// engine. Short prompts have many times that weight per second, the longest
// ones less.
constexpr double kSaturationPrice = 16;
// Utilization of the engines up to which their time is free.
constexpr double kFreeUtilization = 0.45;
// Percentage of the priced-out prompts that is shed. The others are served, so
// that very long prompts are not starved: with one retry, at least every second
// one gets through.
constexpr std::uint64_t kShedPercent = 70;
constexpr std::uint64_t kHundredPercent = 100;
// A prompt is small if it needs less than this fraction (1/8) of an engine's
// memory.
constexpr std::uint64_t kSmallPromptDivisor = 8;
// Weight above which a prompt that would be late is shed: the time that it
// takes from other requests is worth more than its late response.
constexpr double kLongPromptWeight = 3;
// Interference, in late short requests, above which a call is deferred.
constexpr double kMaxInterference = 0.3;
// Time to the first event, less the prefill itself, above which a prompt would
// be queueing at the engines: about two passes with prefills of others.
constexpr duration kMaxQueueing = std::chrono::milliseconds(200);
// A call is deferred only if its predicted time to the first event is below
// this share of its remaining latency budget.
constexpr double kMaxWaitShare = 0.4;
// How often placement of a deferred call is retried: a fraction of a pass.
constexpr duration kPlacementRetryInterval = std::chrono::milliseconds(20);

std::vector<job> PromptJobs(const state& current,
                            const engine_properties& engine,
                            const pending_call& pending,
                            const placement& chosen) {
  const dispatch_id key = DispatchIdOf(current, pending.request.id,
                                       pending.running_attempt->number);
  const std::size_t parts = chosen.helpers.size() + 1;
  job first;
  first.key = key;
  first.target = chosen.decode_target;
  first.prefill_time = chosen.part_time;
  first.is_part = parts > 1;
  first.first_event_due = pending.arrived + pending.request.latency_objective;
  first.weight = RequestWeight(engine, pending.request.prompt_tokens);
  first.is_decode = true;
  first.gap_objective = pending.request.gap_objective;
  first.memory_tokens =
      pending.request.prompt_tokens + pending.request.output_tokens;
  first.context_tokens = pending.request.prompt_tokens / parts;
  first.deadline = pending.deadline;
  std::vector<job> jobs{first};
  for (const target_id& id : chosen.helpers) {
    job part = first;
    part.target = id;
    part.is_decode = false;
    part.memory_tokens = 0;
    part.context_tokens = 0;

    jobs.push_back(part);
  }
  return jobs;
}

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
          LimitedAmong(current, candidates)};
}

struct span_plan {
  placement chosen;
  std::vector<reservation> reservations;
  std::uint64_t decode_target_tokens{};
};

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
std::optional<span_plan> PlanSpan(const state& current,
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
    span_plan plan{std::move(*at), {}, needed};
    for (const target_id& id : plan.chosen.helpers) {
      const auto tokens = static_cast<std::uint64_t>(
          static_cast<double>(needed) *
          static_cast<double>(ReservableTokens(current, engine, id, now)) /
          static_cast<double>(room));
      const target* found = current.targets.Find(id);
      if (tokens > 0 && found != nullptr) {
        plan.decode_target_tokens -= tokens;
        plan.reservations.push_back(
            {id, found->address, "", tokens, false, now + kRenewAfter, 1, {}});
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

void DeferPlacement(pending_call& pending, time_point now) {
  pending.next_placement_at = now + kPlacementRetryInterval;
}

void StartSpan(state& current,
               pending_call& pending,
               const engine_properties& engine,
               const std::vector<const target*>& candidates,
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
  const bool wait = !plan || IsWorthDeferring(plan->chosen);
  if (wait &&
      CanWait(pending,
              plan ? plan->chosen.time_to_first_event : kPlacementRetryInterval,
              now)) {
    DeferPlacement(pending, now);
    return;
  }
  // A late prompt takes engine time from many that are not, and would set
  // memory aside in vain if it gave it back before the engines have answered.
  const auto reservation_time = std::chrono::duration_cast<duration>(
      RemainingLatency(pending, now) * kReservationTimeShare);
  if (!plan || reservation_time < kMinReservationTime) {
    FailCall(current, pending, failure_code::kSpanUnavailable, now, out);
    return;
  }
  attempt& started = NewAttempt(pending, plan->chosen.decode_target, now);
  started.predicted_first_event = plan->chosen.time_to_first_event;
  const std::string prefix =
      std::to_string(DispatchIdOf(current, pending.request.id, started.number));
  for (std::size_t index = 0; index < plan->reservations.size(); ++index) {
    plan->reservations[index].ticket = prefix + "-" + std::to_string(index);
  }
  started.reservations = std::move(plan->reservations);
  std::vector<job> jobs = PromptJobs(current, engine, pending, plan->chosen);
  jobs.front().memory_tokens = plan->decode_target_tokens;
  for (const target_id& id : plan->chosen.helpers) {
    const target* found = current.targets.Find(id);
    helper one{id, found ? found->address : "", ""};
    for (const reservation& each : started.reservations) {
      if (each.target == id) {
        one.ticket = each.ticket;
        job held = jobs.front();
        held.target = id;
        held.prefill_time = {};
        held.is_decode = false;
        held.memory_tokens = each.tokens;
        held.context_tokens = 0;
        jobs.push_back(held);
      }
    }
    started.helpers.push_back(std::move(one));
  }
  // Engines fill the reservations in the order of this list.
  std::stable_partition(
      started.helpers.begin(), started.helpers.end(),
      [](const helper& each) { return !each.ticket.empty(); });
  RecordDispatch(current, std::move(jobs), now, out);
  started.progress_due = now + reservation_time;
  for (const reservation& each : started.reservations) {
    out.emplace_back(reserve_memory{pending.request.id, started.number,
                                    each.address, each.target, each.ticket,
                                    each.tokens, kLeaseTime, false});
  }
}

// Whether the engine time that a prompt needs is worth more to the prompts that
// come after it. Engine time has a price only when it is scarce.
bool IsPricedOut(const engine_properties& engine,
                 std::uint64_t prompt_tokens,
                 double utilization) {
  // Utilization is capped at 1, so that short prompts are never priced out.
  const double price =
      kSaturationPrice *
      (std::clamp(utilization, kFreeUtilization, 1.0) - kFreeUtilization) /
      (1 - kFreeUtilization);
  return price * ToSeconds(PrefillTime(engine, prompt_tokens)) >
         RequestWeight(engine, prompt_tokens);
}

bool CanBeShed(const pending_call& pending) {
  return !pending.partially_delivered && pending.attempts == 0;
}

void Shed(state& current,
          pending_call& pending,
          const engine_properties& engine,
          double utilization,
          duration first_event,
          time_point now,
          effects& out) {
  LogDecision(
      out, decision_kind::kShed, pending.request.caller_request_id,
      {{"busy", std::to_string(utilization)},
       {"reading_ms",
        ToMillisText(PrefillTime(engine, pending.request.prompt_tokens))},
       {"worth",
        std::to_string(RequestWeight(engine, pending.request.prompt_tokens))},
       {"first_ms", ToMillisText(first_event)},
       {"aim_left_ms", ToMillisText(RemainingLatency(pending, now))},
       {"jobs", std::to_string(current.ledger.JobCount())}});
  FailCall(current, pending, failure_code::kShed, now, out);
}

}  // namespace

void StartPrompt(state& current,
                 pending_call& pending,
                 const engine_properties& engine,
                 const std::vector<const target*>& candidates,
                 time_point now,
                 effects& out) {
  const double utilization = current.ledger.Utilization(candidates.size(), now);
  if (CanBeShed(pending) &&
      IsPricedOut(engine, pending.request.prompt_tokens, utilization) &&
      DrawBelow(current.random, kHundredPercent) < kShedPercent) {
    Shed(current, pending, engine, utilization, {}, now, out);
    return;
  }
  if (pending.request.prompt_tokens + pending.request.output_tokens >
      engine.memory_tokens) {
    StartSpan(current, pending, engine, candidates, now, out);
    return;
  }
  placement_request wanted =
      MakePlacementRequest(current, pending, candidates, now);
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
  if (!chosen) {
    // No single engine has enough free memory.
    StartSpan(current, pending, engine, candidates, now, out);
    return;
  }
  if (IsWorthDeferring(*chosen) &&
      CanWait(pending, chosen->time_to_first_event, now)) {
    DeferPlacement(pending, now);
    return;
  }
  const duration remaining_latency =
      pending.arrived + pending.request.latency_objective - now;
  if (CanBeShed(pending) && chosen->time_to_first_event > remaining_latency &&
      RequestWeight(engine, pending.request.prompt_tokens) >
          kLongPromptWeight) {
    Shed(current, pending, engine, utilization, chosen->time_to_first_event,
         now, out);
    return;
  }
  attempt& started = NewAttempt(pending, chosen->decode_target, now);
  started.predicted_first_event = chosen->time_to_first_event;
  for (const target_id& id : chosen->helpers) {
    const target* found = current.targets.Find(id);
    started.helpers.push_back({id, found ? found->address : "", ""});
  }
  RecordDispatch(current, PromptJobs(current, engine, pending, *chosen), now,
                 out);
  SendAttempt(current, pending, now, out);
}

}  // namespace acaciaferry::forwarding::internal
