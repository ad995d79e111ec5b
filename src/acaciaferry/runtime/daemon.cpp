#include "acaciaferry/runtime/daemon.hpp"

#include <log4cplus/loggingmacros.h>

#include <atomic>
#include <chrono>
#include <memory>
#include <utility>
#include <vector>

#include "acaciaferry/configuration/state.hpp"
#include "acaciaferry/http/callers_listener.hpp"
#include "acaciaferry/http/operators_listener.hpp"
#include "acaciaferry/membership/roles.hpp"
#include "acaciaferry/peer/link.hpp"
#include "acaciaferry/polling/configuration_watcher.hpp"
#include "acaciaferry/polling/periodic_task.hpp"
#include "acaciaferry/polling/pollers.hpp"
#include "acaciaferry/polling/target_poller.hpp"
#include "acaciaferry/runtime/configuration_checker.hpp"
#include "acaciaferry/runtime/effect_executor.hpp"
#include "acaciaferry/runtime/event_loop.hpp"
#include "acaciaferry/runtime/process_identity.hpp"
#include "acaciaferry/target_client/control_client.hpp"
#include "acaciaferry/target_client/target_client.hpp"

namespace acaciaferry {
namespace internal {

constexpr duration kVmListTaskPause = std::chrono::seconds(1);
// A round polls 8 targets and takes a few milliseconds when all answer.
constexpr std::size_t kPollThreads = 4;
constexpr duration kTargetPollTaskPause = std::chrono::milliseconds(500);

log4cplus::Logger Logger() {
  return log4cplus::Logger::getInstance(LOG4CPLUS_TEXT("acaciaferry"));
}

std::vector<target_poll> MakeTargetPolls(const state& value) {
  std::vector<target_poll> polls;
  for (const target* const candidate :
       TargetsToPoll(value.membership, value.targets)) {
    const pool* const target_pool =
        value.config ? FindPool(*value.config, candidate->pool) : nullptr;
    target_poll poll{
        candidate->address, candidate->id, candidate->incarnation, {}};
    if (target_pool != nullptr &&
        target_pool->kind == request_kind::kCompletion) {
      poll.cache = NextCachePoll(value.prefix_cache, candidate->id);
    }
    polls.push_back(std::move(poll));
  }
  return polls;
}

duration RelayInterval(const state& value) {
  return value.membership.relay_interval;
}

watch_decision DecideWatch(const state& value) {
  const bool is_watcher = IsResponsible(value.membership, role::kWatch,
                                        {value.self.failure_domain, ""});
  return {!value.config || is_watcher,
          HighestKnownRevision(value.configuration)};
}

}  // namespace internal

class daemon::implementation {
 public:
  explicit implementation(daemon_settings settings)
      : settings_(std::move(settings)),
        incarnation_(MakeIncarnation()),
        targets_(settings_.vm.value + "/" + std::to_string(incarnation_),
                 exchanges_,
                 sink_),
        control_(settings_.vm.value + "/" + std::to_string(incarnation_),
                 sink_),
        loop_(MakeInitialState(settings_, incarnation_),
              clock_,
              [this](effect& value) { executor_->Execute(value); }),
        callers_{settings_,   clock_,   incarnation_, exchanges_,
                 workspaces_, metrics_, sink_},
        operators_{metrics_,
                   {[this](const event_loop::inspection& function) {
                      loop_.Inspect(function);
                    },
                    [this] { Drain(); }, clock_, metrics_},
                   token_check(ReadWholeFile(settings_.operators_token_file))},
        checker_(sink_) {
    OpenPeers();
    executor_ = std::make_unique<effect_executor>(
        effect_adapters{exchanges_, workspaces_, metrics_, targets_, control_,
                        operators_, checker_, peers_.get()});
    callers_server_ = std::make_unique<callers_listener>(callers_);
    operators_server_ = std::make_unique<operators_listener>(
        settings_.operators_address, operators_);
    PostListenerAddresses();
    LoadDeploymentFile();
    loop_.Start();
    StartTasks();
    LOG4CPLUS_INFO(internal::Logger(),
                   "event=started port="
                       << callers_server_->Port()
                       << " operators=" << operators_server_->Port() << " vm="
                       << settings_.vm.value << " incarnation=" << incarnation_
                       << " peers=" << (peers_ ? PeersAddress() : "none"));
  }

  ~implementation() {
    callers_server_.reset();
    operators_server_.reset();
    target_poll_task_.reset();
    vm_list_task_.reset();
    watcher_.reset();
    loop_.Stop();
  }

  implementation(const implementation&) = delete;
  implementation& operator=(const implementation&) = delete;

  void Drain() {
    if (draining_.exchange(true)) {
      return;
    }
    executor_->StartDrain();
    LOG4CPLUS_INFO(internal::Logger(), "event=drain_started");
    loop_.Post(drain_requested{settings_.drain_grace});
  }

