#include "acaciaferry/entry/entry_daemon.hpp"

#include <signal.h>
#include <sys/resource.h>

#include <algorithm>
#include <fstream>
#include <limits>
#include <random>
#include <sstream>
#include <utility>

#include "acaciaferry/forwarding/evacuation/evacuate.hpp"

namespace acaciaferry::entry {
namespace internal {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;
// The load balancer probes readiness once a second and removes a VM after two
// failed probes. Calls that arrive until then are still accepted; later ones
// might not finish before the process has to exit.
constexpr duration kDrainAcceptPeriod = std::chrono::milliseconds(3'000);
// Requests that callers send before they see that the VM has stopped accepting
// are refused within this time.
constexpr duration kLastRefusals = std::chrono::milliseconds(250);
// Part of the grace period reserved for process shutdown.
constexpr duration kExitMargin = std::chrono::milliseconds(500);
// Calls without an answer are ended this long before the process stops, so that
// their replies can be written.
constexpr duration kLastAnswers = std::chrono::milliseconds(250);
constexpr duration kDrainCheckInterval = std::chrono::milliseconds(50);
// Maximum age of a view that neither the service nor a peer has confirmed. An
// older view may lack routes and keys, so unknown ones are refused as
// retryable.
constexpr duration kMaxUnconfirmedViewAge = std::chrono::milliseconds(3'000);

// Of all answers that have arrived and were not passed on, a fifth of the
// memory of the smallest VM. Buffers that grow take up to twice of it.
constexpr std::size_t kMaxAnswerMemory = 32U << 20U;

// Of the VM's memory, requests may take three tenths.
constexpr std::size_t kRequestTenths = 3;
// Room for a request of the largest size besides small ones.
constexpr std::size_t kMinRequestMemory = 8U << 20U;
// Listeners, the event loop, the log, and exchanges with the configuration
// service and peers.
constexpr std::size_t kOwnDescriptors = 32;
constexpr std::size_t kMaxReadinessConnections = 64;
constexpr std::size_t kMaxControlConnections = 256;
// A tunnel takes two descriptors, so all tunnels take a quarter.
constexpr std::size_t kTunnelDescriptorPart = 8;
constexpr std::size_t kReadinessDescriptorPart = 8;
constexpr std::size_t kControlDescriptorPart = 4;
// Requests at these addresses have no bodies.
constexpr std::uint64_t kMaxControlBodyBytes = 1'024;
constexpr duration kDropLogInterval = std::chrono::seconds(1);

std::size_t RequestMemory(const entry_settings& settings) {
  constexpr std::size_t kTenth = 10;
  const std::size_t vm_bytes =
      static_cast<std::size_t>(settings.memory_limit_mb) << 20U;
  return std::max(vm_bytes / kTenth * kRequestTenths, kMinRequestMemory);
}

std::size_t DescriptorLimit(const entry_settings& settings) {
  rlimit system{};
  std::size_t limit = static_cast<std::size_t>(settings.descriptor_limit);
  if (getrlimit(RLIMIT_NOFILE, &system) == 0 &&
      system.rlim_cur != RLIM_INFINITY) {
    const auto allowed = static_cast<std::size_t>(system.rlim_cur);
    limit = limit == 0 ? allowed : std::min(limit, allowed);
  }
  return limit == 0 ? std::numeric_limits<std::size_t>::max() : limit;
}

// Start time in milliseconds above 16 random bits, so that a restarted process
// has a higher incarnation.
std::uint64_t GenerateIncarnation() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  const auto millis =
      std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
  constexpr unsigned kRandomBits = 16;
  std::random_device device;
  return (static_cast<std::uint64_t>(millis) << kRandomBits) |
         (device() & 0xFFFFU);
}

std::string ReadFile(const std::string& path) {
  const std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace internal

entry_daemon::entry_daemon(entry_settings settings,
                           std::string settings_path,
                           std::unique_ptr<dialect> protocol)
    : settings_(std::move(settings)),
      settings_path_(std::move(settings_path)),
      settings_text_(internal::ReadFile(settings_path_)),
      protocol_(std::move(protocol)),
      answer_memory_(internal::kMaxAnswerMemory),
      request_memory_(internal::RequestMemory(settings_)),
      descriptor_limit_(internal::DescriptorLimit(settings_)),
      log_(settings_.vm.value),
      incarnation_(internal::GenerateIncarnation()),
      state_({settings_.vm, incarnation_}, settings_.retries, incarnation_),
      callers_(loop_, [this](const exchange& caller) { OnCall(caller); }),
      readiness_(loop_,
                 [this](const exchange& request) { OnReadiness(request); }),
      control_(loop_, [this](const exchange& request) { OnControl(request); }),
      tunnels_(
          loop_,
          [this](std::string_view address) {
            return state_.targets.FindByAddress(address) != nullptr;
          },
          std::clamp<std::size_t>(
              descriptor_limit_ / internal::kTunnelDescriptorPart,
              1,
              net::kDefaultMaxTunnels)),
      views_(loop_,
             *protocol_,
             settings_.service_address,
             log_,
             clock_,
             incarnation_,
             [this] { OnViewChanged(); }),
      peers_(loop_,
             settings_,
             incarnation_,
             state_,
             log_,
             metrics_,
             clock_,
             {[this](const forwarding::event& event) { Post(event); },
              [this] {
                return mesh::local_status{
                    {views_.View().era, views_.View().last_change_revision,
                     table_ ? table_->version : 0},
                    draining_since_.has_value(),
                    IsReady(),
                    views_.ReadsService(),
                    views_.Digest(),
                    offers_tunnels_ && IsReady() &&
                        !state_.reach.IsAnyOutOfReach(),
                    views_.IsComplete()};
              },
              [this](const mesh::view_source& source) {
                return views_.FetchFrom(source);
              },
              [this] {
                views_.SetShortWatches(peers_.Protocol().IsDesignatedWatcher());
                views_.SetReading(peers_.Protocol().ShouldReadService());
                ReloadSettings();
              }}),
      signals_(loop_, SIGTERM, SIGINT, SIGHUP),
      wake_timer_(loop_),
      drain_timer_(loop_) {
  state_.failure_domain = settings_.failure_domain;
  state_.max_unused_reservation = settings_.max_unused_reservation;
  state_.admits_by_slots = settings_.admits_by_slots;
  tunnels_.SetDialObserver(
      [this](std::string_view address, bool reached, duration took) {
        OnTunnelDialed(address, reached, took);
      });
  SetBounds();
}

void entry_daemon::SetBounds() {
  callers_.SetMemory(answer_memory_);
  control_.SetMemory(answer_memory_);
  callers_.SetRequestMemory(request_memory_, true);
  tunnels_.SetRequestMemory(request_memory_);
  net::server_limits limits;
  limits.body_bytes = internal::kMaxControlBodyBytes;
  for (const auto& [server, part, most] :
       {std::tuple(&readiness_, internal::kReadinessDescriptorPart,
                   internal::kMaxReadinessConnections),
        std::tuple(&control_, internal::kControlDescriptorPart,
                   internal::kMaxControlConnections)}) {
    limits.max_connections =
        std::clamp<std::size_t>(descriptor_limit_ / part, 1, most);
    server->SetLimits(limits);
    // Probes and heartbeats don't wait for callers.
    server->SetRequestMemory(request_memory_, false);
  }
  callers_.SetRoomForConnections(
      [this] { return DescriptorsInUse() < descriptor_limit_; });
  const auto on_drop = [this](net::drop_reason reason) {
    metrics_.CountDrop(reason);
    LogDropped(std::string(ToString(reason)));
  };
  callers_.SetDropHandler(on_drop);
  readiness_.SetDropHandler(on_drop);
  control_.SetDropHandler(on_drop);
  callers_.SetRefusalHandler([this](int status) {
    metrics_.CountReadRefusal(status);
    LogDropped(std::to_string(status));
  });
}

std::size_t entry_daemon::DescriptorsInUse() const {
  return internal::kOwnDescriptors + callers_.ConnectionCount() +
         readiness_.ConnectionCount() + control_.ConnectionCount() +
         relays_.size() + 2 * tunnels_.Count();
}

void entry_daemon::LogDropped(const std::string& reason) {
  ++unlogged_drops_[reason];
  const time_point now = clock_.Now();
  if (now - drops_logged_at_ < internal::kDropLogInterval) {
    return;
  }
  drops_logged_at_ = now;
  log_fields fields;
  for (const auto& [name, count] : unlogged_drops_) {
    fields.emplace_back(name, std::to_string(count));
  }
  log_.WriteEvent("callers_dropped", fields);
  unlogged_drops_.clear();
}

entry_daemon::~entry_daemon() {
  views_.Stop();
}

std::optional<std::string> entry_daemon::Listen() {
  for (const auto& [server, address] :
       {std::pair(&callers_, settings_.callers_address),
        std::pair(&readiness_, settings_.readiness_address),
        std::pair(&control_, settings_.control_address)}) {
    if (auto error = server->Listen(address)) {
      return error;
    }
  }
  // Without them this VM only helps no other.
  const auto no_tunnels = tunnels_.Listen(settings_.datagram_address);
  offers_tunnels_ = !no_tunnels;
  if (no_tunnels) {
    log_.WriteEvent("tunnels_unavailable", {{"why", *no_tunnels}});
  }
  return peers_.Bind();
}

void entry_daemon::Run() {
  log_.WriteEvent("started",
                  {{"incarnation", std::to_string(incarnation_)},
                   {"callers", settings_.callers_address},
                   {"failure_domain", settings_.failure_domain.value}});
  OnSignal();
  views_.SetReading(peers_.Protocol().ShouldReadService());
  views_.Start();
  peers_.Start();
  loop_.run();
  log_.WriteEvent("stopped", {{"in_flight", std::to_string(relays_.size())}});
}

void entry_daemon::OnSignal() {
  signals_.async_wait(
      [this](const boost::system::error_code& error, int signal) {
        if (error) {
          return;
        }
        if (signal == SIGHUP) {
          ReloadSettings();
        } else {
          Drain();
        }
        OnSignal();
      });
}

void entry_daemon::ReloadSettings() {
  std::string text = internal::ReadFile(settings_path_);
  if (text == settings_text_) {
    return;
  }
  std::vector<setting_fault> faults;
  auto reloaded = ParseEntrySettings(text, faults);
  if (!faults.empty()) {
    log_.WriteEvent("settings_refused",
                    {{"fault", ToString(faults.front())},
                     {"faults", std::to_string(faults.size())}});
    return;
  }
  settings_text_ = std::move(text);
  // Names, and all addresses except the seeds, take effect only at a restart.
  settings_.retries = reloaded.retries;
  settings_.drain_grace = reloaded.drain_grace;
  settings_.seeds = reloaded.seeds;
  settings_.max_unused_reservation = reloaded.max_unused_reservation;
  settings_.admits_by_slots = reloaded.admits_by_slots;
  state_.allowance.SetBound(reloaded.retries);
  state_.max_unused_reservation = reloaded.max_unused_reservation;
  state_.admits_by_slots = reloaded.admits_by_slots;
  peers_.ReloadSeeds();
  if (settings_.log_level != reloaded.log_level) {
    settings_.log_level = reloaded.log_level;
    ConfigureDecisionLog(settings_.log_level);
  }
  log_.WriteEvent("settings_accepted", {});
}

bool entry_daemon::IsReady() const {
  return !draining_since_ && table_ && state_.targets.size() > 0;
}

bool entry_daemon::ViewMayBeStale() const {
  // A pending watch confirms the view only when it returns, so a heartbeat from
  // a peer that has no newer view counts as well.
  const time_point now = clock_.Now();
  const auto confirmed_at = peers_.Protocol().ViewConfirmedAt();
  const bool confirmed_by_peer =
      confirmed_at && now - *confirmed_at < internal::kMaxUnconfirmedViewAge;
  const auto age = views_.ServiceResponseAge();
  return !confirmed_by_peer &&
         (!age || *age > internal::kMaxUnconfirmedViewAge);
}

void entry_daemon::OnReadiness(const exchange& request) {
  const bool is_known_path = request->head.target == protocol_->ReadinessPath();
  const int status = !is_known_path ? internal::kNotFound
                     : IsReady()    ? internal::kOk
                                    : internal::kUnavailable;
  request->Reply(status, {}, "");
}

void entry_daemon::OnControl(const exchange& request) {
  const std::string_view target = request->head.target;
  if (target.substr(0, target.find('?')) == view_keeper::kViewPath) {
    request->Reply(internal::kOk, {}, views_.ServePeer(target));
  } else if (request->head.target == "/metrics") {
    const auto age_of = [this](std::optional<time_point> since) {
      return since ? ToSeconds(clock_.Now() - *since) : -1;
    };
    const auto age = views_.ServiceResponseAge();
    const entry_gauges gauges{
        relays_.size(),
        state_.ledger.JobCount(),
        state_.targets.size(),
        state_.limits.Count(),
        state_.limits.ColdCount(clock_.Now()),
        state_.targets.SaidToLeave().size(),
        state_.refusals.Refusing(clock_.Now()).size(),
        state_.reach.IsAnyOutOfReach(),
        state_.reach.Tunnels().size(),
        tunnels_.Count(),
        callers_.ConnectionCount(),
        answer_memory_.Held(),
        answer_memory_.Dropped(),
        {request_memory_.Held(net::request_kind::kReading),
         request_memory_.Held(net::request_kind::kComplete),
         request_memory_.Held(net::request_kind::kTunnel)},
        request_memory_.Limit(),
        request_memory_.WaitingCount(),
        DescriptorsInUse(),
        descriptor_limit_,
        peers_.Protocol().Roster().PeakVmCount(),
        table_ ? table_->version : 0,
        age ? ToSeconds(*age) : -1,
        views_.ServiceEra(),
        views_.ServiceCalls(),
        age_of(table_accepted_at_),
        age_of(peers_.Protocol().LastLoadReceivedAt()),
        age_of(peers_.Protocol().Roster().OldestHeartbeatTime()),
        EvacuationGauges(),
        views_.IsComplete(),
        views_.MissingEntries(),
        state_.admission.Counts(),
        state_.admission.WaitingCount(),
        state_.admission.RememberedCount()};
    request->Reply(internal::kOk,
                   {{"Content-Type", "text/plain; version=0.0.4"}},
                   metrics_.ToPrometheusText(log_, gauges));
  } else {
    request->Reply(internal::kNotFound, {}, "");
  }
}

std::vector<evacuation_gauge> entry_daemon::EvacuationGauges() const {
  std::vector<evacuation_gauge> gauges;
  for (const failure_domain_id& each : state_.evacuations.Domains()) {
    gauges.push_back({each, forwarding::CountAttemptsIn(state_, each)});
  }
  return gauges;
}

void entry_daemon::OnTunnelDialed(std::string_view address,
                                  bool reached,
                                  duration took) {
  if (const forwarding::target* dialed =
          state_.targets.FindByAddress(address)) {
    Post(forwarding::target_probed{dialed->pool, reached, dialed->id,
                                   clock_.Now() - took});
  }
}

void entry_daemon::OnViewChanged() {
  decoded_view decoded =
      protocol_->DecodeDocuments(views_.View(), table_ ? table_->version : 0);
  for (const document_fault& fault : decoded.faults) {
    metrics_.CountDocumentFault();
    log_.WriteEvent("document_refused",
                    {{"key", fault.key}, {"why", fault.message}});
  }
  // Versions only increase; a lower one is ignored whatever its source.
  if (decoded.table && (!table_ || decoded.table->version > table_->version)) {
    log_.WriteEvent("configuration_accepted",
                    {{"version", std::to_string(decoded.table->version)},
                     {"before", std::to_string(table_ ? table_->version : 0)},
                     {"routes", std::to_string(decoded.table->RouteCount())}});
    table_ = std::move(decoded.table);
    table_accepted_at_ = clock_.Now();
    SetPools(state_, *table_);
    const forwarding::caller_limits& limits = table_->limits;
    net::server_limits new_limits;
    new_limits.head_bytes = limits.head_bytes;
    new_limits.body_bytes = limits.body_bytes;
    new_limits.head_timeout = limits.head_timeout;
    new_limits.idle_timeout = limits.idle_timeout;
    callers_.SetLimits(new_limits);
  }
  // Targets of evacuated failure domains must not be chosen in between.
  Post(forwarding::domains_evacuated{std::move(decoded.evacuated_domains)});
  // What is lacking may say that no requests are to be sent to some targets.
  // The configuration is accepted before, since its version is a part of the
  // view's position, by which peers compare views.
  if (views_.HasAllDocuments()) {
    Post(forwarding::targets_published{std::move(decoded.targets)});
  }
}

void entry_daemon::OnCall(const exchange& caller) {
  const forwarding::call_id id = next_call_id_++;
  const auto refuse = [&](failure_code code,
                          const std::string& caller_request_id) {
    metrics_.CountRefusal(code);
    failure reason{code, outcome::kNotRun, {}};
    if (Describe(code).retryable) {
      reason.retry_after = std::chrono::milliseconds(500);
    }
    log_.WriteDecision(
        {forwarding::decision_kind::kRefused,
         caller_request_id,
         {{"code", std::string(Describe(code).code)},
          {"version", std::to_string(table_ ? table_->version : 0)}}},
        clock_.Now());
    const local_reply reply = protocol_->BuildLocalReply(reason);
    caller->Reply(reply.status, reply.fields, "");
  };
  if (draining_since_ &&
      clock_.Now() >= *draining_since_ + DrainAcceptPeriod()) {
    refuse(failure_code::kDraining, "");
    return;
  }
  if (!table_) {
    refuse(failure_code::kNoConfiguration, "");
    return;
  }
  auto parsed = protocol_->ParseRequest(id, caller->head, caller->body, *table_,
                                        state_.random());
  if (const auto* rejected = std::get_if<rejected_request>(&parsed)) {
    const bool may_be_unpublished =
        rejected->code == failure_code::kUnauthenticated ||
        rejected->code == failure_code::kUnknownService;
    refuse(may_be_unpublished && ViewMayBeStale()
               ? failure_code::kNoConfiguration
               : rejected->code,
           rejected->caller_request_id);
    return;
  }
  auto& accepted = std::get<parsed_request>(parsed);
  forwarding::call& call = accepted.call;
  if (draining_since_) {
    // Targets are not handed more time, and prompts that need more are refused.
    call.time_limit =
        std::min(call.time_limit, LastAnswerTime() - clock_.Now());
  }
  const forwarding::call_arrived arrived{call};
  // Callers that are idle make room for the connection to the target.
  if (DescriptorsInUse() >= descriptor_limit_) {
    static_cast<void>(callers_.CloseLongestIdle());
  }
  relays_.emplace(id,
                  std::make_shared<call_relay>(
                      loop_, *protocol_, caller, std::move(accepted),
                      [this](const forwarding::event& event) { Post(event); },
                      &answer_memory_));
  Post(arrived);
}

void entry_daemon::Post(const forwarding::event& event) {
  // Executing an effect may report another event at once, such as a caller that
  // disconnected. The reducer is not reentrant, so that event is posted to the
  // loop.
  if (is_processing_event_) {
    boost::asio::post(loop_, [this, event] { Post(event); });
    return;
  }
  is_processing_event_ = true;
  ExecuteEffects(forwarding::Reduce(state_, event, clock_.Now()));
  is_processing_event_ = false;
  ScheduleWake();
  CheckDrained();
}

void entry_daemon::ScheduleWake() {
  const time_point next = forwarding::NextWake(state_, clock_.Now());
  if (next == wake_at_) {
    return;
  }
  wake_at_ = next;
  wake_timer_.expires_at(next);
  // The loop finds an expired timer when it looks for input, and handles the
  // input that it finds before the timer.
  wake_timer_.async_wait([this, next](const boost::system::error_code& error) {
    if (!error) {
      wake_at_ = {};
      Post(forwarding::timer_fired{next});
    }
  });
}

void entry_daemon::Drain() {
  if (draining_since_) {
    return;
  }
  draining_since_ = clock_.Now();
  log_.WriteEvent("draining", {{"in_flight", std::to_string(relays_.size())}});
  callers_.CloseAfterReplies();
  for (auto& [id, pending] : state_.pending_calls) {
    pending.deadline = std::min(pending.deadline, LastAnswerTime());
  }
  ScheduleWake();
  CheckDrained();
}

time_point entry_daemon::LastAnswerTime() const {
  return *draining_since_ +
         std::max(settings_.drain_grace - internal::kExitMargin -
                      internal::kLastAnswers,
                  duration::zero());
}

duration entry_daemon::DrainAcceptPeriod() const {
  return std::min(internal::kDrainAcceptPeriod,
                  LastAnswerTime() - *draining_since_);
}

void entry_daemon::CheckDrained() {
  if (!draining_since_) {
    return;
  }
  const duration since = clock_.Now() - *draining_since_;
  const bool grace_expired =
      since >= settings_.drain_grace - internal::kExitMargin;
  if (since >= DrainAcceptPeriod() && !stopped_accepting_) {
    stopped_accepting_ = true;
    callers_.StopListening();
    tunnels_.StopListening();
  }
  const bool may_stop = since >= DrainAcceptPeriod() + internal::kLastRefusals;
  if (may_stop) {
    callers_.CloseIdle();
  }
  if (grace_expired || (may_stop && relays_.empty() &&
                        !callers_.HasRequests() && tunnels_.Count() == 0)) {
    loop_.stop();
    return;
  }
  drain_timer_.expires_after(internal::kDrainCheckInterval);
  drain_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      CheckDrained();
    }
  });
}

}  // namespace acaciaferry::entry
