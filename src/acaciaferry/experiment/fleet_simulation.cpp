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
  MakeEntryVms();
  MakeTargets();
}

simulation_result fleet_run::Run() {
  ScheduleInitialEvents();
  while (!heap_.empty()) {
    auto [at, next] = heap_.Pop();
    now_ = at;
    if (IsFinished()) {
      break;
    }
    std::visit([this](auto& each) { Handle(each); }, next);
  }
  result_.elapsed = now_ - kRunStart;
  for (const simulated_target& target : targets_) {
    AddEngineTotals(target);
  }
  return std::move(result_);
}

void fleet_run::MakeEntryVms() {
  for (std::size_t i = 0; i < fleet_.entry_vms; ++i) {
    simulated_entry_vm entry;
    entry.domain = i % fleet_.failure_domains;
    const std::uint64_t incarnation = kFirstEntryIncarnation + i;
    const std::uint64_t seed = plan_.seed * kFirstTargetIncarnation + i;
    if (plan_.policy == policy_kind::kAcaciaferry) {
      state reducer_state;
      reducer_state.self = {{EntryVmName(i)},
                            FailureDomainName(entry.domain),
                            {"region"},
                            incarnation};
      reducer_state.random.seed(seed);
      entry.reducer_state = std::move(reducer_state);
    } else {
      baseline_state reducer_state;
      reducer_state.kind = plan_.policy;
      reducer_state.random.seed(seed);
      entry.reducer_state = std::move(reducer_state);
    }
    entry_vms_.push_back(std::move(entry));
  }
}

void fleet_run::MakeTargets() {
  for (std::size_t i = 0; i < fleet_.engines + fleet_.service_targets; ++i) {
    simulated_target target;
    target.domain = i % fleet_.failure_domains;
    targets_.push_back(std::move(target));
    StartTarget(i);
  }
}

void fleet_run::StartTarget(std::size_t index) {
  simulated_target& target = targets_[index];
  target.incarnation = kFirstTargetIncarnation + ++target_starts_;
  target.alive = true;
  target.stepping = false;
  if (index < fleet_.engines) {
    target.engine.emplace(fleet_.engine, target.incarnation);
  } else {
    target.service.emplace(fleet_.service, target.incarnation,
                           plan_.seed + target.incarnation);
  }
}

void fleet_run::ScheduleInitialEvents() {
  for (std::size_t i = 0; i < entry_vms_.size(); ++i) {
    heap_.Push(kRunStart, vm_event{i, deployment_received{config_}});
  }
  SendVmList(duration{});
  for (std::size_t i = 0; i < targets_.size(); ++i) {
    // Spreads the reports over the period, as VMs poll at different times.
    const auto phase = fleet_.report_period * static_cast<std::int64_t>(i) /
                       static_cast<std::int64_t>(targets_.size());
    heap_.Push(kRunStart + phase, report_due{i});
  }
  if (plan_.faults.engines_lost > 0) {
    heap_.Push(kRunStart + plan_.faults.from, engine_outage_changed{true});
    heap_.Push(kRunStart + plan_.faults.until, engine_outage_changed{false});
  }
  ScheduleSend();
}

bool fleet_run::IsFinished() const {
  const bool all_ended = ended_count_ == traffic_.size();
  if (all_ended && std::all_of(targets_.begin(), targets_.end(), IsIdle)) {
    return true;
  }
  return sent_count_ == traffic_.size() &&
         now_ > last_send_time_ + longest_deadline_ + kReleaseGrace;
}

bool fleet_run::IsIdle(const simulated_target& target) {
  return target.engine ? target.engine->StreamIds().empty()
                       : target.service->CallIds().empty();
}

void fleet_run::AddEngineTotals(const simulated_target& target) {
  if (target.engine) {
    result_.leaked_bytes +=
        target.engine->ReservedKvTokens() * fleet_.engine.kv_bytes_per_token;
    result_.prefilled_tokens += target.engine->PrefilledTokens();
    result_.generated_tokens += target.engine->GeneratedTokens();
  }
}

void fleet_run::ScheduleSend() {
  if (sent_count_ == traffic_.size()) {
    return;
  }
  const time_point at =
      plan_.one_at_a_time ? now_ : kRunStart + traffic_[sent_count_].sent;
  heap_.Push(std::max(at, kRunStart), send_next_request{});
}

