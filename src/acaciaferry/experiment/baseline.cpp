#include "acaciaferry/experiment/baseline.hpp"

#include <algorithm>
#include <array>
#include <variant>

namespace acaciaferry {
namespace internal {

// The usual number of attempts of a proxy.
constexpr std::uint32_t kMaxAttempts = 3;
constexpr duration kMaxResponseMargin = std::chrono::milliseconds(200);
constexpr int kResponseMarginDivisor = 20;

std::uint64_t MaxTotalTokens(const request& request) noexcept {
  return request.prompt_tokens + request.max_output_tokens;
}

class baseline_reducer {
 public:
  baseline_reducer(baseline_state& state, time_point now, effects& out)
      : state_(state), now_(now), out_(out) {}

  void FailExpiredRequests() {
    while (!state_.deadlines.empty() &&
           state_.deadlines.begin()->first <= now_) {
      const request_id id = state_.deadlines.begin()->second;
      Fail(id, failure_code::kDeadlineExceeded, outcome::kUnknown);
    }
  }

  void operator()(const request_arrived& event) {
    const workload* const work =
        state_.config ? FindWorkload(*state_.config, event.request) : nullptr;
    if (work == nullptr) {
      out_.push_back(fail_request{
          event.request.id,
          {failure_code::kUnknownModel, outcome::kNotRun, std::nullopt}});
      return;
    }
    const duration margin =
        std::min(kMaxResponseMargin, work->deadline / kResponseMarginDivisor);
    auto& record = state_.requests[event.request.id];
    record.request = event.request;
    record.work = *work;
    record.deadline = now_ + work->deadline - margin;
    state_.deadlines.emplace(record.deadline, event.request.id);
    Dispatch(record, outcome::kNotRun);
  }

  void operator()(const deployment_received& event) {
    state_.config = event.config;
  }

  void operator()(const vm_list_received& event) {
    state_.targets.clear();
    for (const vm_record& entry : event.vms) {
      if (entry.role != vm_role::kEntry && !entry.leaving) {
        state_.targets.push_back(entry);
      }
    }
  }

  void operator()(const caller_disconnected& event) {
    if (state_.requests.contains(event.request)) {
      Remove(event.request, true);
    }
  }

  void operator()(const attempt_rejected& event) {
    if (auto* const record = FindCurrent(event.attempt)) {
      RetryOrFail(*record, true, failure_code::kTargetRejected);
    }
  }

  void operator()(const attempt_failed& event) {
    if (auto* const record = FindCurrent(event.attempt)) {
      const bool not_run = event.error == transport_error::kConnectFailed;
      RetryOrFail(*record, not_run, failure_code::kTargetLost);
    }
  }

  void operator()(const answer_chunk& event) {
    auto* const record = FindCurrent(event.attempt);
    if (record == nullptr || event.offset != record->delivered_bytes) {
      return;
    }
    record->delivered_bytes += event.text.size();
    out_.push_back(deliver_chunk{event.attempt.request, event.text});
  }

  void operator()(const answer_ended& event) {
    auto* const record = FindCurrent(event.attempt);
    if (record == nullptr || event.length != record->delivered_bytes) {
      return;
    }
    out_.push_back(finish_request{event.attempt.request, event.finish_reason});
    Remove(event.attempt.request, false);
  }

  template <typename Other>
  void operator()(const Other& /*event*/) const {}

 private:
  [[nodiscard]] baseline_state::request_record* FindCurrent(
      const attempt_id& id) {
    const auto found = state_.requests.find(id.request);
    const bool current =
        found != state_.requests.end() && found->second.current_attempt == id;
    return current ? &found->second : nullptr;
  }

  [[nodiscard]] std::uint64_t OutstandingLoad(const vm_record& target) {
    const auto& load = state_.load_by_target[{target.name}];
    const bool by_tokens = state_.kind == policy_kind::kLeastTokens ||
                           state_.kind == policy_kind::kLeastTokensPriority;
    return by_tokens && target.role == vm_role::kEngine ? load.tokens
                                                        : load.requests;
  }

  // Breaks ties at random; otherwise every VM would send its first requests to
  // the same target.
  [[nodiscard]] const vm_record* LeastLoaded(
      const std::vector<const vm_record*>& candidates) {
    const vm_record* best = nullptr;
    std::uint64_t ties = 0;
    for (const vm_record* const candidate : candidates) {
      const bool better = best == nullptr ||
                          OutstandingLoad(*candidate) < OutstandingLoad(*best);
      const bool tied =
          !better && OutstandingLoad(*candidate) == OutstandingLoad(*best);
      ties = better ? 1 : ties + (tied ? 1 : 0);
      if (better || (tied && DrawBelow(state_.random, ties) == 0)) {
        best = candidate;
      }
    }
    return best;
  }

