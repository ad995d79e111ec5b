#include "acaciaferry/reducer/span_events.hpp"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "acaciaferry/reducer/attempt_control.hpp"
#include "acaciaferry/reducer/dispatch.hpp"

namespace acaciaferry {
namespace internal {

// An engine with a smaller share of free memory gets no segment: each member
// adds a reservation and a point of failure.
constexpr double kMinFreeShare = 0.1;
// The rest is left for the growth of answers that run on the engine.
constexpr double kUsableShare = 0.95;

std::uint64_t RequiredTokens(const request_record& record) noexcept {
  const std::uint64_t output = record.request.max_output_tokens > 0
                                   ? record.request.max_output_tokens
                                   : record.work.max_output_tokens;
  return record.request.prompt_tokens + output;
}

std::uint64_t PoolCapacityTokens(const state& state, const pool_id& id) {
  const pool* const known =
      state.config ? FindPool(*state.config, id) : nullptr;
  return known == nullptr ? 0 : known->kv_capacity_tokens;
}

span_candidate MakeCandidate(const state& state, const target& engine) {
  const load_report& report = *engine.report;
  const auto usable = static_cast<std::uint64_t>(
      static_cast<double>(report.kv_capacity_tokens) * kUsableShare);
  const std::uint64_t free = usable - std::min(usable, report.kv_used_tokens);
  const bool is_worthwhile =
      static_cast<double>(free) >=
      kMinFreeShare * static_cast<double>(report.kv_capacity_tokens);
  return {.target = engine.id,
          .address = engine.address,
          .capacity_tokens = usable,
          .free_tokens = is_worthwhile ? free : 0,
          .is_local = engine.failure_domain == state.self.failure_domain};
}

std::vector<span_candidate> SpanCandidates(const state& state,
                                           const request_id& id) {
  const request_record& record = state.requests.at(id);
  std::vector<span_candidate> candidates;
  for (const target* const each :
       LiveTargets(state.targets, record.request.pool)) {
    const bool is_excluded =
        std::find(record.excluded_targets.begin(),
                  record.excluded_targets.end(),
                  each->id) != record.excluded_targets.end();
    if (each->report && !is_excluded) {
      candidates.push_back(MakeCandidate(state, *each));
    }
  }
  return candidates;
}

candidate_source MakeCandidateSource(const state& state) {
  return [&state](const request_id& id) { return SpanCandidates(state, id); };
}

void AppendEffects(span_effects&& from, effects& out) {
  for (span_effect& each : from) {
    std::visit([&out](auto& value) { out.push_back(std::move(value)); }, each);
  }
}

// The attempt is sent to the head engine, the first member; every member keeps
// its segment in its reservation.
void LaunchOnSpan(state& state,
                  const request_id& id,
                  time_point now,
                  effects& out) {
  const span_plan& plan = *FindSpan(state.spans, id);
  request_record& record = state.requests.at(id);
  if (FindTarget(state.targets, plan.members.front().target) == nullptr) {
    // The head engine left while the other engines were being reserved.
    ReleaseSpan(state, id, out);
    StartSpan(state, record, now, out);
    return;
  }
  std::vector<std::string> reservations;
  for (std::uint32_t i = 0; i < plan.members.size(); ++i) {
    reservations.push_back(ToString(reservation_id{id, plan.round, i}));
  }
  LaunchSpanAttempt(state, record, plan.members.front().target,
                    std::move(reservations), now, out);
}

void RetryLostSpanAttempt(state& state,
                          const request_id& id,
                          time_point now,
                          effects& out) {
  const auto found = state.requests.find(id);
  if (found != state.requests.end() && found->second.current_attempt) {
    RetryOrFail(state, found->second, attempt_end::kAbandoned,
                retry_reason::kSpanMemberLost, failure_code::kTargetLost, now,
                out);
  }
}

}  // namespace internal

bool NeedsSpan(const state& state, const request_record& record) {
  return record.request.kind == request_kind::kCompletion &&
         NeedsSpan(internal::RequiredTokens(record),
                   internal::PoolCapacityTokens(state, record.request.pool));
}

void StartSpan(state& state,
               const request_record& record,
               time_point now,
               effects& out) {
  span_effects requested;
  BeginSpan(state.spans, record.request.id, internal::RequiredTokens(record),
            record.deadline, internal::MakeCandidateSource(state), state.random,
            now, requested);
  internal::AppendEffects(std::move(requested), out);
}

void ReleaseSpan(state& state, const request_id& id, effects& out) {
  span_effects requested;
  EndSpan(state.spans, id, requested);
  internal::AppendEffects(std::move(requested), out);
}

void MaintainSpans(state& state, time_point now, effects& out) {
  if (state.spans.spans.empty()) {
    return;
  }
  span_effects requested;
  const auto lost =
      AdvanceSpans(state.spans, internal::MakeCandidateSource(state),
                   state.random, now, requested);
  internal::AppendEffects(std::move(requested), out);
  for (const request_id& id : lost) {
    internal::RetryLostSpanAttempt(state, id, now, out);
  }
}

void OnSpanEvent(state& state,
                 const reservation_granted& event,
                 time_point now,
                 effects& out) {
  span_effects requested;
  const auto complete =
      OnReservationGranted(state.spans, event, now, requested);
  internal::AppendEffects(std::move(requested), out);
  if (complete) {
    internal::LaunchOnSpan(state, *complete, now, out);
  }
}

void OnSpanEvent(state& state,
                 const reservation_renewed& event,
                 time_point now,
                 effects& /*out*/) {
  OnReservationRenewed(state.spans, event, now);
}

void OnSpanEvent(state& state,
                 const reservation_refused& event,
                 time_point now,
                 effects& out) {
  span_effects requested;
  OnReservationRefused(state.spans, event, state.random, now, requested);
  internal::AppendEffects(std::move(requested), out);
}

void OnSpanEvent(state& state,
                 const reservation_lost& event,
                 time_point now,
                 effects& out) {
  span_effects requested;
  const auto lost =
      OnReservationLost(state.spans, event, state.random, now, requested);
  internal::AppendEffects(std::move(requested), out);
  if (lost) {
    internal::RetryLostSpanAttempt(state, *lost, now, out);
  }
}

}  // namespace acaciaferry