void fleet_run::Handle(const send_next_request& /*unused*/) {
  const std::size_t index = sent_count_++;
  const traffic_request& next = traffic_[index];
  last_send_time_ = now_;
  send_times_.push_back(now_);
  request_arrived arrival{next.request};
  arrival.request.id = {kFirstEntryIncarnation + next.entry_vm, index};
  heap_.Push(now_ + fleet_.client_latency,
             vm_event{next.entry_vm, std::move(arrival)});
  if (!plan_.one_at_a_time) {
    ScheduleSend();
  }
}

void fleet_run::EndRequest(const request_id& id, request_result result) {
  request_observation& observed = result_.requests[id.sequence];
  if (observed.result != request_result::kPending) {
    return;
  }
  const traffic_request& sent_request = traffic_[id.sequence];
  const bool truncated =
      result == request_result::kAnswered &&
      sent_request.request.kind == request_kind::kCompletion &&
      observed.received_tokens != sent_request.output_tokens;
  observed.result = truncated ? request_result::kFailed : result;
  observed.total_time = now_ + fleet_.client_latency - send_times_[id.sequence];
  ++ended_count_;
  if (plan_.one_at_a_time) {
    ScheduleSend();
  }
}

void fleet_run::Handle(vm_event& action) {
  RunReducer(action.vm, action.event);
}

void fleet_run::Handle(const vm_timer& action) {
  simulated_entry_vm& entry = entry_vms_[action.vm];
  if (entry.timer && *entry.timer <= now_) {
    entry.timer.reset();
    RunReducer(action.vm, timer_expired{});
  }
}

void fleet_run::RunReducer(std::size_t vm, const event& event) {
  ++result_.reduced_events;
  simulated_entry_vm& entry = entry_vms_[vm];
  effects results;
  std::optional<time_point> next;
  if (auto* const reducer_state = std::get_if<state>(&entry.reducer_state)) {
    results = Reduce(*reducer_state, event, now_);
    next = NextTimer(*reducer_state);
  } else {
    auto& baseline = std::get<baseline_state>(entry.reducer_state);
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
  const std::size_t target = TargetIndex(effect.address);
  const duration one_way = OneWayLatency(vm, target);
  const attempt_id id = effect.attempt;
  if (!IsReachable(vm, target)) {
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
  SendCommand(vm, TargetIndex(effect.address), effect);
}

void fleet_run::Execute(std::size_t vm, cancel_attempt& effect) {
  SendCommand(vm, TargetIndex(effect.address), effect);
}

void fleet_run::Execute(std::size_t /*vm*/, const deliver_chunk& effect) {
  const std::uint64_t index = effect.request.sequence;
  request_observation& observed = result_.requests[index];
  observed.received_tokens += effect.text.size();
  if (!observed.time_to_first_token) {
    observed.time_to_first_token =
        now_ + fleet_.client_latency - send_times_[index];
  }
}

void fleet_run::Execute(std::size_t /*vm*/, const finish_request& effect) {
  EndRequest(effect.request, request_result::kAnswered);
}

void fleet_run::Execute(std::size_t /*vm*/, const fail_request& effect) {
  const bool not_run = effect.reason.result == outcome::kNotRun;
  request_observation& observed = result_.requests[effect.request.sequence];
  if (observed.result == request_result::kPending) {
    observed.reason = effect.reason.code;
  }
  EndRequest(effect.request,
             not_run ? request_result::kRefused : request_result::kFailed);
}

std::size_t fleet_run::TargetIndex(const std::string& address) {
  return static_cast<std::size_t>(std::stoul(address));
}

duration fleet_run::OneWayLatency(std::size_t vm, std::size_t target) const {
  return entry_vms_[vm].domain == targets_[target].domain
             ? fleet_.latency_within_domain
             : fleet_.latency_between_domains;
}

bool fleet_run::IsReachable(std::size_t vm, std::size_t target) const {
  const fleet_faults& faults = plan_.faults;
  const bool cut = faults.domain_cut_off && now_ >= kRunStart + faults.from &&
                   now_ < kRunStart + faults.until;
  if (!cut) {
    return true;
  }
  return (entry_vms_[vm].domain == *faults.domain_cut_off) ==
         (targets_[target].domain == *faults.domain_cut_off);
}

void fleet_run::SendEvent(std::size_t target, std::size_t vm, event event) {
  if (IsReachable(vm, target)) {
    heap_.Push(now_ + OneWayLatency(vm, target),
               vm_event{vm, std::move(event)});
  }
}

}  // namespace internal

simulation_result Simulate(const simulation_plan& plan,
                           std::span<const traffic_request> traffic) {
  return internal::fleet_run(plan, traffic).Run();
}

}  // namespace acaciaferry
