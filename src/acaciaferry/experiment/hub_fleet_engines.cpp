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
// Time within which a VM connects to an engine, or to a tunnel, and within
// which a tunnel and a probe connect.
constexpr duration kConnectTime = std::chrono::milliseconds(600);
constexpr duration kDialTime = std::chrono::milliseconds(500);
constexpr duration kProbeTime = std::chrono::milliseconds(400);
constexpr duration kRoundTrip = std::chrono::milliseconds(1);
// A caller without an event leaves after this time, or after a multiple of its
// latency objective if that is longer.
constexpr duration kShortestPatience = std::chrono::seconds(2);
constexpr int kPatienceInObjectives = 4;
// A crashed engine is back after this time.
constexpr duration kDownTime = std::chrono::seconds(3);
// A cold engine writes its entry this often.
constexpr duration kEntryInterval = std::chrono::milliseconds(1'200);

}  // namespace
}  // namespace internal

bool hub_fleet::IsPartitioned(std::size_t vm) const {
  return is_partitioned_(vm);
}

std::size_t hub_fleet::DialerOf(std::size_t vm,
                                const forwarding::send_attempt& attempt) const {
  return attempt.tunnel.empty() ? vm : IndexOf(attempt.tunnel);
}

void hub_fleet::FailToConnect(std::size_t vm,
                              const forwarding::send_attempt& attempt,
                              duration after,
                              forwarding::attempt_failure how) {
  AfterAt(vm, after, [this, vm, attempt, how] {
    Post(vm, forwarding::attempt_failed{attempt.id, attempt.attempt, how});
  });
}

void hub_fleet::Connect(std::size_t vm,
                        const forwarding::send_attempt& attempt) {
  auto& self = *vms_[vm];
  if (const auto at = self.waiting.find(attempt.id); at != self.waiting.end()) {
    longest_placement_ = std::max(longest_placement_, clock_->now - at->second);
    self.waiting.erase(at);
  }
  for (const forwarding::helper& each : attempt.helpers) {
    FindEngine(each.target).arrivals.push_back(clock_->now);
  }
  const std::size_t dialer = DialerOf(vm, attempt);
  if (dialer != vm && vms_[dialer]->running) {
    // The VM of a tunnel learns from it whether it reaches the engine itself.
    Probe(dialer, attempt.target, internal::kDialTime);
  }
  if (!vms_[dialer]->running) {
    FailToConnect(vm, attempt, internal::kRoundTrip,
                  forwarding::attempt_failure::kNoTunnel);
  } else if (IsPartitioned(dialer)) {
    const duration silent =
        attempt.tunnel.empty() ? internal::kConnectTime : internal::kDialTime;
    FailToConnect(vm, attempt,
                  partition_kind_ == partition_kind::kSilent
                      ? silent
                      : internal::kRoundTrip,
                  forwarding::attempt_failure::kNotConnected);
  } else if (FindEngine(attempt.target).down_until > clock_->now) {
    FailToConnect(vm, attempt, internal::kRoundTrip,
                  forwarding::attempt_failure::kNotConnected);
  } else if (plan_.engine_queues) {
    ServeInTurn(vm, attempt);
  } else {
    Serve(vm, attempt);
  }
}

void hub_fleet::ServeInTurn(std::size_t vm,
                            const forwarding::send_attempt& attempt) {
  engine& target = FindEngine(attempt.target);
  target.arrivals.push_back(clock_->now);
  most_ = std::max(most_, target.slots_held + target.queue.size() + 1);
  Respond(vm, attempt, internal::kRoundTrip,
          forwarding::attempt_sent{attempt.id, attempt.attempt});
  if (target.slots_held < plan_.slots) {
    ++target.slots_held;
    RunInSlot(target, vm, attempt);
  } else if (target.queue.size() < plan_.engine_queues->longest_queue) {
    target.queue.emplace_back(vm, attempt);
  } else {
    constexpr int kUnavailable = 503;
    ++rejected_;
    Respond(vm, attempt, 2 * internal::kRoundTrip,
            forwarding::response_started{attempt.id,
                                         attempt.attempt,
                                         forwarding::response_verdict::kNotRun,
                                         kUnavailable,
                                         "",
                                         {},
                                         {},
                                         {}});
  }
}

