#include "acaciaferry/experiment/fleet_run.hpp"

namespace acaciaferry::internal {

std::size_t fleet_run::EntryOf(const attempt_id& id) const {
  return traffic_[id.request.sequence].entry_vm;
}

void fleet_run::Do(target_command& work) {
  simulated_target& target = targets_[work.target];
  if (!target.alive) {
    std::visit(
        [&](const auto& command) { Reset(work.target, work.vm, command); },
        work.command);
    return;
  }
  std::visit([&](auto& command) { Serve(work.target, work.vm, command); },
             work.command);
}

// The target died while the command was on its way.
void fleet_run::Reset(std::size_t index,
                      std::size_t vm,
                      const start_attempt& command) {
  Answer(index, vm,
         attempt_failed{command.attempt, transport_error::kConnectionLost});
}

void fleet_run::Reset(std::size_t index,
                      std::size_t vm,
                      const resume_attempt& command) {
  Answer(index, vm,
         attempt_failed{command.attempt, transport_error::kConnectionLost,
                        command.connection});
}

// The outcome of a cancellation concerns nobody.
void fleet_run::Reset(std::size_t /*index*/,
                      std::size_t /*vm*/,
                      const cancel_attempt& /*command*/) const {}

void fleet_run::Serve(std::size_t index,
                      std::size_t vm,
                      const start_attempt& command) {
  simulated_target& target = targets_[index];
  const traffic_request& asked = traffic_[command.attempt.request.sequence];
  const bool taken =
      target.engine ? target.engine->Submit(
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

void fleet_run::Serve(std::size_t index,
                      std::size_t vm,
                      const resume_attempt& command) {
  simulated_target& target = targets_[index];
  const auto generated =
      target.engine ? target.engine->Generated(command.attempt) : std::nullopt;
  if (!generated) {
    Answer(index, vm,
           attempt_failed{command.attempt, transport_error::kUnknownStream,
                          command.connection});
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

void fleet_run::Serve(std::size_t index,
                      std::size_t /*vm*/,
                      const cancel_attempt& command) {
  simulated_target& target = targets_[index];
  if (target.engine) {
    target.engine->Cancel(command.attempt);
  } else {
    target.service->Cancel(command.attempt);
  }
}

void fleet_run::Step(std::size_t index) {
  simulated_target& target = targets_[index];
  if (target.stepping) {
    return;
  }
  if (const auto time = target.engine->BeginStep()) {
    target.stepping = true;
    heap_.Push(now_ + *time, step_ended{index, target.incarnation});
  }
}

void fleet_run::Do(const step_ended& work) {
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
      Answer(work.target, vm,
             answer_ended{output.id, output.offset + output.tokens, "length"});
    }
  }
  Step(work.target);
}

void fleet_run::StartCalls(std::size_t index) {
  simulated_target& target = targets_[index];
  while (const auto started = target.service->Start()) {
    ++result_.requests[started->id.request.sequence].executions;
    heap_.Push(now_ + started->time,
               call_ended{index, target.incarnation, started->id});
  }
}

void fleet_run::Do(const call_ended& work) {
  simulated_target& target = targets_[work.target];
  if (target.incarnation != work.incarnation || !target.service->End(work.id)) {
    return;
  }
  const std::size_t vm = EntryOf(work.id);
  Answer(work.target, vm, attempt_accepted{work.id, 200, "text/plain"});
  Answer(work.target, vm, answer_chunk{work.id, 0, "done"});
  Answer(work.target, vm, answer_ended{work.id, 4, ""});
  StartCalls(work.target);
}

void fleet_run::Do(const heartbeat_due& work) {
  const simulated_target& target = targets_[work.target];
  const bool current = target.alive && target.incarnation == work.incarnation &&
                       target.engine->Contains(work.id);
  if (current) {
    Answer(work.target, EntryOf(work.id), attempt_progressed{work.id});
    heap_.Push(now_ + fleet_.heartbeat, work);
  }
}

void fleet_run::Do(const report_due& work) {
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

void fleet_run::Do(const engines_change& work) {
  for (std::size_t i = 0; i < plan_.faults.engines_lost; ++i) {
    if (work.die) {
      Kill(i);
    } else {
      Restart(i);
    }
  }
  SendVmList(fleet_.list_lag);
}

void fleet_run::Kill(std::size_t index) {
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

void fleet_run::SendVmList(duration lag) {
  vm_list_received list;
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    list.vms.push_back({.name = EntryVmName(i),
                        .address = "entry",
                        .failure_domain = FailureDomainName(entries_[i].domain),
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
         .failure_domain = FailureDomainName(targets_[i].domain),
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

}  // namespace acaciaferry::internal
