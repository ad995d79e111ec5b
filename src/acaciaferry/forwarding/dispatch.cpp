#include <algorithm>
#include <string>
#include <utility>

#include "acaciaferry/forwarding/flights.hpp"

namespace acaciaferry::forwarding::internal {
namespace {

// Share of the latency objective that is left within which all reservations of
// a prompt must be held.
constexpr double kReservationTimeShare = 0.5;

helper MakeHelper(const state& current,
                  const target_id& id,
                  const std::vector<reservation>& reservations) {
  const target* found = current.targets.Find(id);
  helper made{id, found ? found->address : "", ""};
  for (const reservation& each : reservations) {
    if (each.target == id) {
      made.ticket = each.ticket;
    }
  }
  return made;
}

std::vector<reservation> MakeReservations(const state& current,
                                          const placed_call& placed,
                                          dispatch_id key,
                                          time_point now) {
  std::vector<reservation> reservations;
  for (const memory_share& each : placed.memory) {
    const target* found = current.targets.Find(each.target);
    reservations.push_back(
        {each.target,
         found ? found->address : "",
         std::to_string(key) + "-" + std::to_string(reservations.size()),
         each.tokens,
         false,
         now + kRenewAfter,
         1,
         {}});
  }
  return reservations;
}

std::vector<failure_domain_id> DomainsOf(const state& current,
                                         const placement& at) {
  std::vector<failure_domain_id> domains;
  const auto add = [&](const target_id& id) {
    const target* found = current.targets.Find(id);
    if (found != nullptr && std::find(domains.begin(), domains.end(),
                                      found->failure_domain) == domains.end()) {
      domains.push_back(found->failure_domain);
    }
  };
  add(at.decode_target);
  std::for_each(at.helpers.begin(), at.helpers.end(), add);
  return domains;
}

job MakeDecodeJob(const state& current,
                  const pending_call& pending,
                  dispatch_id key,
                  const placed_call& placed) {
  job decode;
  decode.key = key;
  decode.target = placed.at.decode_target;
  decode.is_decode = true;
  decode.deadline = pending.deadline;
  const engine_properties* engine = EngineOf(current, pending.request.pool);
  if (engine == nullptr || pending.request.prompt_tokens == 0) {
    return decode;
  }
  const std::size_t parts = placed.at.helpers.size() + 1;
  decode.prefill_time = placed.at.part_time;
  decode.is_part = parts > 1;
  decode.first_event_due = pending.arrived + pending.request.latency_objective;
  decode.weight = RequestWeight(*engine, pending.request.prompt_tokens);
  decode.gap_objective = pending.request.gap_objective;
  decode.memory_tokens = placed.decode_target_tokens;
  decode.context_tokens = pending.request.prompt_tokens / parts;
  return decode;
}

}  // namespace

duration ReservationTime(const pending_call& pending, time_point now) {
  return std::chrono::duration_cast<duration>(RemainingLatency(pending, now) *
                                              kReservationTimeShare);
}

std::vector<job> JobsOf(const state& current,
                        const pending_call& pending,
                        dispatch_id key,
                        const placed_call& placed) {
  std::vector<job> jobs{MakeDecodeJob(current, pending, key, placed)};
  for (const target_id& id : placed.at.helpers) {
    job part = jobs.front();
    part.target = id;
    part.is_decode = false;
    part.memory_tokens = 0;
    part.context_tokens = 0;
    jobs.push_back(part);
  }
  for (const memory_share& each : placed.memory) {
    job held = jobs.front();
    held.target = each.target;
    held.prefill_time = {};
    held.is_decode = false;
    held.memory_tokens = each.tokens;
    held.context_tokens = 0;
    jobs.push_back(held);
  }
  return jobs;
}

void RecordDispatch(state& current,
                    std::vector<job> jobs,
                    told_by source,
                    time_point now,
                    effects& out) {
  for (const job& each : jobs) {
    current.ledger.Add(each, now);
    current.refusals.CountRequest(each.target, now);
  }
  CountAgainstLimits(current, jobs,
                     source == told_by::kThisVm
                         ? target_limits::placed_by::kThisVm
                         : target_limits::placed_by::kOther,
                     now);
  if (source == told_by::kThisVm) {
    out.emplace_back(notify_peers{std::move(jobs), {}, {}});
  }
}

attempt& NewAttempt(pending_call& pending,
                    const target_id& chosen,
                    time_point now) {
  pending.running_attempt.emplace();
  pending.running_attempt->number = ++pending.attempts;
  pending.running_attempt->target = chosen;
  pending.running_attempt->started = now;
  pending.first_attempt_at = pending.first_attempt_at.value_or(now);
  return *pending.running_attempt;
}

void StartPlaced(state& current,
                 pending_call& pending,
                 const placed_call& placed,
                 told_by source,
                 time_point now,
                 effects& out) {
  attempt& started = NewAttempt(pending, placed.at.decode_target, now);
  started.predicted_first_event = placed.at.time_to_first_event;
  if (const target* to = current.targets.Find(placed.at.decode_target)) {
    started.target_incarnation = to->incarnation;
  }
  started.failure_domains = DomainsOf(current, placed.at);
  const dispatch_id key =
      DispatchIdOf(current, pending.request.id, started.number);
  started.reservations = MakeReservations(current, placed, key, now);
  for (const target_id& id : placed.at.helpers) {
    started.helpers.push_back(MakeHelper(current, id, started.reservations));
  }
  // Engines fill the reservations in the order of this list.
  std::stable_partition(
      started.helpers.begin(), started.helpers.end(),
      [](const helper& each) { return !each.ticket.empty(); });
  RecordDispatch(current, JobsOf(current, pending, key, placed), source, now,
                 out);
  if (started.reservations.empty()) {
    SendAttempt(current, pending, now, out);
    return;
  }
  started.progress_due = now + ReservationTime(pending, now);
  for (const reservation& each : started.reservations) {
    out.emplace_back(reserve_memory{pending.request.id, started.number,
                                    each.address, each.target, each.ticket,
                                    each.tokens, kLeaseTime, false});
  }
}

}  // namespace acaciaferry::forwarding::internal
