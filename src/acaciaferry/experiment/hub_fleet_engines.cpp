#include <algorithm>
#include <utility>

#include "acaciaferry/experiment/hub_fleet_parts.hpp"

// The callers and engines of the model.
namespace acaciaferry {
namespace internal {
namespace {

// Time that the events of an answer to a short prompt take.
constexpr duration kAnswerTime = std::chrono::milliseconds(1'600);
constexpr duration kEventInterval = std::chrono::milliseconds(200);
constexpr std::uint64_t kOutputTokens = 1'500;
constexpr std::uint64_t kLongPrompt = 60'000;
constexpr std::uint64_t kShortTokens = 5'000;
// A crashed engine is back after this time.
constexpr duration kDownTime = std::chrono::seconds(3);

}  // namespace
}  // namespace internal

void hub_fleet::Serve(std::size_t vm, const forwarding::send_attempt& attempt) {
  auto& self = *vms_[vm];
  if (const auto at = self.waiting.find(attempt.id); at != self.waiting.end()) {
    longest_placement_ = std::max(longest_placement_, clock_->now - at->second);
    self.waiting.erase(at);
  }
  for (const forwarding::helper& each : attempt.helpers) {
    FindEngine(each.target).arrivals.push_back(clock_->now);
  }
  engine& target = FindEngine(attempt.target);
  if (target.down_until > clock_->now) {
    AfterAt(vm, std::chrono::milliseconds(1), [this, vm, attempt] {
      Post(vm, forwarding::attempt_failed{
                   attempt.id, attempt.attempt,
                   forwarding::attempt_failure::kNotConnected});
    });
    return;
  }
  target.arrivals.push_back(clock_->now);
  most_ = std::max(most_, ++target.running);
  const auto& pending = self.state->pending_calls.at(attempt.id);
  const std::uint64_t fingerprint = pending.request.fingerprint;
  target.exchanges.push_back({vm, self.life, attempt.id, attempt.attempt});
  const duration first = pending.running_attempt->predicted_first_event +
                         std::chrono::milliseconds(5);
  const forwarding::limit_statement limit{target.limit};
  const forwarding::availability_statement availability{target.leaving, {}};
  AfterAt(vm, std::chrono::milliseconds(1), [this, vm, attempt] {
    Post(vm, forwarding::attempt_sent{attempt.id, attempt.attempt});
  });
  AfterAt(vm, first, [this, vm, attempt, limit, availability] {
    Post(vm, forwarding::response_started{attempt.id,
                                          attempt.attempt,
                                          forwarding::response_verdict::kServed,
                                          200,
                                          "",
                                          {},
                                          limit,
                                          availability});
  });
  if (const auto at = crashing_.find(fingerprint); at != crashing_.end()) {
    const auto events = static_cast<std::int64_t>(at->second);
    After(first + events * internal::kEventInterval,
          [this, index = &target - engines_.data()] {
            Crash(static_cast<std::size_t>(index));
          });
  }
  std::uint64_t event = 0;
  for (duration at = first; at < first + internal::kAnswerTime;
       at += internal::kEventInterval) {
    ++event;
    AfterAt(vm, at + std::chrono::milliseconds(1), [this, vm, attempt, event] {
      // A stream that is resumed goes on after the last event.
      Post(vm, forwarding::response_progressed{attempt.id, attempt.attempt,
                                               attempt.resume_after + event});
    });
  }
  AfterAt(vm, first + internal::kAnswerTime, [this, vm, attempt, fingerprint] {
    const auto& calls = vms_[vm]->state->pending_calls;
    const auto at = calls.find(attempt.id);
    if (at != calls.end() && at->second.running_attempt &&
        at->second.running_attempt->number == attempt.attempt) {
      ++answered_[fingerprint];
    }
    Post(vm, forwarding::response_completed{attempt.id, attempt.attempt});
  });
  After(first + internal::kAnswerTime, [this, vm, attempt, &target] {
    --target.running;
    std::erase_if(target.exchanges, [&](const engine::exchange& each) {
      return each.vm == vm && each.call == attempt.id &&
             each.attempt == attempt.attempt;
    });
  });
}

hub_fleet::engine& hub_fleet::FindEngine(const target_id& id) {
  return *std::find_if(engines_.begin(), engines_.end(),
                       [&](const engine& each) { return each.id == id; });
}

void hub_fleet::SetCrashing(std::uint64_t fingerprint,
                            std::uint64_t after_events) {
  crashing_[fingerprint] = after_events;
}

void hub_fleet::Crash(std::size_t index) {
  engine& target = engines_[index];
  if (target.down_until > clock_->now) {
    return;
  }
  target.down_until = clock_->now + internal::kDownTime;
  crashes_.push_back(clock_->now);
  for (const engine::exchange& each : std::exchange(target.exchanges, {})) {
    if (vms_[each.vm]->running && vms_[each.vm]->life == each.life) {
      Post(each.vm,
           forwarding::attempt_failed{each.call, each.attempt,
                                      forwarding::attempt_failure::kBroken});
    }
  }
}

void hub_fleet::SendCall(std::size_t vm, std::uint64_t fingerprint) {
  SendCallTo(vm, internal::kShortTokens, fingerprint);
}

std::uint64_t hub_fleet::Answered(std::uint64_t fingerprint) const {
  const auto at = answered_.find(fingerprint);
  return at == answered_.end() ? 0 : at->second;
}

void hub_fleet::StartCall(std::uint64_t prompt_tokens) {
  std::size_t vm = DrawBelow(random_, vms_.size());
  // The platform sends callers to VMs that are ready.
  while (!vms_[vm]->running || vms_[vm]->revision == 0 ||
         (callers_ && vms_[vm]->domain != *callers_)) {
    vm = (vm + 1) % vms_.size();
  }
  // Fingerprints below this are left to callers of their own.
  constexpr std::uint64_t kFirstFingerprint = 1'000;
  SendCallTo(vm, prompt_tokens, kFirstFingerprint + calls_);
}

void hub_fleet::SendCallTo(std::size_t vm,
                           std::uint64_t prompt_tokens,
                           std::uint64_t fingerprint) {
  forwarding::call made;
  made.id = vms_[vm]->next_call++;
  made.caller_request_id = "c" + std::to_string(++calls_);
  made.pool = internal::kHubFleetPool;
  made.kind = forwarding::call_kind::kStreaming;
  made.resumable = true;
  made.max_attempts = 2;
  made.time_limit = std::chrono::seconds(10);
  made.latency_objective = std::chrono::milliseconds(
      prompt_tokens > internal::kLongPrompt ? 3'000 : 400);
  made.gap_objective = std::chrono::milliseconds(250);
  made.prompt_tokens = prompt_tokens;
  made.output_tokens = internal::kOutputTokens;
  made.fingerprint = fingerprint;
  vms_[vm]->waiting[made.id] = clock_->now;
  Post(vm, forwarding::call_arrived{made});
}

void hub_fleet::SetLimit(std::size_t index,
                         std::optional<double> requests_per_s) {
  engines_[index].limit = requests_per_s;
}

void hub_fleet::SetLeaving(std::size_t index) {
  engines_[index].leaving = true;
}

const std::vector<time_point>& hub_fleet::Arrivals(std::size_t index) const {
  return engines_[index].arrivals;
}

}  // namespace acaciaferry