void hub_fleet::RunInSlot(engine& at,
                          std::size_t vm,
                          const forwarding::send_attempt& attempt) {
  const auto& calls = vms_[vm]->state->pending_calls;
  const auto call = calls.find(attempt.id);
  const duration first =
      (call != calls.end() && call->second.running_attempt
           ? call->second.running_attempt->predicted_first_event
           : duration{}) +
      std::chrono::milliseconds(5);
  const duration whole = std::max(plan_.engine_queues->stream, first);
  Respond(vm, attempt, first,
          forwarding::response_started{attempt.id,
                                       attempt.attempt,
                                       forwarding::response_verdict::kServed,
                                       200,
                                       "",
                                       {},
                                       {},
                                       {}});
  AfterAt(vm, first + internal::kRoundTrip,
          [this, vm, attempt] { RecordFirstEvent(vm, attempt); });
  std::uint64_t event = 0;
  for (duration after = first; after < whole;
       after += internal::kEventInterval) {
    Respond(vm, attempt, after + internal::kRoundTrip,
            forwarding::response_progressed{attempt.id, attempt.attempt,
                                            attempt.resume_after + ++event});
  }
  AfterAt(vm, whole, [this, vm, attempt] { RecordServed(vm, attempt); });
  Respond(vm, attempt, whole + 2 * internal::kRoundTrip,
          forwarding::response_completed{attempt.id, attempt.attempt});
  After(whole, [this, &at] {
    if (at.queue.empty()) {
      --at.slots_held;
      return;
    }
    const auto [next_vm, next] = at.queue.front();
    at.queue.pop_front();
    RunInSlot(at, next_vm, next);
  });
}

void hub_fleet::RecordFirstEvent(std::size_t vm,
                                 const forwarding::send_attempt& attempt) {
  const auto& calls = vms_[vm]->state->pending_calls;
  const auto at = calls.find(attempt.id);
  first_try& tried = first_tries_[vms_[vm]->first_tries.at(attempt.id)];
  if (at != calls.end() && at->second.running_attempt &&
      at->second.running_attempt->number == attempt.attempt &&
      !tried.first_event) {
    tried.first_event = clock_->now - tried.at;
  }
}

void hub_fleet::Respond(std::size_t vm,
                        const forwarding::send_attempt& attempt,
                        duration after,
                        const forwarding::event& happened) {
  AfterAt(vm, after, [this, vm, dialer = DialerOf(vm, attempt), happened] {
    if (!IsPartitioned(dialer) || partition_kind_ != partition_kind::kSilent) {
      Post(vm, happened);
    }
  });
}

void hub_fleet::Serve(std::size_t vm, const forwarding::send_attempt& attempt) {
  engine& target = FindEngine(attempt.target);
  target.arrivals.push_back(clock_->now);
  most_ = std::max(most_, ++target.running);
  const auto& pending = vms_[vm]->state->pending_calls.at(attempt.id);
  const std::uint64_t fingerprint = pending.request.fingerprint;
  target.exchanges.push_back(
      {vm, vms_[vm]->life, attempt.id, attempt.attempt, DialerOf(vm, attempt)});
  const duration first = pending.running_attempt->predicted_first_event +
                         std::chrono::milliseconds(5);
  const duration cold_for = target.cold_until - clock_->now - first;
  Respond(vm, attempt, internal::kRoundTrip,
          forwarding::attempt_sent{attempt.id, attempt.attempt});
  Respond(vm, attempt, first,
          forwarding::response_started{
              attempt.id,
              attempt.attempt,
              forwarding::response_verdict::kServed,
              200,
              "",
              {},
              forwarding::limit_statement{target.limit},
              forwarding::availability_statement{target.leaving, {}},
              cold_for > duration{} ? std::optional(cold_for) : std::nullopt});
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
    // A stream that is resumed goes on after the last event.
    Respond(vm, attempt, at + internal::kRoundTrip,
            forwarding::response_progressed{attempt.id, attempt.attempt,
                                            attempt.resume_after + event});
  }
  AfterAt(vm, first + internal::kAnswerTime,
          [this, vm, attempt] { RecordServed(vm, attempt); });
  Respond(vm, attempt, first + internal::kAnswerTime,
          forwarding::response_completed{attempt.id, attempt.attempt});
  After(first + internal::kAnswerTime, [this, vm, attempt, &target] {
    --target.running;
    std::erase_if(target.exchanges, [&](const engine_exchange& each) {
      return each.vm == vm && each.call == attempt.id &&
             each.attempt == attempt.attempt;
    });
  });
}

void hub_fleet::RecordServed(std::size_t vm,
                             const forwarding::send_attempt& attempt) {
  const auto& calls = vms_[vm]->state->pending_calls;
  const auto at = calls.find(attempt.id);
  const bool is_heard = !IsPartitioned(DialerOf(vm, attempt)) ||
                        partition_kind_ != partition_kind::kSilent;
  if (is_heard && at != calls.end() && at->second.running_attempt &&
      at->second.running_attempt->number == attempt.attempt) {
    ++answered_[at->second.request.fingerprint];
    first_tries_[vms_[vm]->first_tries.at(attempt.id)].served = true;
  }
}

void hub_fleet::BreakExchanges(
    const std::function<bool(std::size_t dialer)>& is_broken) {
  std::vector<engine_exchange> broken;
  for (engine& each : engines_) {
    std::erase_if(each.exchanges, [&](const engine_exchange& running) {
      const bool breaks = is_broken(running.dialer);
      if (breaks) {
        broken.push_back(running);
      }
      return breaks;
    });
  }
  FailExchanges(broken);
}

