#include "acaciaferry/entry/entry_daemon.hpp"

#include <signal.h>

#include <algorithm>
#include <fstream>
#include <random>
#include <sstream>
#include <utility>

#include "acaciaferry/entry/entry_bounds.hpp"

namespace acaciaferry::entry {
namespace internal {

// Maximum age of a view that neither the service nor a peer has confirmed. An
// older view may lack routes and keys, so unknown ones are refused as
// retryable.
constexpr duration kMaxUnconfirmedViewAge = std::chrono::milliseconds(3'000);

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

}  // namespace acaciaferry::entry
