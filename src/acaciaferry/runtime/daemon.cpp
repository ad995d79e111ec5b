#include "acaciaferry/runtime/daemon.hpp"

#include <log4cplus/loggingmacros.h>

#include <atomic>
#include <chrono>
#include <fstream>
#include <random>
#include <sstream>
#include <utility>
#include <variant>
#include <vector>

#include "acaciaferry/http/callers_listener.hpp"
#include "acaciaferry/http/operators_listener.hpp"
#include "acaciaferry/platform/http_get.hpp"
#include "acaciaferry/platform/periodic_task.hpp"
#include "acaciaferry/platform/pollers.hpp"
#include "acaciaferry/runtime/event_loop.hpp"
#include "acaciaferry/target_client/target_client.hpp"

namespace acaciaferry {
namespace internal {

constexpr duration kVmListPause = std::chrono::seconds(1);
constexpr duration kLoadPause = std::chrono::milliseconds(500);

std::uint64_t MakeIncarnation() {
  constexpr unsigned kRandomBits = 16;
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  const auto milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch)
          .count();
  std::random_device random;
  const std::uint64_t low = random() & ((1U << kRandomBits) - 1);
  return (static_cast<std::uint64_t>(milliseconds) << kRandomBits) | low;
}

log4cplus::Logger Logger() {
  return log4cplus::Logger::getInstance(LOG4CPLUS_TEXT("acaciaferry"));
}

std::string ReadFile(const std::string& path) {
  const std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

state MakeState(const daemon_settings& settings, std::uint64_t incarnation) {
  state result;
  result.self = {settings.vm, settings.failure_domain, settings.region,
                 incarnation};
  result.random.seed(incarnation);
  if (!settings.key_file.empty()) {
    result.operations.secret = ReadFile(settings.key_file);
    if (result.operations.secret.empty()) {
      LOG4CPLUS_ERROR(Logger(), "event=key_file_unreadable");
    }
  }
  return result;
}

}  // namespace internal

class daemon::parts {
 public:
  explicit parts(daemon_settings checked)
      : settings_(std::move(checked)),
        incarnation_(internal::MakeIncarnation()),
        targets_(settings_.vm.value + "/" + std::to_string(incarnation_),
                 exchanges_,
                 [this](event value) { loop_.Post(std::move(value)); }),
        loop_(internal::MakeState(settings_, incarnation_),
              clock_,
              [this](effect& value) {
                std::visit([this](auto& each) { Execute(each); }, value);
              }),
        callers_{settings_,
                 clock_,
                 incarnation_,
                 exchanges_,
                 workspaces_,
                 metrics_,
                 [this](event value) { loop_.Post(std::move(value)); }},
        operators_{
            metrics_,
            {[this](const event_loop::inspection& function) {
               loop_.Inspect(function);
             },
             [this] { Drain(); }, clock_, metrics_},
            token_check(internal::ReadFile(settings_.operators_token_file))} {
    loop_.Start();
    LoadDeploymentFile();
    callers_server_ = std::make_unique<callers_listener>(callers_);
    operators_server_ = std::make_unique<operators_listener>(
        settings_.operators_address, operators_);
    const auto sink = [this](event value) { loop_.Post(std::move(value)); };
    vm_list_task_ = std::make_unique<periodic_task>(
        internal::kVmListPause,
        [this, sink] { PollVmList(settings_.vm_list, sink); });
    load_task_ = std::make_unique<periodic_task>(
        internal::kLoadPause,
        [this, sink] { PollLoadReports(TargetAddresses(), sink); });
    LOG4CPLUS_INFO(
        internal::Logger(),
        "event=started port=" << callers_server_->Port()
                              << " operators=" << operators_server_->Port()
                              << " vm=" << settings_.vm.value
                              << " incarnation=" << incarnation_);
  }

  ~parts() {
    callers_server_.reset();
    operators_server_.reset();
    load_task_.reset();
    vm_list_task_.reset();
    loop_.Stop();
  }

  parts(const parts&) = delete;
  parts& operator=(const parts&) = delete;

  void Drain() {
    if (draining_.exchange(true)) {
      return;
    }
    operators_.ready = false;
    LOG4CPLUS_INFO(internal::Logger(), "event=drain_started");
    loop_.Post(drain_requested{settings_.drain_grace});
  }

  std::atomic<bool> drained{};

 private:
  void LoadDeploymentFile() {
    if (settings_.deployment_file.empty()) {
      return;
    }
    std::vector<setting_fault> faults;
    deployment config = ParseDeployment(
        internal::ReadFile(settings_.deployment_file), 1, faults);
    for (const setting_fault& fault : faults) {
      LOG4CPLUS_ERROR(internal::Logger(),
                      "event=deployment_fault " << ToString(fault).c_str());
    }
    if (faults.empty()) {
      workspaces_.Update(config);
      loop_.Post(deployment_received{std::move(config)});
      operators_.ready = true;
    }
  }

  std::vector<std::string> TargetAddresses() {
    std::vector<std::string> addresses;
    loop_.Inspect([&addresses](const state& value) {
      for (const target& each : value.targets.targets) {
        addresses.push_back(each.address);
      }
    });
    return addresses;
  }

  template <typename Part>
  void Push(Part& part) {
    if (const auto link = exchanges_.Find(part.request)) {
      link->Push(std::move(part));
    }
  }

  void Execute(start_attempt& value) { targets_.Start(value); }
  void Execute(resume_attempt& value) { targets_.Resume(value); }
  void Execute(cancel_attempt& value) { targets_.Cancel(value); }
  void Execute(deliver_head& value) { Push(value); }
  void Execute(deliver_chunk& value) { Push(value); }
  void Execute(finish_request& value) {
    metrics_.CountAnswer();
    Push(value);
  }
  void Execute(fail_request& value) { Push(value); }
  void Execute(drain_completed& /*value*/) { drained = true; }
  void Execute(count_refusal& value) { metrics_.Count(value.code); }
  void Execute(count_retry& value) { metrics_.Count(value.reason); }
  void Execute(count_report& value) { metrics_.Count(value.verdict); }
  void Execute(count_cache_events& value) { metrics_.Count(value.verdict); }
  void Execute(count_clock_step& /*value*/) { metrics_.CountClockStep(); }

  const daemon_settings settings_;
  const std::uint64_t incarnation_;
  const steady_clock_source clock_;
  exchange_registry exchanges_;
  workspace_directory workspaces_;
  metrics_registry metrics_;
  target_client targets_;
  event_loop loop_;
  callers_context callers_;
  operators_context operators_;
  std::unique_ptr<callers_listener> callers_server_;
  std::unique_ptr<operators_listener> operators_server_;
  std::unique_ptr<periodic_task> vm_list_task_;
  std::unique_ptr<periodic_task> load_task_;
  std::atomic<bool> draining_{};
};

daemon::daemon(daemon_settings settings)
    : parts_(std::make_unique<parts>(std::move(settings))) {}

daemon::~daemon() = default;

void daemon::Drain() {
  parts_->Drain();
}

bool daemon::IsDrained() const noexcept {
  return parts_->drained;
}

}  // namespace acaciaferry
