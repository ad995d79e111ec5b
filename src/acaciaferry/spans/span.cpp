#include "acaciaferry/spans/span.hpp"

#include <algorithm>
#include <utility>

namespace acaciaferry {
namespace internal {

constexpr duration kMaxBackOff = std::chrono::milliseconds(800);
constexpr duration kMinBackOff = std::chrono::milliseconds(20);

// Takes the engines with the most free memory, those of this VM's failure
// domain first, until the request fits. The members are returned in target-id
// order: all VMs reserve in the same order, so that no two of them deadlock.
std::vector<span_member> ChooseMembers(std::vector<span_candidate> candidates,
                                       std::uint64_t tokens) {
  std::stable_sort(candidates.begin(), candidates.end(),
                   [](const span_candidate& a, const span_candidate& b) {
                     return a.is_local != b.is_local
                                ? a.is_local
                                : a.free_tokens > b.free_tokens;
                   });
  std::vector<span_member> members;
  std::uint64_t remaining_tokens = tokens;
  for (const span_candidate& each : candidates) {
    if (remaining_tokens == 0) {
      break;
    }
    const std::uint64_t share =
        std::min({remaining_tokens, each.capacity_tokens, each.free_tokens});
    if (share > 0) {
      members.push_back(
          {each.target, each.address, share, member_phase::kPlanned, {}});
      remaining_tokens -= share;
    }
  }
  if (remaining_tokens > 0) {
    return {};
  }
  std::sort(members.begin(), members.end(),
            [](const span_member& a, const span_member& b) {
              return a.target < b.target;
            });
  return members;
}

void ReserveNextMember(const request_id& id,
                       span_plan& plan,
                       time_point now,
                       span_effects& out) {
  for (std::uint32_t i = 0; i < plan.members.size(); ++i) {
    span_member& member = plan.members[i];
    if (member.phase == member_phase::kPlanned) {
      member.phase = member_phase::kRequested;
      out.push_back(reserve_memory{{id, plan.round, i},
                                   member.target,
                                   member.address,
                                   member.tokens,
                                   kSpanLease,
                                   plan.deadline - now});
      return;
    }
  }
}

// Members whose reservation was only requested are released too, because the
// grant may be in flight.
void ReleaseMembers(const request_id& id, span_plan& plan, span_effects& out) {
  for (std::uint32_t i = 0; i < plan.members.size(); ++i) {
    const span_member& member = plan.members[i];
    if (member.phase != member_phase::kPlanned) {
      out.push_back(release_reservation{{id, plan.round, i}, member.address});
    }
  }
  plan.members.clear();
  plan.is_complete = false;
}

// Jitter keeps two VMs from colliding repeatedly. Its range halves with each
// round, so that older spans retry sooner than newer ones.
void BackOff(span_plan& plan, random_engine& random, time_point now) {
  const std::uint32_t halvings =
      std::min<std::uint32_t>(plan.rounds_started, 5);
  const duration range =
      std::max(kMaxBackOff / (1 << halvings), 2 * kMinBackOff);
  const auto jitter =
      DrawBelow(random, static_cast<std::uint64_t>(range.count()));
  plan.retry_at =
      now + kMinBackOff + duration(static_cast<std::int64_t>(jitter));
}

void StartRound(spans_state& state,
                const request_id& id,
                span_plan& plan,
                const candidate_source& candidates,
                random_engine& random,
                time_point now,
                span_effects& out) {
  plan.round = ++state.last_round;
  ++plan.rounds_started;
  plan.retry_at.reset();
  plan.renew_at = now + kSpanRenewal;
  plan.members = ChooseMembers(candidates(id), plan.tokens);
  if (plan.members.empty()) {
    BackOff(plan, random, now);
    return;
  }
  ReserveNextMember(id, plan, now, out);
}

// Returns the plan and the member of a reservation; both are null when it is of
// an earlier round or an unknown request.
std::pair<span_plan*, span_member*> FindMember(spans_state& state,
                                               const reservation_id& id) {
  const auto found = state.spans.find(id.request);
  const bool is_current = found != state.spans.end() &&
                          found->second.round == id.round &&
                          id.index < found->second.members.size();
  if (!is_current) {
    return {nullptr, nullptr};
  }
  return {&found->second, &found->second.members[id.index]};
}

void RenewLeases(const request_id& id,
                 span_plan& plan,
                 time_point now,
                 span_effects& out) {
  for (std::uint32_t i = 0; i < plan.members.size(); ++i) {
    const span_member& member = plan.members[i];
    if (member.phase == member_phase::kGranted) {
      out.push_back(
          renew_reservation{{id, plan.round, i}, member.address, kSpanLease});
    }
  }
  plan.renew_at = now + kSpanRenewal;
}

// Whether a granted lease has not been renewed for its whole duration: the
// engine may have given the memory to another request.
bool HasExpiredLease(const span_plan& plan, time_point now) noexcept {
  return std::any_of(plan.members.begin(), plan.members.end(),
                     [now](const span_member& each) {
                       return each.phase == member_phase::kGranted &&
                              now - each.renewed_at >= kSpanLease;
                     });
}

}  // namespace internal

void BeginSpan(spans_state& state,
               const request_id& id,
               std::uint64_t tokens,
               time_point deadline,
               const candidate_source& candidates,
               random_engine& random,
               time_point now,
               span_effects& out) {
  span_plan& plan = state.spans[id];
  plan.tokens = tokens;
  plan.deadline = deadline;
  internal::StartRound(state, id, plan, candidates, random, now, out);
}

std::optional<request_id> OnReservationGranted(spans_state& state,
                                               const reservation_granted& event,
                                               time_point now,
                                               span_effects& out) {
  const auto [plan, member] = internal::FindMember(state, event.reservation);
  if (member == nullptr) {
    out.push_back(release_reservation{event.reservation, event.address});
    return std::nullopt;
  }
  if (member->phase != member_phase::kRequested) {
    return std::nullopt;
  }
  member->phase = member_phase::kGranted;
  member->renewed_at = now;
  internal::ReserveNextMember(event.reservation.request, *plan, now, out);
  plan->is_complete = std::all_of(plan->members.begin(), plan->members.end(),
                                  [](const span_member& each) {
                                    return each.phase == member_phase::kGranted;
                                  });
  if (!plan->is_complete) {
    return std::nullopt;
  }
  return event.reservation.request;
}

void OnReservationRenewed(spans_state& state,
                          const reservation_renewed& event,
                          time_point now) noexcept {
  const auto [plan, member] = internal::FindMember(state, event.reservation);
  if (member != nullptr && member->phase == member_phase::kGranted) {
    member->renewed_at = now;
  }
}

void OnReservationRefused(spans_state& state,
                          const reservation_refused& event,
                          random_engine& random,
                          time_point now,
                          span_effects& out) {
  const auto [plan, member] = internal::FindMember(state, event.reservation);
  if (member == nullptr || member->phase != member_phase::kRequested) {
    return;
  }
  // The request may have reached the engine although its answer did not arrive,
  // so the refused member is released like the others.
  internal::ReleaseMembers(event.reservation.request, *plan, out);
  internal::BackOff(*plan, random, now);
}

std::optional<request_id> OnReservationLost(spans_state& state,
                                            const reservation_lost& event,
                                            random_engine& random,
                                            time_point now,
                                            span_effects& out) {
  const auto [plan, member] = internal::FindMember(state, event.reservation);
  if (member == nullptr || member->phase != member_phase::kGranted) {
    return std::nullopt;
  }
  const bool was_complete = plan->is_complete;
  internal::ReleaseMembers(event.reservation.request, *plan, out);
  internal::BackOff(*plan, random, now);
  if (!was_complete) {
    return std::nullopt;
  }
  return event.reservation.request;
}

void EndSpan(spans_state& state, const request_id& id, span_effects& out) {
  const auto found = state.spans.find(id);
  if (found == state.spans.end()) {
    return;
  }
  internal::ReleaseMembers(id, found->second, out);
  state.spans.erase(found);
}

std::vector<request_id> AdvanceSpans(spans_state& state,
                                     const candidate_source& candidates,
                                     random_engine& random,
                                     time_point now,
                                     span_effects& out) {
  std::vector<request_id> lost;
  for (auto& [id, plan] : state.spans) {
    if (internal::HasExpiredLease(plan, now)) {
      if (plan.is_complete) {
        lost.push_back(id);
      }
      internal::ReleaseMembers(id, plan, out);
      internal::BackOff(plan, random, now);
    } else if (plan.retry_at && *plan.retry_at <= now) {
      internal::StartRound(state, id, plan, candidates, random, now, out);
    } else if (!plan.members.empty() && plan.renew_at <= now) {
      internal::RenewLeases(id, plan, now, out);
    }
  }
  return lost;
}

std::optional<time_point> NextSpanTimer(const spans_state& state) {
  std::optional<time_point> next;
  for (const auto& [id, plan] : state.spans) {
    const time_point at = plan.retry_at.value_or(plan.renew_at);
    next = next ? std::min(*next, at) : at;
  }
  return next;
}

const span_plan* FindSpan(const spans_state& state, const request_id& id) {
  const auto found = state.spans.find(id);
  return found == state.spans.end() ? nullptr : &found->second;
}

}  // namespace acaciaferry
