#include "acaciaferry/experiment/baseline.hpp"

#include <algorithm>
#include <array>
#include <variant>

namespace acaciaferry {
namespace internal {

// As many tries as usual proxies make.
constexpr std::uint32_t kMostAttempts = 3;
constexpr duration kLargestAnswerMargin = std::chrono::milliseconds(200);
constexpr int kAnswerMarginDivisor = 20;

std::uint64_t TokensOf(const request& request) noexcept {
  return request.prompt_tokens + request.max_output_tokens;
}

class baseline_turn {
 public:
  baseline_turn(baseline_state& state, time_point now, effects& out)
      : state_(state), now_(now), out_(out) {}

  void Expire() {
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
        std::min(kLargestAnswerMargin, work->deadline / kAnswerMarginDivisor);
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
    for (const vm_entry& entry : event.vms) {
      if (entry.role != vm_role::kEntry && !entry.leaving) {
        state_.targets.push_back(entry);
      }
    }
  }

  void operator()(const caller_gone& event) {
    if (state_.requests.contains(event.request)) {
      Remove(event.request, true);
    }
  }

  void operator()(const attempt_rejected& event) {
    if (auto* const record = Current(event.attempt)) {
      RetryOrFail(*record, true, failure_code::kTargetRejected);
    }
  }

  void operator()(const attempt_failed& event) {
    if (auto* const record = Current(event.attempt)) {
      const bool not_run = event.error == transport_error::kConnectFailed;
      RetryOrFail(*record, not_run, failure_code::kTargetLost);
    }
  }

  void operator()(const answer_chunk& event) {
    auto* const record = Current(event.attempt);
    if (record == nullptr || event.offset != record->delivered) {
      return;
    }
    record->delivered += event.text.size();
    out_.push_back(deliver_chunk{event.attempt.request, event.text});
  }

  void operator()(const answer_ended& event) {
    auto* const record = Current(event.attempt);
    if (record == nullptr || event.length != record->delivered) {
      return;
    }
    out_.push_back(finish_request{event.attempt.request, event.finish_reason});
    Remove(event.attempt.request, false);
  }

  template <typename Other>
  void operator()(const Other& /*event*/) const {}

 private:
  [[nodiscard]] baseline_state::record* Current(const attempt_id& id) {
    const auto found = state_.requests.find(id.request);
    const bool current =
        found != state_.requests.end() && found->second.current == id;
    return current ? &found->second : nullptr;
  }

  [[nodiscard]] std::uint64_t Load(const vm_entry& target) {
    const auto& own = state_.own[{target.name}];
    const bool by_tokens = state_.kind == policy_kind::kLeastTokens ||
                           state_.kind == policy_kind::kLeastTokensPriority;
    return by_tokens && target.role == vm_role::kEngine ? own.tokens
                                                        : own.requests;
  }

  // Ties are broken at random; otherwise every VM would start with the same
  // target.
  [[nodiscard]] const vm_entry* Least(
      const std::vector<const vm_entry*>& candidates) {
    const vm_entry* best = nullptr;
    std::uint64_t ties = 0;
    for (const vm_entry* const candidate : candidates) {
      const bool better = best == nullptr || Load(*candidate) < Load(*best);
      const bool tied = !better && Load(*candidate) == Load(*best);
      ties = better ? 1 : ties + (tied ? 1 : 0);
      if (better || (tied && DrawBelow(state_.random, ties) == 0)) {
        best = candidate;
      }
    }
    return best;
  }

  [[nodiscard]] const vm_entry* Choose(const std::vector<const vm_entry*>& live,
                                       const pool_id& pool) {
    const auto any = [&] {
      return live[DrawBelow(state_.random, live.size())];
    };
    switch (state_.kind) {
      case policy_kind::kRandom:
        return any();
      case policy_kind::kRoundRobin:
        return live[state_.next[pool]++ % live.size()];
      case policy_kind::kTwoChoices: {
        const vm_entry* const first = any();
        const vm_entry* const second = any();
        return Least({first, second});
      }
      default:
        return Least(live);
    }
  }

  void Dispatch(baseline_state::record& record, outcome when_none) {
    std::vector<const vm_entry*> live;
    for (const vm_entry& target : state_.targets) {
      const bool failed_there =
          record.attempts > 0 && target.name == record.target.value;
      if (target.pool == record.request.pool && !failed_there) {
        live.push_back(&target);
      }
    }
    if (live.empty()) {
      Fail(record.request.id, failure_code::kNoLiveTarget, when_none);
      return;
    }
    const vm_entry& chosen = *Choose(live, record.request.pool);
    record.target = {chosen.name};
    record.address = chosen.address;
    record.dispatched = true;
    record.current = {record.request.id, ++record.attempts};
    auto& own = state_.own[record.target];
    ++own.requests;
    own.tokens += TokensOf(record.request);
    const bool with_priority = state_.kind == policy_kind::kLeastTokensPriority;
    out_.push_back(
        start_attempt{.attempt = record.current,
                      .target = record.target,
                      .address = record.address,
                      .kind = record.request.kind,
                      .prompt_tokens = record.request.prompt_tokens,
                      .remaining = record.deadline - now_,
                      .priority = with_priority ? record.work.priority : 0,
                      .reservations = {}});
  }

  void RetryOrFail(baseline_state::record& record,
                   bool not_run,
                   failure_code code) {
    const bool safe =
        not_run || (record.work.idempotent && record.delivered == 0);
    const outcome result = not_run ? outcome::kNotRun : outcome::kUnknown;
    if (!safe || record.attempts >= kMostAttempts) {
      Fail(record.request.id, code, result);
      return;
    }
    Release(record);
    Dispatch(record, result);
  }

  void Release(baseline_state::record& record) {
    record.dispatched = false;
    auto& own = state_.own[record.target];
    --own.requests;
    own.tokens -= TokensOf(record.request);
  }

  void Fail(request_id id, failure_code code, outcome result) {
    out_.push_back(fail_request{id, {code, result, std::nullopt}});
    Remove(id, true);
  }

  void Remove(request_id id, bool cancel) {
    auto& record = state_.requests.at(id);
    if (record.dispatched) {
      if (cancel) {
        out_.push_back(cancel_attempt{record.current, record.address,
                                      record.request.kind});
      }
      Release(record);
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
  internal::baseline_turn turn(state, now, out);
  turn.Expire();
  std::visit(turn, event);
  return out;
}

std::optional<time_point> NextBaselineTimer(const baseline_state& state) {
  return state.deadlines.empty()
             ? std::nullopt
             : std::optional(state.deadlines.begin()->first);
}

}  // namespace acaciaferry