void hub_fleet::FailExchanges(const std::vector<engine_exchange>& broken) {
  for (const engine_exchange& each : broken) {
    if (vms_[each.vm]->running && vms_[each.vm]->life == each.life) {
      Post(each.vm,
           forwarding::attempt_failed{each.call, each.attempt,
                                      forwarding::attempt_failure::kBroken});
    }
  }
}

void hub_fleet::SetPartition(std::function<bool(std::size_t vm)> is_partitioned,
                             partition_kind kind) {
  is_partitioned_ = is_partitioned ? std::move(is_partitioned)
                                   : [](std::size_t) { return false; };
  partition_kind_ = kind;
  if (kind == partition_kind::kReset) {
    BreakExchanges(is_partitioned_);
  }
}

void hub_fleet::Probe(std::size_t vm,
                      const target_id& target,
                      duration timeout) {
  const bool reached =
      FindEngine(target).down_until <= clock_->now && !IsPartitioned(vm);
  const bool hangs =
      IsPartitioned(vm) && partition_kind_ == partition_kind::kSilent;
  AfterAt(vm, hangs ? timeout : internal::kRoundTrip,
          [this, vm, target, reached, started = clock_->now] {
            Post(vm, forwarding::target_probed{internal::kHubFleetPool, reached,
                                               target, started});
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
  FailExchanges(std::exchange(target.exchanges, {}));
}

void hub_fleet::SendCall(std::size_t vm, std::uint64_t fingerprint) {
  SendCallTo(vm, internal::kShortTokens, fingerprint, "");
}

void hub_fleet::SendCall(std::size_t vm,
                         const std::string& workspace,
                         std::uint64_t fingerprint,
                         std::uint64_t prompt_tokens) {
  SendCallTo(vm, prompt_tokens, fingerprint, workspace);
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
  SendCallTo(vm, prompt_tokens, kFirstFingerprint + calls_, "");
}

void hub_fleet::SendCallTo(std::size_t vm,
                           std::uint64_t prompt_tokens,
                           std::uint64_t fingerprint,
                           const std::string& workspace) {
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
  if (plan_.engine_queues && prompt_tokens <= internal::kLongPrompt) {
    made.latency_objective = plan_.engine_queues->latency_objective;
  }
  made.workspace = {workspace};
  made.gap_objective = std::chrono::milliseconds(250);
  made.prompt_tokens = prompt_tokens;
  made.output_tokens = internal::kOutputTokens;
  made.fingerprint = fingerprint;
  vms_[vm]->waiting[made.id] = clock_->now;
  vms_[vm]->first_tries[made.id] = first_tries_.size();
  first_tries_.push_back({vm, clock_->now, false, workspace, {}, {}});
  if (plan_.callers_leave) {
    AfterAt(vm,
            std::max(internal::kShortestPatience,
                     internal::kPatienceInObjectives * made.latency_objective),
            [this, vm, id = made.id] {
              const auto& calls = vms_[vm]->state->pending_calls;
              const auto at = calls.find(id);
              if (at != calls.end() && !at->second.partially_delivered) {
                Post(vm, forwarding::caller_disconnected{id});
              }
            });
  }
  Post(vm, forwarding::call_arrived{made});
}

void hub_fleet::SetLimit(std::size_t index,
                         std::optional<double> requests_per_s) {
  engines_[index].limit = requests_per_s;
}

void hub_fleet::Withdraw(const std::vector<std::size_t>& engines) {
  for (const std::size_t index : engines) {
    engines_[index].withdrawn = true;
  }
  PublishTargets();
}

void hub_fleet::SetCold(const std::vector<std::size_t>& engines,
                        duration cold_for) {
  for (const std::size_t index : engines) {
    engine& cold = engines_[index];
    if (std::exchange(cold.withdrawn, false)) {
      ++cold.incarnation;
    }
    cold.cold_until = clock_->now + cold_for;
  }
  WriteColdEntries();
}

void hub_fleet::WriteColdEntries() {
  bool any_changed = false;
  for (engine& each : engines_) {
    const duration before = each.published_cold;
    each.published_cold = std::max(each.cold_until - clock_->now, duration{});
    any_changed = any_changed || each.published_cold != before;
  }
  if (any_changed) {
    PublishTargets();
    After(internal::kEntryInterval, [this] { WriteColdEntries(); });
  }
}

std::size_t hub_fleet::MostInASecond(std::size_t index,
                                     time_point since,
                                     time_point until) const {
  const auto& all = engines_[index].arrivals;
  const auto end = std::lower_bound(all.begin(), all.end(), until);
  std::size_t most = 0;
  for (auto first = std::lower_bound(all.begin(), end, since); first != end;
       ++first) {
    const auto last =
        std::lower_bound(first, end, *first + std::chrono::seconds(1));
    most = std::max(most, static_cast<std::size_t>(last - first));
  }
  return most;
}

void hub_fleet::SetLeaving(std::size_t index) {
  engines_[index].leaving = true;
}

const std::vector<time_point>& hub_fleet::Arrivals(std::size_t index) const {
  return engines_[index].arrivals;
}

}  // namespace acaciaferry
