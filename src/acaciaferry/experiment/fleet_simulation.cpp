#include "acaciaferry/experiment/fleet_simulation.hpp"

#include "acaciaferry/experiment/fleet_run.hpp"

namespace acaciaferry {
namespace internal {

fleet_run::fleet_run(const simulation_plan& plan,
                     std::span<const traffic_request> traffic)
    : plan_(plan),
      fleet_(plan.fleet),
      config_(MakeDeployment(plan.deployment, plan.fleet)),
      traffic_(traffic) {
  result_.requests.resize(traffic.size());
  for (std::size_t i = 0; i < traffic.size(); ++i) {
    const workload* const work = FindWorkload(config_, traffic[i].request);
    result_.requests[i].deadline = work->deadline;
    longest_deadline_ = std::max(longest_deadline_, work->deadline);
  }
  MakeEntries();
  MakeTargets();
}

simulation_result fleet_run::Run() {
  Begin();
  while (!heap_.empty()) {
    auto [at, next] = heap_.Pop();
    now_ = at;
    if (IsOver()) {
      break;
    }
    std::visit([this](auto& each) { Do(each); }, next);
  }
  result_.ended = now_ - kStart;
  for (const simulated_target& target : targets_) {
    Collect(target);
  }
  return std::move(result_);
}

void fleet_run::MakeEntries() {
  for (std::size_t i = 0; i < fleet_.entry_vms; ++i) {
    simulated_entry entry;
    entry.domain = i % fleet_.failure_domains;
    const std::uint64_t incarnation = kFirstEntryIncarnation + i;
    const std::uint64_t seed = plan_.seed * kFirstTargetIncarnation + i;
    if (plan_.policy == policy_kind::kAcaciaferry) {
      state brain;
      brain.self = {{EntryVmName(i)},
                    FailureDomainName(entry.domain),
                    {"region"},
                    incarnation};
      brain.random.seed(seed);
      entry.brain = std::move(brain);
    } else {
      baseline_state brain;
      brain.kind = plan_.policy;
      brain.random.seed(seed);
      entry.brain = std::move(brain);
    }
    entries_.push_back(std::move(entry));
  }
}

void fleet_run::MakeTargets() {
  for (std::size_t i = 0; i < fleet_.engines + fleet_.service_targets; ++i) {
    simulated_target target;
    target.domain = i % fleet_.failure_domains;
    targets_.push_back(std::move(target));
    Restart(i);
  }
}

void fleet_run::Restart(std::size_t index) {
  simulated_target& target = targets_[index];
  target.incarnation = kFirstTargetIncarnation + ++starts_;
  target.alive = true;
  target.stepping = false;
  if (index < fleet_.engines) {
    target.engine.emplace(fleet_.engine, target.incarnation);
  } else {
    target.service.emplace(fleet_.service, target.incarnation,
                           plan_.seed + target.incarnation);
  }
}

void fleet_run::Begin() {
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    heap_.Push(kStart, vm_event{i, deployment_received{config_}});
  }
  SendVmList(duration{});
  for (std::size_t i = 0; i < targets_.size(); ++i) {
    // Spread over the period, as the polls of different VMs are.
    const auto phase = fleet_.report_period * static_cast<std::int64_t>(i) /
                       static_cast<std::int64_t>(targets_.size());
    heap_.Push(kStart + phase, report_due{i});
  }
  if (plan_.faults.engines_lost > 0) {
    heap_.Push(kStart + plan_.faults.from, engines_change{true});
    heap_.Push(kStart + plan_.faults.until, engines_change{false});
  }
  ScheduleSend();
}

bool fleet_run::IsOver() const {
  const bool all_ended = ended_ == traffic_.size();
  if (all_ended && std::all_of(targets_.begin(), targets_.end(), IsIdle)) {
    return true;
  }
  return sent_ == traffic_.size() &&
         now_ > last_sent_ + longest_deadline_ + kReleaseGrace;
}

bool fleet_run::IsIdle(const simulated_target& target) {
  return target.engine ? target.engine->Streams().empty()
                       : target.service->Calls().empty();
}

void fleet_run::Collect(const simulated_target& target) {
  if (target.engine) {
    result_.leaked_bytes +=
        target.engine->HeldTokens() * fleet_.engine.kv_bytes_per_token;
    result_.prefilled_tokens += target.engine->PrefilledTokens();
    result_.generated_tokens += target.engine->GeneratedTokens();
  }
}

void fleet_run::ScheduleSend() {
  if (sent_ == traffic_.size()) {
    return;
  }
  const time_point at =
      plan_.one_at_a_time ? now_ : kStart + traffic_[sent_].sent;
  heap_.Push(std::max(at, kStart), send_next{});
}

void fleet_run::Do(const send_next& /*unused*/) {
  const std::size_t index = sent_++;
  const traffic_request& next = traffic_[index];
  last_sent_ = now_;
  sent_at_.push_back(now_);
  request_arrived arrival{next.request};
  arrival.request.id = {kFirstEntryIncarnation + next.entry_vm, index};
  heap_.Push(now_ + fleet_.latency_client,
             vm_event{next.entry_vm, std::move(arrival)});
  if (!plan_.one_at_a_time) {
    ScheduleSend();
  }
}

void fleet_run::EndRequest(const request_id& id, request_result result) {
  request_record_seen& seen = result_.requests[id.sequence];
  if (seen.result != request_result::kPending) {
    return;
  }
  const traffic_request& asked = traffic_[id.sequence];
  const bool cut_short = result == request_result::kAnswered &&
                         asked.request.kind == request_kind::kCompletion &&
                         seen.received_tokens != asked.answer_tokens;
  seen.result = cut_short ? request_result::kFailed : result;
  seen.total = now_ + fleet_.latency_client - sent_at_[id.sequence];
  ++ended_;
  if (plan_.one_at_a_time) {
    ScheduleSend();
  }
}

void fleet_run::Do(vm_event& work) {
  Apply(work.vm, work.event);
}

void fleet_run::Do(const vm_timer& work) {
  simulated_entry& entry = entries_[work.vm];
  if (entry.timer && *entry.timer <= now_) {
    entry.timer.reset();
    Apply(work.vm, timer_expired{});
  }
}

void fleet_run::Apply(std::size_t vm, const event& event) {
  ++result_.reduced_events;
  simulated_entry& entry = entries_[vm];
  effects results;
  std::optional<time_point> next;
  if (auto* const brain = std::get_if<state>(&entry.brain)) {
    results = Reduce(*brain, event, now_);
    next = NextTimer(*brain);
  } else {
    auto& baseline = std::get<baseline_state>(entry.brain);
    results = ReduceBaseline(baseline, event, now_);
    next = NextBaselineTimer(baseline);
  }
  for (effect& result : results) {
    std::visit([this, vm](auto& each) { Execute(vm, each); }, result);
  }
  if (next && (!entry.timer || *next < *entry.timer)) {
    entry.timer = std::max(*next, now_);
    heap_.Push(*entry.timer, vm_timer{vm});
  }
}

void fleet_run::Execute(std::size_t vm, start_attempt& effect) {
  const std::size_t target = TargetAt(effect.address);
  const duration one_way = Latency(vm, target);
  const attempt_id id = effect.attempt;
  if (!Reachable(vm, target)) {
    heap_.Push(
        now_ + fleet_.connect_timeout,
        vm_event{vm, attempt_failed{id, transport_error::kConnectFailed}});
    return;
  }
  if (!targets_[target].alive) {
    heap_.Push(
        now_ + 2 * one_way,
        vm_event{vm, attempt_failed{id, transport_error::kConnectFailed}});
    return;
  }
  // Connections are not pooled: the request follows a TCP handshake.
  heap_.Push(now_ + 2 * one_way, vm_event{vm, attempt_sent{id}});
  heap_.Push(now_ + 3 * one_way, target_command{target, vm, std::move(effect)});
}

void fleet_run::Execute(std::size_t vm, resume_attempt& effect) {
  SendCommand(vm, TargetAt(effect.address), effect);
}

void fleet_run::Execute(std::size_t vm, cancel_attempt& effect) {
  SendCommand(vm, TargetAt(effect.address), effect);
}

void fleet_run::Execute(std::size_t /*vm*/, const deliver_chunk& effect) {
  const std::uint64_t index = effect.request.sequence;
  request_record_seen& seen = result_.requests[index];
  seen.received_tokens += effect.text.size();
  if (!seen.first_token) {
    seen.first_token = now_ + fleet_.latency_client - sent_at_[index];
  }
}

void fleet_run::Execute(std::size_t /*vm*/, const finish_request& effect) {
  EndRequest(effect.request, request_result::kAnswered);
}

void fleet_run::Execute(std::size_t /*vm*/, const fail_request& effect) {
  const bool not_run = effect.reason.result == outcome::kNotRun;
  request_record_seen& seen = result_.requests[effect.request.sequence];
  if (seen.result == request_result::kPending) {
    seen.reason = effect.reason.code;
  }
  EndRequest(effect.request,
             not_run ? request_result::kRefused : request_result::kFailed);
}

std::size_t fleet_run::TargetAt(const std::string& address) {
  return static_cast<std::size_t>(std::stoul(address));
}

duration fleet_run::Latency(std::size_t vm, std::size_t target) const {
  return entries_[vm].domain == targets_[target].domain
             ? fleet_.latency_inside
             : fleet_.latency_between;
}

bool fleet_run::Reachable(std::size_t vm, std::size_t target) const {
  const fleet_faults& faults = plan_.faults;
  const bool cut = faults.domain_cut_off && now_ >= kStart + faults.from &&
                   now_ < kStart + faults.until;
  if (!cut) {
    return true;
  }
  return (entries_[vm].domain == *faults.domain_cut_off) ==
         (targets_[target].domain == *faults.domain_cut_off);
}

void fleet_run::Answer(std::size_t target, std::size_t vm, event event) {
  if (Reachable(vm, target)) {
    heap_.Push(now_ + Latency(vm, target), vm_event{vm, std::move(event)});
  }
}

}  // namespace internal

simulation_result Simulate(const simulation_plan& plan,
                           std::span<const traffic_request> traffic) {
  return internal::fleet_run(plan, traffic).Run();
}

}  // namespace acaciaferry
