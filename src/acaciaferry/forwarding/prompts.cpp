#include <algorithm>
#include <array>
#include <string>

#include "acaciaferry/forwarding/flights.hpp"

namespace acaciaferry::forwarding::internal {
namespace {

// Other helpers than these are refused by the engines.
constexpr std::size_t kMostHelpers = 16;
// Numbers of engines that are tried for a prompt that no engine can hold.
constexpr std::array<std::size_t, 7> kSpanParts{2, 3, 4, 6, 8, 12, 17};
// A lease on memory. It is short, so that an engine has the memory back soon
// after this process has ended without releasing it.
constexpr duration kHold = std::chrono::milliseconds(3'000);
constexpr duration kRenewAfter = std::chrono::milliseconds(1'200);
// Share of an engine's free memory that a reservation may ask for.
constexpr double kReservedShare = 0.8;
// Share of the aim within which a span must be reserved.
constexpr double kReserveShare = 0.5;
// Worth, in very short requests, of a second of an engine that has no second
// left. Short prompts bring many times that, the longest less.
constexpr double kFullPrice = 16;
// Share of the engines' time up to which it has no price.
constexpr double kFreeShare = 0.45;
// Of the prompts that are priced out this share is refused, so that the longest
// are still served: with one return, every second of them at least.
constexpr std::uint64_t kShedOfHundred = 70;
constexpr std::uint64_t kOutOfHundred = 100;
// A prompt is small when it takes less than this part of an engine's memory.
constexpr std::uint64_t kSmallPart = 8;
// Worth, in very short requests, from which a prompt that would be late is
// refused: what it would keep from others is more than a late answer is worth.
constexpr double kLongWorth = 3;
// Harm to others, in late short requests, above which a call waits.
constexpr double kWaitHarm = 0.3;
// Time to the first event beside the reading itself, above which a prompt is
// queueing at the engines: about two passes with reads of others.
constexpr duration kMostQueueing = std::chrono::milliseconds(200);
// Share of the time until its first event is late that a call's placement may
// take and still wait.
constexpr double kWaitShare = 0.4;
// How often a waiting call is placed again: a fraction of a pass.
constexpr duration kPlaceAgain = std::chrono::milliseconds(20);

std::vector<job> PromptJobs(const state& current,
                            const engine_properties& engine,
                            const flight& of,
                            const placement& at) {
  const dispatch_id key = KeyOf(current, of.request.id, of.current->number);
  const std::size_t parts = at.helpers.size() + 1;
  job first;
  first.key = key;
  first.target = at.first;
  first.reading = at.part;
  first.is_part = parts > 1;
  first.due = of.arrived + of.request.latency_objective;
  first.worth = Worth(engine, of.request.prompt_tokens);
  first.writes = true;
  first.gap_objective = of.request.gap_objective;
  first.memory_tokens = of.request.prompt_tokens + of.request.output_tokens;
  first.context_tokens = of.request.prompt_tokens / parts;
  first.latest_end = of.deadline;
  std::vector<job> jobs{first};
  for (const target_id& id : at.helpers) {
    job part = first;
    part.target = id;
    part.writes = false;
    part.memory_tokens = 0;
    part.context_tokens = 0;

    jobs.push_back(part);
  }
  return jobs;
}

demand Demand(const flight& of, time_point now) {
  return {of.request.prompt_tokens,
          of.request.prompt_tokens + of.request.output_tokens, 1,
          AimLeft(of, now), of.request.gap_objective};
}

struct span_plan {
  placement at;
  std::vector<reservation> reservations;
  std::uint64_t first_tokens{};
};

std::uint64_t RoomOf(const state& current,
                     const engine_properties& engine,
                     const target_id& id,
                     time_point now) {
  const auto load = current.ledger.Load(id, now);
  const std::uint64_t free =
      engine.memory_tokens - std::min(engine.memory_tokens, load.memory_tokens);
  return static_cast<std::uint64_t>(static_cast<double>(free) * kReservedShare);
}

// Spreads a prompt that no engine can hold: the placement is the one of any
// prompt, on as many engines as the memory asks for; each helper holds a part
// of the memory in proportion to its room, the first engine the rest.
std::optional<span_plan> PlanSpan(const state& current,
                                  const engine_properties& engine,
                                  const std::vector<const target*>& candidates,
                                  demand wanted,
                                  time_point now) {
  const std::uint64_t needed = wanted.memory_tokens;
  for (const std::size_t parts : kSpanParts) {
    wanted.least_parts = parts;
    wanted.memory_tokens = needed / parts;
    auto at = PlacePrompt(engine, candidates, current.ledger, wanted,
                          kMostHelpers, now);
    if (!at) {
      continue;
    }
    const std::uint64_t first_room = RoomOf(current, engine, at->first, now);
    std::uint64_t room = first_room;
    for (const target_id& id : at->helpers) {
      room += RoomOf(current, engine, id, now);
    }
    if (room < needed) {
      continue;
    }
    span_plan plan{std::move(*at), {}, needed};
    for (const target_id& id : plan.at.helpers) {
      const auto tokens = static_cast<std::uint64_t>(
          static_cast<double>(needed) *
          static_cast<double>(RoomOf(current, engine, id, now)) /
          static_cast<double>(room));
      const target* found = current.targets.Find(id);
      if (tokens > 0 && found != nullptr) {
        plan.first_tokens -= tokens;
        plan.reservations.push_back(
            {id, found->address, "", tokens, false, now + kRenewAfter});
      }
    }
    return plan;
  }
  return std::nullopt;
}

// A call waits for a better moment as long as its first event can still be in
// time after it; then it takes what there is, or is refused.
bool MayWait(const flight& of, duration first_event, time_point now) {
  const duration left = AimLeft(of, now);
  return first_event <
             std::chrono::duration_cast<duration>(left * kWaitShare) &&
         now + kLeastTimeLeft < of.deadline;
}

// A prompt that queues at the engines holds their memory without being read,
// and one that harms others may find a better moment.
bool IsBetterLater(const placement& at) {
  return at.harm > kWaitHarm || at.first_event - at.part > kMostQueueing;
}

void Wait(flight& of, time_point now) {
  of.place_at = now + kPlaceAgain;
}

void StartSpan(state& current,
               flight& of,
               const engine_properties& engine,
               const std::vector<const target*>& candidates,
               time_point now,
               effects& out) {
  auto plan = PlanSpan(current, engine, candidates, Demand(of, now), now);
  const bool wait = !plan || IsBetterLater(plan->at);
  if (wait && MayWait(of, plan ? plan->at.first_event : kPlaceAgain, now)) {
    Wait(of, now);
    return;
  }
  if (!plan) {
    Fail(current, of, failure_code::kSpanUnavailable, now, out);
    return;
  }
  attempt& started = NewAttempt(of, plan->at.first, now);
  started.predicted_first_event = plan->at.first_event;
  const std::string prefix =
      std::to_string(KeyOf(current, of.request.id, started.number));
  for (std::size_t index = 0; index < plan->reservations.size(); ++index) {
    plan->reservations[index].ticket = prefix + "-" + std::to_string(index);
  }
  started.reservations = std::move(plan->reservations);
  std::vector<job> jobs = PromptJobs(current, engine, of, plan->at);
  jobs.front().memory_tokens = plan->first_tokens;
  for (const target_id& id : plan->at.helpers) {
    const target* found = current.targets.Find(id);
    helper one{id, found ? found->address : "", ""};
    for (const reservation& each : started.reservations) {
      if (each.target == id) {
        one.ticket = each.ticket;
        job held = jobs.front();
        held.target = id;
        held.reading = {};
        held.writes = false;
        held.memory_tokens = each.tokens;
        held.context_tokens = 0;
        jobs.push_back(held);
      }
    }
    started.helpers.push_back(std::move(one));
  }
  // Tickets are filled in the order of the list.
  std::stable_partition(
      started.helpers.begin(), started.helpers.end(),
      [](const helper& each) { return !each.ticket.empty(); });
  Announce(current, std::move(jobs), now, out);
  started.silent_at = now + std::chrono::duration_cast<duration>(
                                AimLeft(of, now) * kReserveShare);
  for (const reservation& each : started.reservations) {
    out.emplace_back(reserve_memory{of.request.id, started.number, each.address,
                                    each.target, each.ticket, each.tokens,
                                    kHold, false});
  }
}

// Whether the time that engines would spend on a prompt is worth more to the
// prompts that come after it. Time has a price only when it is short.
bool IsPricedOut(const engine_properties& engine,
                 std::uint64_t prompt_tokens,
                 double busy) {
  // More than all of the time cannot be short: short prompts are never too
  // dear.
  const double price = kFullPrice *
                       (std::clamp(busy, kFreeShare, 1.0) - kFreeShare) /
                       (1 - kFreeShare);
  return price * ToSeconds(ReadingTime(engine, prompt_tokens)) >
         Worth(engine, prompt_tokens);
}

bool MayBeShed(const flight& of) {
  return !of.delivered && of.attempts == 0;
}

void Shed(state& current,
          flight& of,
          const engine_properties& engine,
          double busy,
          duration first_event,
          time_point now,
          effects& out) {
  Record(out, decision_kind::kShed, of.request.caller_request_id,
         {{"busy", std::to_string(busy)},
          {"reading_ms", Millis(ReadingTime(engine, of.request.prompt_tokens))},
          {"worth", std::to_string(Worth(engine, of.request.prompt_tokens))},
          {"first_ms", Millis(first_event)},
          {"aim_left_ms", Millis(AimLeft(of, now))},
          {"jobs", std::to_string(current.ledger.JobCount())}});
  Fail(current, of, failure_code::kShed, now, out);
}

}  // namespace

void StartPrompt(state& current,
                 flight& of,
                 const engine_properties& engine,
                 const std::vector<const target*>& candidates,
                 time_point now,
                 effects& out) {
  const double busy = current.ledger.Utilization(candidates.size(), now);
  if (MayBeShed(of) && IsPricedOut(engine, of.request.prompt_tokens, busy) &&
      DrawBelow(current.random, kOutOfHundred) < kShedOfHundred) {
    Shed(current, of, engine, busy, {}, now, out);
    return;
  }
  if (of.request.prompt_tokens + of.request.output_tokens >
      engine.memory_tokens) {
    StartSpan(current, of, engine, candidates, now, out);
    return;
  }
  demand wanted = Demand(of, now);
  auto chosen = PlacePrompt(engine, candidates, current.ledger, wanted,
                            kMostHelpers, now);
  if (!chosen && wanted.memory_tokens * kSmallPart < engine.memory_tokens) {
    // A small prompt finds room as soon as any other ends.
    wanted.memory_tokens = 0;
    chosen = PlacePrompt(engine, candidates, current.ledger, wanted,
                         kMostHelpers, now);
  }
  if (!chosen) {
    // No engine has the memory left by itself.
    StartSpan(current, of, engine, candidates, now, out);
    return;
  }
  if (IsBetterLater(*chosen) && MayWait(of, chosen->first_event, now)) {
    Wait(of, now);
    return;
  }
  const duration in_time = of.arrived + of.request.latency_objective - now;
  if (MayBeShed(of) && chosen->first_event > in_time &&
      Worth(engine, of.request.prompt_tokens) > kLongWorth) {
    Shed(current, of, engine, busy, chosen->first_event, now, out);
    return;
  }
  attempt& started = NewAttempt(of, chosen->first, now);
  started.predicted_first_event = chosen->first_event;
  for (const target_id& id : chosen->helpers) {
    const target* found = current.targets.Find(id);
    started.helpers.push_back({id, found ? found->address : "", ""});
  }
  Announce(current, PromptJobs(current, engine, of, *chosen), now, out);
  Send(current, of, now, out);
}

void SettleReservation(state& current,
                       flight& of,
                       const reservation_settled& settled,
                       time_point now,
                       effects& out) {
  attempt& running = *of.current;
  bool all_held = true;
  for (reservation& each : running.reservations) {
    if (each.ticket == settled.ticket) {
      each.held = settled.held;
    }
    all_held = all_held && each.held;
  }
  Record(out, decision_kind::kReserved, of.request.caller_request_id,
         {{"ticket", settled.ticket}, {"held", settled.held ? "yes" : "no"}});
  if (running.sent) {
    return;
  }
  if (!settled.held) {
    Fail(current, of, failure_code::kSpanUnavailable, now, out);
  } else if (all_held && !running.sent) {
    Send(current, of, now, out);
  }
}

void RenewReservations(flight& of, time_point now, effects& out) {
  if (!of.current) {
    return;
  }
  for (reservation& each : of.current->reservations) {
    if (each.held && each.renew_at <= now) {
      each.renew_at = now + kRenewAfter;
      out.emplace_back(reserve_memory{of.request.id, of.current->number,
                                      each.address, each.target, each.ticket,
                                      each.tokens, kHold, true});
    }
  }
}

}  // namespace acaciaferry::forwarding::internal