  [[nodiscard]] bool IsDrained() const noexcept {
    return executor_->IsDrained();
  }

 private:
  void OpenPeers() {
    if (settings_.peers_address.empty()) {
      return;
    }
    peers_ = std::make_unique<peer_link>(
        settings_.peers_address, clock_,
        peer_link::identity{settings_.vm, incarnation_,
                            ReadKey(settings_.key_file)},
        [this](peer_message message) {
          loop_.Post(peer_message_received{std::move(message)});
        },
        [this](peer_verdict verdict) { metrics_.Count(verdict); });
    metrics_.SetTransportTotals(peers_->Transport().Totals());
  }

  [[nodiscard]] const std::string& PeersAddress() const {
    return peers_->Transport().Address();
  }

  void PostListenerAddresses() {
    if (peers_) {
      loop_.Post(listeners_bound{
          PeersAddress(),
          AdvertisedAddress(settings_.callers_address, callers_server_->Port(),
                            PeersAddress())});
    }
  }

  void LoadDeploymentFile() {
    if (settings_.deployment_file.empty()) {
      return;
    }
    std::vector<setting_fault> faults;
    deployment config =
        ParseDeployment(ReadWholeFile(settings_.deployment_file), 1, faults);
    for (const setting_fault& fault : faults) {
      LOG4CPLUS_ERROR(internal::Logger(),
                      "event=deployment_fault " << ToString(fault).c_str());
    }
    if (faults.empty()) {
      loop_.Post(deployment_received{std::move(config)});
    }
  }

  void StartTasks() {
    if (peers_) {
      peers_->Start();
    }
    vm_list_task_ =
        std::make_unique<periodic_task>(internal::kVmListTaskPause, [this] {
          if (clock_.Now() >= next_vm_list_read_) {
            const std::size_t bytes = PollVmList(settings_.vm_list, sink_);
            metrics_.CountVmListBytes(bytes);
            // The task wakes only after whole pauses. Half a pause is
            // subtracted so that rounding does not delay the read by one more.
            next_vm_list_read_ = clock_.Now() + VmListInterval(bytes) -
                                 internal::kVmListTaskPause / 2;
          }
        });
    target_poll_task_ =
        std::make_unique<periodic_task>(internal::kTargetPollTaskPause, [this] {
          if (clock_.Now() >= next_target_round_) {
            // Targets are polled as often as their reports are relayed. Half a
            // pause is subtracted so that rounding to whole pauses does not
            // delay the round by one more.
            next_target_round_ = clock_.Now() + Query(internal::RelayInterval) -
                                 internal::kTargetPollTaskPause / 2;
            poller_.ScheduleRound(Query(internal::MakeTargetPolls));
          }
        });
    if (!settings_.configuration_service.empty()) {
      watcher_ = std::make_unique<configuration_watcher>(
          settings_.configuration_service,
          [this] { return Query(internal::DecideWatch); },
          [this] { metrics_.CountConfigurationRead(); }, sink_);
    }
  }

  // Runs a function on the loop's thread and returns its result; returns a
  // default-constructed result when the loop has stopped.
  template <typename Result>
  Result Query(Result (*function)(const state&)) {
    Result result{};
    loop_.Inspect(
        [&result, function](const state& value) { result = function(value); });
    return result;
  }

  const daemon_settings settings_;
  const std::uint64_t incarnation_;
  const steady_clock_source clock_;
  const event_sink sink_{[this](event value) { loop_.Post(std::move(value)); }};
  exchange_registry exchanges_;
  workspace_directory workspaces_;
  metrics_registry metrics_;
  target_client targets_;
  control_client control_;
  event_loop loop_;
  callers_context callers_;
  operators_context operators_;
  configuration_checker checker_;
  std::unique_ptr<peer_link> peers_;
  std::unique_ptr<effect_executor> executor_;
  std::unique_ptr<callers_listener> callers_server_;
  std::unique_ptr<operators_listener> operators_server_;
  target_poller poller_{
      internal::kPollThreads,
      [this](const target_poll& poll) { return PollTarget(poll, sink_); }};
  std::unique_ptr<periodic_task> vm_list_task_;
  std::unique_ptr<periodic_task> target_poll_task_;
  std::unique_ptr<configuration_watcher> watcher_;
  /** Each is accessed only by the thread of its task. */
  time_point next_vm_list_read_{};
  time_point next_target_round_{};
  std::atomic<bool> draining_{};
};

daemon::daemon(daemon_settings settings)
    : implementation_(std::make_unique<implementation>(std::move(settings))) {}

daemon::~daemon() = default;

void daemon::Drain() {
  implementation_->Drain();
}

bool daemon::IsDrained() const noexcept {
  return implementation_->IsDrained();
}

}  // namespace acaciaferry
