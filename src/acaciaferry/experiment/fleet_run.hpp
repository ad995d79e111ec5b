#pragma once

#include <algorithm>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>

#include "acaciaferry/experiment/engine_model.hpp"
#include "acaciaferry/experiment/event_heap.hpp"
#include "acaciaferry/experiment/fleet_simulation.hpp"
#include "acaciaferry/experiment/service_model.hpp"
#include "acaciaferry/reducer/reduce.hpp"

namespace acaciaferry::internal {

// Virtual time does not start at zero, so that a default time_point differs
// from every time of the run.
inline constexpr time_point kRunStart{std::chrono::hours(1)};
inline constexpr std::uint64_t kFirstEntryIncarnation = 1000;
inline constexpr std::uint64_t kFirstTargetIncarnation = 1'000'000;
// Time after the last deadline in which reservations are released
// (section 3.5).
inline constexpr duration kReleaseGrace = std::chrono::seconds(30);

// Actions that the simulation schedules. Those that carry an incarnation are
// ignored when the target has restarted since.
struct send_next_request {};
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
// The outage of `fleet_faults::engines_lost` engines begins or ends.
struct engine_outage_changed {
  bool begins{};
};

using action = std::variant<send_next_request,
                            vm_event,
                            vm_timer,
                            target_command,
                            step_ended,
                            call_ended,
                            heartbeat_due,
                            report_due,
                            engine_outage_changed>;

struct simulated_entry_vm {
  std::size_t domain{};
  std::variant<state, baseline_state> reducer_state;
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

/**
 * @brief A discrete-event simulation of clients, entry VMs, the network and
 * targets in virtual time.
 */
class fleet_run {
 public:
  fleet_run(const simulation_plan& plan,
            std::span<const traffic_request> traffic);

  simulation_result Run();

 private:
  void MakeEntryVms();
  void MakeTargets();
  void StartTarget(std::size_t index);
  void ScheduleInitialEvents();
  [[nodiscard]] bool IsFinished() const;
  [[nodiscard]] static bool IsIdle(const simulated_target& target);
  void AddEngineTotals(const simulated_target& target);

  // Clients.

  void ScheduleSend();
  void Handle(const send_next_request& /*unused*/);
  void EndRequest(const request_id& id, request_result result);

  // Entry VMs.

  void Handle(vm_event& action);
  void Handle(const vm_timer& action);
  void RunReducer(std::size_t vm, const event& event);
  void Execute(std::size_t vm, start_attempt& effect);
  void Execute(std::size_t vm, resume_attempt& effect);
  void Execute(std::size_t vm, cancel_attempt& effect);

  // A command arrives after a TCP handshake: three one-way latencies.
  template <typename Command>
  void SendCommand(std::size_t vm, std::size_t target, Command& command) {
    const attempt_id id = command.attempt;
    const bool lost = !IsReachable(vm, target) || !targets_[target].alive;
    if (!lost) {
      heap_.Push(now_ + 3 * OneWayLatency(vm, target),
                 target_command{target, vm, std::move(command)});
    } else if constexpr (std::is_same_v<Command, resume_attempt>) {
      heap_.Push(
          now_ + fleet_.connect_timeout,
          vm_event{vm, attempt_failed{id, transport_error::kConnectFailed,
                                      command.connection_number}});
    }
  }

  void Execute(std::size_t /*vm*/, const deliver_chunk& effect);
  void Execute(std::size_t /*vm*/, const finish_request& effect);
  void Execute(std::size_t /*vm*/, const fail_request& effect);

  // Ignores metrics and other effects that do not reach clients or targets.
  template <typename Other>
  void Execute(std::size_t /*vm*/, const Other& /*effect*/) const {}

  // Network.

  [[nodiscard]] static std::size_t TargetIndex(const std::string& address);
  [[nodiscard]] duration OneWayLatency(std::size_t vm,
                                       std::size_t target) const;
  [[nodiscard]] bool IsReachable(std::size_t vm, std::size_t target) const;
  void SendEvent(std::size_t target, std::size_t vm, event event);

  // Targets.

  [[nodiscard]] std::size_t EntryVmOf(const attempt_id& id) const;
  void Handle(target_command& action);
  void ReportConnectionLost(std::size_t index,
                            std::size_t vm,
                            const start_attempt& command);
  void ReportConnectionLost(std::size_t index,
                            std::size_t vm,
                            const resume_attempt& command);
  void ReportConnectionLost(std::size_t /*index*/,
                            std::size_t /*vm*/,
                            const cancel_attempt& /*command*/) const;
  void HandleCommand(std::size_t index,
                     std::size_t vm,
                     const start_attempt& command);
  void HandleCommand(std::size_t index,
                     std::size_t vm,
                     const resume_attempt& command);
  void HandleCommand(std::size_t index,
                     std::size_t /*vm*/,
                     const cancel_attempt& command);
  void StartEngineStep(std::size_t index);
  void Handle(const step_ended& action);
  void StartCalls(std::size_t index);
  void Handle(const call_ended& action);
  void Handle(const heartbeat_due& action);
  void Handle(const report_due& action);

  // The fleet.

  void Handle(const engine_outage_changed& action);
  void StopEngine(std::size_t index);
  void SendVmList(duration lag);

  const simulation_plan& plan_;
  const fleet_parameters& fleet_;
  const deployment config_;
  std::span<const traffic_request> traffic_;
  std::vector<simulated_entry_vm> entry_vms_;
  std::vector<simulated_target> targets_;
  event_heap<action> heap_;
  simulation_result result_;
  std::vector<time_point> send_times_;
  std::vector<engine_output> outputs_;
  time_point now_{kRunStart};
  time_point last_send_time_{kRunStart};
  duration longest_deadline_{};
  std::size_t sent_count_{};
  std::size_t ended_count_{};
  std::uint64_t target_starts_{};
};

}  // namespace acaciaferry::internal
