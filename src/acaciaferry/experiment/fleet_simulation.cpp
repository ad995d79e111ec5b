#include "acaciaferry/experiment/fleet_simulation.hpp"

#include <algorithm>
#include <string>
#include <utility>
#include <variant>

#include "acaciaferry/experiment/engine_model.hpp"
#include "acaciaferry/experiment/event_heap.hpp"
#include "acaciaferry/experiment/service_model.hpp"
#include "acaciaferry/reducer/reduce.hpp"

namespace acaciaferry {
namespace internal {

// Virtual time does not start at zero, as a default time_point must stay
// different from any moment of the run.
constexpr time_point kStart{std::chrono::hours(1)};
constexpr std::uint64_t kFirstEntryIncarnation = 1000;
constexpr std::uint64_t kFirstTargetIncarnation = 1'000'000;
// Time for holdings to be released after the last deadline (section 3.5).
constexpr duration kReleaseGrace = std::chrono::seconds(30);

// The actions that the simulation schedules.
struct send_next {};
struct vm_event {
  std::size_t vm{};
  acaciaferry::event event;
};
struct vm_timer {
  std::size_t vm{};
};
struct target_command {
  std::size_t target{};
  std::size_t vm{};
  std::variant<start_attempt, resume_attempt, cancel_attempt> command;
};
struct step_ended {
  std::size_t target{};
  std::uint64_t incarnation{};
};
struct call_ended {
  std::size_t target{};
  std::uint64_t incarnation{};
  attempt_id id;
};
struct heartbeat_due {
  std::size_t target{};
  std::uint64_t incarnation{};
  attempt_id id;
};
struct report_due {
  std::size_t target{};
};
struct engines_change {
  bool die{};
};

using action = std::variant<send_next,
                            vm_event,
                            vm_timer,
                            target_command,
                            step_ended,
                            call_ended,
                            heartbeat_due,
                            report_due,
                            engines_change>;

struct simulated_entry {
  std::size_t domain{};
  std::variant<state, baseline_state> brain;
  std::optional<time_point> timer;
};

struct simulated_target {
  std::size_t domain{};
  std::uint64_t incarnation{};
  bool alive{true};
  bool stepping{};
  std::optional<engine_model> engine;
  std::optional<service_model> service;
};

class fleet_run {
 public:
  fleet_run(const simulation_plan& plan,
            std::span<const traffic_request> traffic)
      : plan_(plan),
        fleet_(plan.fleet),
        config_(DeploymentOf(plan.kind, plan.fleet)),
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

