#include "acaciaferry/experiment/fleet_run.hpp"

namespace acaciaferry::internal {

std::size_t fleet_run::EntryVmOf(const attempt_id& id) const {
  return traffic_[id.request.sequence].entry_vm;
}

void fleet_run::Handle(target_command& action) {
  simulated_target& target = targets_[action.target];
  if (!target.alive) {
    std::visit(
        [&](const auto& command) {
          ReportConnectionLost(action.target, action.vm, command);
        },
        action.command);
    return;
  }
  std::visit(
      [&](auto& command) { HandleCommand(action.target, action.vm, command); },
      action.command);
}

// Handles a command that was in flight when the target stopped.
void fleet_run::ReportConnectionLost(std::size_t index,
                                     std::size_t vm,
                                     const start_attempt& command) {
  SendEvent(index, vm,
            attempt_failed{command.attempt, transport_error::kConnectionLost});
}

void fleet_run::ReportConnectionLost(std::size_t index,
                                     std::size_t vm,
                                     const resume_attempt& command) {
  SendEvent(index, vm,
            attempt_failed{command.attempt, transport_error::kConnectionLost,
                           command.connection_number});
}

// Nothing waits for the result of a cancellation.
void fleet_run::ReportConnectionLost(std::size_t /*index*/,
                                     std::size_t /*vm*/,
                                     const cancel_attempt& /*command*/) const {}

void fleet_run::HandleCommand(std::size_t index,
                              std::size_t vm,
                              const start_attempt& command) {
  simulated_target& target = targets_[index];
  const traffic_request& sent_request =
      traffic_[command.attempt.request.sequence];
  const bool taken =
      target.engine
          ? target.engine->Submit(
                {.id = command.attempt,
                 .prompt_tokens = sent_request.prompt_tokens,
                 .output_tokens = sent_request.output_tokens,
                 .max_output_tokens = sent_request.request.max_output_tokens,
                 .priority = command.priority,
                 .blocks = sent_request.request.prefix_blocks})
          : target.service->Submit(command.attempt);
  if (!taken) {
    SendEvent(index, vm, attempt_rejected{command.attempt});
    return;
  }
  if (target.engine) {
    ++result_.requests[command.attempt.request.sequence].executions;
    SendEvent(index, vm,
              attempt_accepted{command.attempt, 200, "text/event-stream"});
    heap_.Push(now_ + fleet_.heartbeat_period,
               heartbeat_due{index, target.incarnation, command.attempt});
    StartEngineStep(index);
  } else {
    StartCalls(index);
  }
}

void fleet_run::HandleCommand(std::size_t index,
                              std::size_t vm,
                              const resume_attempt& command) {
  simulated_target& target = targets_[index];
  const auto generated =
      target.engine ? target.engine->Generated(command.attempt) : std::nullopt;
  if (!generated) {
    SendEvent(index, vm,
              attempt_failed{command.attempt, transport_error::kUnknownStream,
                             command.connection_number});
    return;
  }
  SendEvent(index, vm,
            attempt_accepted{command.attempt, 200, "text/event-stream"});
  if (*generated > command.offset) {
    SendEvent(index, vm,
              answer_chunk{command.attempt, command.offset,
                           std::string(*generated - command.offset, 'x')});
  }
}

void fleet_run::HandleCommand(std::size_t index,
                              std::size_t /*vm*/,
                              const cancel_attempt& command) {
  simulated_target& target = targets_[index];
  if (target.engine) {
    target.engine->Cancel(command.attempt);
  } else {
    target.service->Cancel(command.attempt);
  }
}

void fleet_run::StartEngineStep(std::size_t index) {
  simulated_target& target = targets_[index];
  if (target.stepping) {
    return;
  }
  if (const auto time = target.engine->BeginStep()) {
    target.stepping = true;
    heap_.Push(now_ + *time, step_ended{index, target.incarnation});
  }
}

void fleet_run::Handle(const step_ended& action) {
  simulated_target& target = targets_[action.target];
  if (!target.alive || target.incarnation != action.incarnation) {
    return;
  }
  target.stepping = false;
  outputs_.clear();
  target.engine->EndStep(outputs_);
  for (const engine_output& output : outputs_) {
    const std::size_t vm = EntryVmOf(output.id);
    SendEvent(action.target, vm,
              answer_chunk{output.id, output.offset,
                           std::string(output.tokens, 'x')});
    if (output.is_last) {
      SendEvent(
          action.target, vm,
          answer_ended{output.id, output.offset + output.tokens, "length"});
    }
  }
  StartEngineStep(action.target);
}

void fleet_run::StartCalls(std::size_t index) {
  simulated_target& target = targets_[index];
  while (const auto started_call = target.service->StartNext()) {
    ++result_.requests[started_call->id.request.sequence].executions;
    heap_.Push(now_ + started_call->service_time,
               call_ended{index, target.incarnation, started_call->id});
  }
}

void fleet_run::Handle(const call_ended& action) {
  simulated_target& target = targets_[action.target];
  if (target.incarnation != action.incarnation ||
      !target.service->Finish(action.id)) {
    return;
  }
  const std::size_t vm = EntryVmOf(action.id);
  SendEvent(action.target, vm, attempt_accepted{action.id, 200, "text/plain"});
  SendEvent(action.target, vm, answer_chunk{action.id, 0, "done"});
  SendEvent(action.target, vm, answer_ended{action.id, 4, ""});
  StartCalls(action.target);
}

void fleet_run::Handle(const heartbeat_due& action) {
  const simulated_target& target = targets_[action.target];
  const bool current = target.alive &&
                       target.incarnation == action.incarnation &&
                       target.engine->Contains(action.id);
  if (current) {
    SendEvent(action.target, EntryVmOf(action.id),
              attempt_progressed{action.id});
    heap_.Push(now_ + fleet_.heartbeat_period, action);
  }
}

void fleet_run::Handle(const report_due& action) {
  simulated_target& target = targets_[action.target];
  heap_.Push(now_ + fleet_.report_period, action);
  // The baselines do not use load reports.
  if (!target.alive || plan_.policy != policy_kind::kAcaciaferry) {
    return;
  }
  load_report report =
      target.engine ? target.engine->Report() : target.service->Report();
  report.target = {TargetName(fleet_, action.target)};
  report.models = {std::string(kModelPool)};
  for (std::size_t vm = 0; vm < entry_vms_.size(); ++vm) {
    if (IsReachable(vm, action.target)) {
      heap_.Push(now_ + fleet_.report_delay,
                 vm_event{vm, load_report_received{report}});
    }
  }
}

void fleet_run::Handle(const engine_outage_changed& action) {
  for (std::size_t i = 0; i < plan_.faults.engines_lost; ++i) {
    if (action.begins) {
      StopEngine(i);
    } else {
      StartTarget(i);
    }
  }
  SendVmList(fleet_.vm_list_delay);
}

void fleet_run::StopEngine(std::size_t index) {
  simulated_target& target = targets_[index];
  for (const attempt_id& id : target.engine->StreamIds()) {
    SendEvent(index, EntryVmOf(id),
              attempt_failed{id, transport_error::kConnectionLost});
  }
  result_.prefilled_tokens += target.engine->PrefilledTokens();
  result_.generated_tokens += target.engine->GeneratedTokens();
  target.engine.emplace(fleet_.engine, target.incarnation);
  target.alive = false;
}

void fleet_run::SendVmList(duration lag) {
  vm_list_received list;
  for (std::size_t i = 0; i < entry_vms_.size(); ++i) {
    list.vms.push_back(
        {.name = EntryVmName(i),
         .address = "entry",
         .failure_domain = FailureDomainName(entry_vms_[i].domain),
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
  for (std::size_t i = 0; i < entry_vms_.size(); ++i) {
    heap_.Push(std::max(now_, kRunStart) + lag, vm_event{i, list});
  }
}

}  // namespace acaciaferry::internal
