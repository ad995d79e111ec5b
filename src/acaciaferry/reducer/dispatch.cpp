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

// A lane without room is looked at again after this long: a fraction of what
// targets may have queued, so that none of them runs dry.
constexpr duration kBlockedPause = std::chrono::milliseconds(5);
// What is shed now competes with what is queued for about this long.
constexpr duration kShedRetryAfter = std::chrono::seconds(2);

routing_view ViewOf(const state& state, time_point now) {
  return {.targets = state.targets,
          .costs = state.costs,
          .policy = state.config->policy,
          .own_domain = state.self.failure_domain,
          .now = now};
}

cached_prefix CachedPrefix(const state& state,
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

void ShedLate(state& state, time_point now, effects& out) {
  for (const request_id& id : TooLateToStart(state.waiting, now)) {
    EndRequest(state, id, NotRun(failure_code::kShed, kShedRetryAfter), now,
               out);
  }
}

attempt_id OpenAttempt(state& state,
                       request_record& record,
                       const target_id& place,
                       std::vector<std::string> reservations,
                       time_point now,
                       effects& out) {
  const target& target = *FindTarget(state.targets, place);
  const attempt_id id{record.request.id, ++record.attempts_made};
  ForgetAnswer(record);
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

start_result StartHead(state& state,
                       const request_id& id,
                       time_point now,
                       effects& out) {
  request_record& record = state.requests.at(id);
  if (IsSuspectRequest(state, record, now)) {
    // It has become one in the queue; it must not hold up those behind it.
    RemoveWaiting(state.waiting, id, now);
    StartAttempt(state, record, NotRun(failure_code::kNoLiveTarget), now, out);
    return start_result::kStarted;
  }
  if (NeedsSpan(state, record)) {
    RemoveWaiting(state.waiting, id, now);
    StartSpan(state, record, now, out);
    return start_result::kStarted;
  }
  const auto choice = ChooseFor(state, record, now);
  if (!choice || !choice->has_room) {
    return start_result::kNoRoom;
  }
  if (choice->is_grounded && now + choice->run > record.deadline) {
    RelaxRunRatio(state.costs, record.request.pool);
    EndRequest(state, id, NotRun(failure_code::kShed, kShedRetryAfter), now,
               out);
    return start_result::kShed;
  }
  RemoveWaiting(state.waiting, id, now);
  LaunchAttempt(state, record, *choice, now, out);
  return start_result::kStarted;
}

// Serves one turn of a lane. Returns whether another may follow.
bool ServeTurn(state& state, lane& in, time_point now, effects& out) {
  const std::vector<contender> heads = Contenders(state.waiting, in);
  const auto next = NextTurn(in.turns, heads);
  if (!next) {
    return false;
  }
  const contender& head = heads[next->index];
  const request_id id = in.workspaces.at(*head.workspace).requests.begin()->id;
  const double cost = head.cost;
  // The heads point into the lane, so the turn is settled before it changes.
  round_robin after = in.turns;
  TakeTurn(after, heads, *next);
  const start_result result = StartHead(state, id, now, out);
  if (result == start_result::kNoRoom) {
    in.blocked_until = now + kBlockedPause;
    return false;
  }
  if (result == start_result::kStarted) {
    NoteDrained(in, cost, now);
    in.turns = std::move(after);
  }
  return true;
}

}  // namespace internal

std::optional<routing_choice> ChooseFor(state& state,
                                        const request_record& record,
                                        time_point now) {
  const cached_prefix cached = internal::CachedPrefix(state, record, now);
  const auto choose = [&](std::span<const target_id> excluded) {
    return ChooseTarget(state.routing,
                        {record.request, record.work, excluded, cached},
                        internal::ViewOf(state, now), state.random);
  };
  const std::vector<target_id> apart = TargetsToAvoid(state, record, now);
  const auto unreachable = UnreachableTargets(state.reachability, now);
  if (apart.empty() && unreachable.empty()) {
    return choose(record.excluded);
  }
  std::vector<target_id> avoided = record.excluded;
  avoided.insert(avoided.end(), apart.begin(), apart.end());
  const std::size_t required = avoided.size();
  avoided.insert(avoided.end(), unreachable.begin(), unreachable.end());
  if (auto choice = choose(avoided)) {
    return choice;
  }
  // A suspect waits; others rather share a target with one than wait, and any
  // request rather tries an unreachable target than none.
  avoided.resize(required);
  const bool is_suspect = IsSuspectRequest(state, record, now);
  return choose(is_suspect ? avoided : record.excluded);
}

void LaunchAttempt(state& state,
                   request_record& record,
                   const routing_choice& choice,
                   time_point now,
                   effects& out) {
  const attempt_id id =
      internal::OpenAttempt(state, record, choice.target, {}, now, out);
  RecordDispatch(state.routing, id, choice, IsLongRequest(record.request), now);
  RecordAttempt(state.history, id, choice.target, choice.first_token, now);
}

void LaunchSpanAttempt(state& state,
                       request_record& record,
                       const target_id& head,
                       std::vector<std::string> reservations,
                       time_point now,
                       effects& out) {
  const attempt_id id = internal::OpenAttempt(
      state, record, head, std::move(reservations), now, out);
  RecordAttempt(state.history, id, head, std::nullopt, now);
}

void DispatchWaiting(state& state, time_point now, effects& out) {
  if (!state.config || state.waiting.requests.empty()) {
    return;
  }
  internal::ShedLate(state, now, out);
  for (auto& [id, in] : state.waiting.lanes) {
    if (in.blocked_until > now) {
      continue;
    }
    while (internal::ServeTurn(state, in, now, out)) {
    }
  }
}

std::optional<time_point> NextDispatch(const state& state) {
  std::optional<time_point> next;
  for (const auto& [id, in] : state.waiting.lanes) {
    if (!in.workspaces.empty()) {
      next = next ? std::min(*next, in.blocked_until) : in.blocked_until;
    }
  }
  return next;
}

}  // namespace acaciaferry