  simulation_result Run() {
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

 private:
  void MakeEntries() {
    for (std::size_t i = 0; i < fleet_.entry_vms; ++i) {
      simulated_entry entry;
      entry.domain = i % fleet_.failure_domains;
      const std::uint64_t incarnation = kFirstEntryIncarnation + i;
      const std::uint64_t seed = plan_.seed * kFirstTargetIncarnation + i;
      if (plan_.policy == policy_kind::kAcaciaferry) {
        state brain;
        brain.self = {
            {EntryName(i)}, DomainName(entry.domain), {"region"}, incarnation};
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

  void MakeTargets() {
    for (std::size_t i = 0; i < fleet_.engines + fleet_.services; ++i) {
      simulated_target target;
      target.domain = i % fleet_.failure_domains;
      targets_.push_back(std::move(target));
      Restart(i);
    }
  }

  void Restart(std::size_t index) {
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

  void Begin() {
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

  [[nodiscard]] bool IsOver() const {
    const bool all_ended = ended_ == traffic_.size();
    if (all_ended && std::all_of(targets_.begin(), targets_.end(), IsIdle)) {
      return true;
    }
    return sent_ == traffic_.size() &&
           now_ > last_sent_ + longest_deadline_ + kReleaseGrace;
  }

  [[nodiscard]] static bool IsIdle(const simulated_target& target) {
    return target.engine ? target.engine->Streams().empty()
                         : target.service->Calls().empty();
  }

  void Collect(const simulated_target& target) {
    if (target.engine) {
      result_.leaked_bytes +=
          target.engine->HeldTokens() * fleet_.engine.kv_bytes_per_token;
      result_.prefilled_tokens += target.engine->PrefilledTokens();
      result_.generated_tokens += target.engine->GeneratedTokens();
    }
  }

  // Clients.

  void ScheduleSend() {
    if (sent_ == traffic_.size()) {
      return;
    }
    const time_point at =
        plan_.one_at_a_time ? now_ : kStart + traffic_[sent_].sent;
    heap_.Push(std::max(at, kStart), send_next{});
  }

  void Do(const send_next& /*unused*/) {
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

  void EndRequest(const request_id& id, request_result result) {
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

  // Entry VMs.

  void Do(vm_event& work) { Apply(work.vm, work.event); }

  void Do(const vm_timer& work) {
    simulated_entry& entry = entries_[work.vm];
    if (entry.timer && *entry.timer <= now_) {
      entry.timer.reset();
      Apply(work.vm, timer_expired{});
    }
  }

  void Apply(std::size_t vm, const event& event) {
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

  void Execute(std::size_t vm, start_attempt& effect) {
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
    heap_.Push(now_ + 3 * one_way,
               target_command{target, vm, std::move(effect)});
  }

  void Execute(std::size_t vm, resume_attempt& effect) {
    SendCommand(vm, TargetAt(effect.address), effect);
  }

  void Execute(std::size_t vm, cancel_attempt& effect) {
    SendCommand(vm, TargetAt(effect.address), effect);
  }

  template <typename Command>
  void SendCommand(std::size_t vm, std::size_t target, Command& command) {
    const attempt_id id = command.attempt;
    const bool lost = !Reachable(vm, target) || !targets_[target].alive;
    if (!lost) {
      heap_.Push(now_ + 3 * Latency(vm, target),
                 target_command{target, vm, std::move(command)});
    } else if constexpr (std::is_same_v<Command, resume_attempt>) {
      heap_.Push(
          now_ + fleet_.connect_timeout,
          vm_event{vm, attempt_failed{id, transport_error::kConnectFailed}});
    }
  }

  void Execute(std::size_t /*vm*/, const deliver_chunk& effect) {
    const std::uint64_t index = effect.request.sequence;
    request_record_seen& seen = result_.requests[index];
    seen.received_tokens += effect.text.size();
    if (!seen.first_token) {
      seen.first_token = now_ + fleet_.latency_client - sent_at_[index];
    }
  }

  void Execute(std::size_t /*vm*/, const finish_request& effect) {
    EndRequest(effect.request, request_result::kAnswered);
  }

  void Execute(std::size_t /*vm*/, const fail_request& effect) {
    const bool not_run = effect.reason.result == outcome::kNotRun;
    EndRequest(effect.request,
               not_run ? request_result::kRefused : request_result::kFailed);
  }

  // Counters and other effects that clients and targets do not see.
  template <typename Other>
  void Execute(std::size_t /*vm*/, const Other& /*effect*/) const {}

  // Network.

  [[nodiscard]] static std::size_t TargetAt(const std::string& address) {
    return static_cast<std::size_t>(std::stoul(address));
  }

  [[nodiscard]] duration Latency(std::size_t vm, std::size_t target) const {
    return entries_[vm].domain == targets_[target].domain
               ? fleet_.latency_inside
               : fleet_.latency_between;
  }

  [[nodiscard]] bool Reachable(std::size_t vm, std::size_t target) const {
    const fleet_faults& faults = plan_.faults;
    const bool cut = faults.domain_cut_off && now_ >= kStart + faults.from &&
                     now_ < kStart + faults.until;
    if (!cut) {
      return true;
    }
    return (entries_[vm].domain == *faults.domain_cut_off) ==
           (targets_[target].domain == *faults.domain_cut_off);
  }

  void Answer(std::size_t target, std::size_t vm, event event) {
    if (Reachable(vm, target)) {
      heap_.Push(now_ + Latency(vm, target), vm_event{vm, std::move(event)});
    }
  }

  // Targets.

  [[nodiscard]] std::size_t EntryOf(const attempt_id& id) const {
    return traffic_[id.request.sequence].entry_vm;
  }

  void Do(target_command& work) {
    simulated_target& target = targets_[work.target];
    if (!target.alive) {
      Answer(work.target, work.vm,
             attempt_failed{std::visit([](const auto& c) { return c.attempt; },
                                       work.command),
                            transport_error::kConnectionLost});
      return;
    }
    std::visit([&](auto& command) { Serve(work.target, work.vm, command); },
               work.command);
  }

  void Serve(std::size_t index, std::size_t vm, const start_attempt& command) {
    simulated_target& target = targets_[index];
    const traffic_request& asked = traffic_[command.attempt.request.sequence];
    const bool taken =
        target.engine
            ? target.engine->Submit(
                  {.id = command.attempt,
                   .prompt_tokens = asked.prompt_tokens,
                   .answer_tokens = asked.answer_tokens,
                   .max_answer_tokens = asked.request.max_output_tokens,
                   .priority = command.priority,
                   .blocks = asked.request.prefix_blocks})
            : target.service->Submit(command.attempt);
    if (!taken) {
      Answer(index, vm, attempt_rejected{command.attempt});
      return;
    }
    if (target.engine) {
      ++result_.requests[command.attempt.request.sequence].executions;
      Answer(index, vm,
             attempt_accepted{command.attempt, 200, "text/event-stream"});
      heap_.Push(now_ + fleet_.heartbeat,
                 heartbeat_due{index, target.incarnation, command.attempt});
      Step(index);
    } else {
      StartCalls(index);
    }
  }

  void Serve(std::size_t index, std::size_t vm, const resume_attempt& command) {
    simulated_target& target = targets_[index];
    const auto generated = target.engine
                               ? target.engine->Generated(command.attempt)
                               : std::nullopt;
    if (!generated) {
      Answer(index, vm,
             attempt_failed{command.attempt, transport_error::kUnknownStream});
      return;
    }
    Answer(index, vm,
           attempt_accepted{command.attempt, 200, "text/event-stream"});
    if (*generated > command.offset) {
      Answer(index, vm,
             answer_chunk{command.attempt, command.offset,
                          std::string(*generated - command.offset, 'x')});
    }
  }

  void Serve(std::size_t index,
             std::size_t /*vm*/,
             const cancel_attempt& command) {
    simulated_target& target = targets_[index];
    if (target.engine) {
      target.engine->Cancel(command.attempt);
    } else {
      target.service->Cancel(command.attempt);
    }
  }

  void Step(std::size_t index) {
    simulated_target& target = targets_[index];
    if (target.stepping) {
      return;
    }
    if (const auto time = target.engine->BeginStep()) {
      target.stepping = true;
      heap_.Push(now_ + *time, step_ended{index, target.incarnation});
    }
  }

  void Do(const step_ended& work) {
    simulated_target& target = targets_[work.target];
    if (!target.alive || target.incarnation != work.incarnation) {
      return;
    }
    target.stepping = false;
    outputs_.clear();
    target.engine->EndStep(outputs_);
    for (const engine_output& output : outputs_) {
      const std::size_t vm = EntryOf(output.id);
      Answer(work.target, vm,
             answer_chunk{output.id, output.offset,
                          std::string(output.tokens, 'x')});
      if (output.end) {
        Answer(
            work.target, vm,
            answer_ended{output.id, output.offset + output.tokens, "length"});
      }
    }
    Step(work.target);
  }

  void StartCalls(std::size_t index) {
    simulated_target& target = targets_[index];
    while (const auto started = target.service->Start()) {
      ++result_.requests[started->id.request.sequence].executions;
      heap_.Push(now_ + started->time,
                 call_ended{index, target.incarnation, started->id});
    }
  }

  void Do(const call_ended& work) {
    simulated_target& target = targets_[work.target];
    if (target.incarnation != work.incarnation ||
        !target.service->End(work.id)) {
      return;
    }
    const std::size_t vm = EntryOf(work.id);
    Answer(work.target, vm, attempt_accepted{work.id, 200, "text/plain"});
    Answer(work.target, vm, answer_chunk{work.id, 0, "done"});
    Answer(work.target, vm, answer_ended{work.id, 4, ""});
    StartCalls(work.target);
  }

  void Do(const heartbeat_due& work) {
    const simulated_target& target = targets_[work.target];
    const bool current = target.alive &&
                         target.incarnation == work.incarnation &&
                         target.engine->Contains(work.id);
    if (current) {
      Answer(work.target, EntryOf(work.id), attempt_progressed{work.id});
      heap_.Push(now_ + fleet_.heartbeat, work);
    }
  }

  void Do(const report_due& work) {
    simulated_target& target = targets_[work.target];
    heap_.Push(now_ + fleet_.report_period, work);
    // The baselines do not use reports.
    if (!target.alive || plan_.policy != policy_kind::kAcaciaferry) {
      return;
    }
    load_report report =
        target.engine ? target.engine->Report() : target.service->Report();
    report.target = {TargetName(fleet_, work.target)};
    report.models = {std::string(kModelPool)};
    for (std::size_t vm = 0; vm < entries_.size(); ++vm) {
      if (Reachable(vm, work.target)) {
        heap_.Push(now_ + fleet_.report_lag,
                   vm_event{vm, load_report_received{report}});
      }
    }
  }

  // The fleet.

  void Do(const engines_change& work) {
    for (std::size_t i = 0; i < plan_.faults.engines_lost; ++i) {
      if (work.die) {
        Kill(i);
      } else {
        Restart(i);
      }
    }
    SendVmList(fleet_.list_lag);
  }

  void Kill(std::size_t index) {
    simulated_target& target = targets_[index];
    for (const attempt_id& id : target.engine->Streams()) {
      Answer(index, EntryOf(id),
             attempt_failed{id, transport_error::kConnectionLost});
    }
    result_.prefilled_tokens += target.engine->PrefilledTokens();
    result_.generated_tokens += target.engine->GeneratedTokens();
    target.engine.emplace(fleet_.engine, target.incarnation);
    target.alive = false;
  }

  void SendVmList(duration lag) {
    vm_list_received list;
    for (std::size_t i = 0; i < entries_.size(); ++i) {
      list.vms.push_back({.name = EntryName(i),
                          .address = "entry",
                          .failure_domain = DomainName(entries_[i].domain),
                          .region = {"region"},
                          .role = vm_role::kEntry,
                          .pool = {},
                          .leaving = false,
                          .incarnation = kFirstEntryIncarnation + i});
    }
    for (std::size_t i = 0; i < targets_.size(); ++i) {
      if (!targets_[i].alive) {
        continue;
      }
      const bool is_engine = i < fleet_.engines;
      list.vms.push_back(
          {.name = TargetName(fleet_, i),
           .address = std::to_string(i),
           .failure_domain = DomainName(targets_[i].domain),
           .region = {"region"},
           .role = is_engine ? vm_role::kEngine : vm_role::kService,
           .pool = {std::string(is_engine ? kModelPool : kServicePool)},
           .leaving = false,
           .incarnation = targets_[i].incarnation});
    }
    for (std::size_t i = 0; i < entries_.size(); ++i) {
      heap_.Push(std::max(now_, kStart) + lag, vm_event{i, list});
    }
  }

  const simulation_plan& plan_;
  const fleet_parameters& fleet_;
  const deployment config_;
  std::span<const traffic_request> traffic_;
  std::vector<simulated_entry> entries_;
  std::vector<simulated_target> targets_;
  event_heap<action> heap_;
  simulation_result result_;
  std::vector<time_point> sent_at_;
  std::vector<engine_output> outputs_;
  time_point now_{kStart};
  time_point last_sent_{kStart};
  duration longest_deadline_{};
  std::size_t sent_{};
  std::size_t ended_{};
  std::uint64_t starts_{};
};

}  // namespace internal

simulation_result Simulate(const simulation_plan& plan,
                           std::span<const traffic_request> traffic) {
  return internal::fleet_run(plan, traffic).Run();
}

}  // namespace acaciaferry
