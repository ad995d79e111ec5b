#include "acaciaferry/reducer/dispatch.hpp"

#include <algorithm>
#include <cstdint>
#include <span>
#include <vector>

#include "acaciaferry/admission/admission.hpp"
#include "acaciaferry/reducer/attempt_control.hpp"
#include "acaciaferry/reducer/isolation.hpp"
#include "acaciaferry/reducer/lifecycle.hpp"
#include "acaciaferry/reducer/span_events.hpp"

namespace acaciaferry {
namespace internal {

// How long a pool_queue without a free target is skipped. Much shorter than the
// work that targets may have queued, so that no target becomes idle.
constexpr duration kBlockedQueueRetryDelay = std::chrono::milliseconds(5);
// A request that is shed now would compete with the queued ones for about this
// long.
constexpr duration kShedRetryAfter = std::chrono::seconds(2);

routing_context MakeRoutingContext(const state& state, time_point now) {
  return {.targets = state.targets,
          .costs = state.costs,
          .policy = state.config->policy,
          .own_domain = state.self.failure_domain,
          .now = now};
}

cached_prefix MakeCachedPrefix(const state& state,
                               const request_record& record,
                               time_point now) {
  const std::vector<std::uint64_t>& blocks = record.request.prefix_blocks;
  if (blocks.empty() || state.prefix_cache.targets.empty()) {
    return {};
  }
  return {[&state, &blocks, now](const target_id& target) {
            return ExpectedCachedTokens(state.prefix_cache, target, blocks,
                                        now);
          },
          FindHolder(state.prefix_cache, blocks)};
}

void ShedLateRequests(state& state, time_point now, effects& out) {
  for (const request_id& id : RequestsPastLatestStart(state.waiting, now)) {
    FailRequest(state, id, NotRunFailure(failure_code::kShed, kShedRetryAfter),
                now, out);
  }
}

attempt_id BeginAttempt(state& state,
                        request_record& record,
                        const target_id& target_name,
                        std::vector<std::string> reservations,
                        time_point now,
                        effects& out) {
  const target& target = *FindTarget(state.targets, target_name);
  const attempt_id id{record.request.id, ++record.attempts_made};
  ResetAnswer(record);
  record.current_attempt =
      attempt{id, target.id, target.address, attempt_phase::kUnsent, now};
  out.push_back(start_attempt{
      .attempt = id,
      .target = target.id,
      .address = target.address,
      .kind = record.request.kind,
      .prompt_tokens = record.request.prompt_tokens,
      .remaining = record.deadline - now,
      .priority = EnginePriority(record.work, record.request.prompt_tokens,
                                 state.config->policy),
      .reservations = std::move(reservations)});
  return id;
}

enum class start_result { kStarted, kShed, kNoRoom };

start_result StartHeadRequest(state& state,
                              const request_id& id,
                              time_point now,
                              effects& out) {
  request_record& record = state.requests.at(id);
  if (IsSuspectRequest(state, record, now)) {
    // The request became a suspect while it was queued. It waits outside the
    // queue, so that it does not block the requests behind it.
    RemoveWaiting(state.waiting, id, now);
    StartAttempt(state, record, NotRunFailure(failure_code::kNoLiveTarget), now,
                 out);
    return start_result::kStarted;
  }
  if (NeedsSpan(state, record)) {
    RemoveWaiting(state.waiting, id, now);
    StartSpan(state, record, now, out);
    return start_result::kStarted;
  }
  const auto choice = ChooseTargetFor(state, record, now);
  if (!choice || !choice->has_room) {
    return start_result::kNoRoom;
  }
  if (choice->uses_reported_rates && now + choice->run_time > record.deadline) {
    DecayRunRatio(state.costs, record.request.pool);
    FailRequest(state, id, NotRunFailure(failure_code::kShed, kShedRetryAfter),
                now, out);
    return start_result::kShed;
  }
  RemoveWaiting(state.waiting, id, now);
  LaunchAttempt(state, record, *choice, now, out);
  return start_result::kStarted;
}

// Starts or sheds the request that is next in a pool_queue. Returns whether to
// continue with the pool_queue.
bool ServeNextRequest(state& state,
                      pool_queue& from,
                      time_point now,
                      effects& out) {
  const std::vector<queue_head> heads = QueueHeads(state.waiting, from);
  const auto next = SelectNextWorkspace(from.scheduler, heads);
  if (!next) {
    return false;
  }
  const queue_head& head = heads[next->index];
  const request_id id =
      from.workspaces.at(*head.workspace).requests.begin()->id;
  const double cost = head.cost;
  // `heads` points into the pool_queue, so the scheduler's next state is
  // computed before the pool_queue changes.
  deficit_round_robin after = from.scheduler;
  ApplySelection(after, heads, *next);
  const start_result result = StartHeadRequest(state, id, now, out);
  if (result == start_result::kNoRoom) {
    from.blocked_until = now + kBlockedQueueRetryDelay;
    return false;
  }
  if (result == start_result::kStarted) {
    RecordDequeued(from, cost, now);
    from.scheduler = std::move(after);
  }
  return true;
}

}  // namespace internal

std::optional<routing_choice> ChooseTargetFor(state& state,
                                              const request_record& record,
                                              time_point now) {
  const cached_prefix cached = internal::MakeCachedPrefix(state, record, now);
  const auto choose = [&](std::span<const target_id> excluded) {
    return ChooseTarget(state.routing,
                        {record.request, record.work, excluded, cached},
                        internal::MakeRoutingContext(state, now), state.random);
  };
  const std::vector<target_id> isolated = TargetsToAvoid(state, record, now);
  const auto unreachable = UnreachableTargets(state.reachability, now);
  if (isolated.empty() && unreachable.empty()) {
    return choose(record.excluded_targets);
  }
  std::vector<target_id> avoided = record.excluded_targets;
  avoided.insert(avoided.end(), isolated.begin(), isolated.end());
  const std::size_t count_without_unreachable = avoided.size();
  avoided.insert(avoided.end(), unreachable.begin(), unreachable.end());
  if (auto choice = choose(avoided)) {
    return choice;
  }
  // A suspect always waits for an isolated target. Other requests share a
  // target with a suspect rather than wait. Every request tries an unreachable
  // target if there is no other.
  avoided.resize(count_without_unreachable);
  const bool is_suspect = IsSuspectRequest(state, record, now);
  return choose(is_suspect ? avoided : record.excluded_targets);
}

void LaunchAttempt(state& state,
                   request_record& record,
                   const routing_choice& choice,
                   time_point now,
                   effects& out) {
  const attempt_id id =
      internal::BeginAttempt(state, record, choice.target, {}, now, out);
  RecordDispatch(state.routing, id, choice, IsLongRequest(record.request), now);
  RecordAttempt(state.history, id, choice.target, choice.first_token, now);
}

void LaunchSpanAttempt(state& state,
                       request_record& record,
                       const target_id& head,
                       std::vector<std::string> reservations,
                       time_point now,
                       effects& out) {
  const attempt_id id = internal::BeginAttempt(
      state, record, head, std::move(reservations), now, out);
  RecordAttempt(state.history, id, head, std::nullopt, now);
}

void DispatchWaiting(state& state, time_point now, effects& out) {
  if (!state.config || state.waiting.requests.empty()) {
    return;
  }
  internal::ShedLateRequests(state, now, out);
  for (auto& [id, each] : state.waiting.pool_queues) {
    if (each.blocked_until > now) {
      continue;
    }
    while (internal::ServeNextRequest(state, each, now, out)) {
    }
  }
}

std::optional<time_point> NextDispatch(const state& state) {
  std::optional<time_point> next;
  for (const auto& [id, each] : state.waiting.pool_queues) {
    if (!each.workspaces.empty()) {
      next = next ? std::min(*next, each.blocked_until) : each.blocked_until;
    }
  }
  return next;
}

}  // namespace acaciaferry