  [[nodiscard]] const vm_record* SelectTarget(
      const std::vector<const vm_record*>& candidates,
      const pool_id& pool) {
    const auto random_target = [&] {
      return candidates[DrawBelow(state_.random, candidates.size())];
    };
    switch (state_.kind) {
      case policy_kind::kRandom:
        return random_target();
      case policy_kind::kRoundRobin:
        return candidates[state_.next_by_pool[pool]++ % candidates.size()];
      case policy_kind::kTwoChoices: {
        const vm_record* const first = random_target();
        const vm_record* const second = random_target();
        return LeastLoaded({first, second});
      }
      default:
        return LeastLoaded(candidates);
    }
  }

  void Dispatch(baseline_state::request_record& record,
                outcome outcome_without_target) {
    std::vector<const vm_record*> candidates;
    for (const vm_record& target : state_.targets) {
      const bool failed_there =
          record.attempts > 0 && target.name == record.target.value;
      if (target.pool == record.request.pool && !failed_there) {
        candidates.push_back(&target);
      }
    }
    if (candidates.empty()) {
      Fail(record.request.id, failure_code::kNoLiveTarget,
           outcome_without_target);
      return;
    }
    const vm_record& chosen = *SelectTarget(candidates, record.request.pool);
    record.target = {chosen.name};
    record.address = chosen.address;
    record.dispatched = true;
    record.current_attempt = {record.request.id, ++record.attempts};
    auto& load = state_.load_by_target[record.target];
    ++load.requests;
    load.tokens += MaxTotalTokens(record.request);
    const bool with_priority = state_.kind == policy_kind::kLeastTokensPriority;
    out_.push_back(
        start_attempt{.attempt = record.current_attempt,
                      .target = record.target,
                      .address = record.address,
                      .kind = record.request.kind,
                      .prompt_tokens = record.request.prompt_tokens,
                      .remaining = record.deadline - now_,
                      .priority = with_priority ? record.work.priority : 0,
                      .reservations = {}});
  }

  void RetryOrFail(baseline_state::request_record& record,
                   bool not_run,
                   failure_code code) {
    const bool can_retry =
        not_run || (record.work.idempotent && record.delivered_bytes == 0);
    const outcome result = not_run ? outcome::kNotRun : outcome::kUnknown;
    if (!can_retry || record.attempts >= kMaxAttempts) {
      Fail(record.request.id, code, result);
      return;
    }
    ReleaseLoad(record);
    Dispatch(record, result);
  }

  void ReleaseLoad(baseline_state::request_record& record) {
    record.dispatched = false;
    auto& load = state_.load_by_target[record.target];
    --load.requests;
    load.tokens -= MaxTotalTokens(record.request);
  }

  void Fail(request_id id, failure_code code, outcome result) {
    out_.push_back(fail_request{id, {code, result, std::nullopt}});
    Remove(id, true);
  }

  void Remove(request_id id, bool cancel) {
    auto& record = state_.requests.at(id);
    if (record.dispatched) {
      if (cancel) {
        out_.push_back(cancel_attempt{record.current_attempt, record.address,
                                      record.request.kind});
      }
      ReleaseLoad(record);
    }
    state_.deadlines.erase({record.deadline, id});
    state_.requests.erase(id);
  }

  baseline_state& state_;
  time_point now_;
  effects& out_;
};

}  // namespace internal

std::string_view ToString(policy_kind kind) noexcept {
  constexpr std::array<std::string_view, kPolicyCount> kNames{
      "acaciaferry",          "random",       "round_robin",
      "least_outstanding",    "least_tokens", "two_choices",
      "least_tokens_priority"};
  return kNames[static_cast<std::size_t>(kind)];
}

effects ReduceBaseline(baseline_state& state,
                       const event& event,
                       time_point now) {
  effects out;
  internal::baseline_reducer reducer(state, now, out);
  reducer.FailExpiredRequests();
  std::visit(reducer, event);
  return out;
}

std::optional<time_point> NextBaselineTimer(const baseline_state& state) {
  return state.deadlines.empty()
             ? std::nullopt
             : std::optional(state.deadlines.begin()->first);
}

}  // namespace acaciaferry
