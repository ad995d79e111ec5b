#include "acaciaferry/entry/entry_daemon.hpp"

#include <malloc.h>
#include <signal.h>

#include <algorithm>
#include <fstream>
#include <random>
#include <sstream>
#include <utility>

#include "acaciaferry/entry/order_sender.hpp"

namespace acaciaferry::entry {
namespace internal {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;
// The balancer asks once a second and takes a VM out after two misses; callers
// that it has sent by then are still served. Later ones could not be answered
// before the process has to be gone.
constexpr duration kAcceptWhileDraining = std::chrono::milliseconds(3'000);
// Kept of the grace for the process's own end.
constexpr duration kExitMargin = std::chrono::milliseconds(500);
constexpr duration kDrainCheck = std::chrono::milliseconds(50);
// A view that neither the service nor a peer has confirmed for this long may
// lack routes and keys: what it doesn't know is refused as "try again".
constexpr duration kConfirmedFor = std::chrono::milliseconds(3'000);
// A release without an answer is sent again; the lease bounds the rest.
constexpr int kReleaseTries = 3;

std::uint64_t StartOfProcess() {
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
                           std::unique_ptr<dialect> words)
    : settings_(std::move(settings)),
      settings_path_(std::move(settings_path)),
      settings_text_(internal::ReadFile(settings_path_)),
      words_(std::move(words)),
      log_(settings_.vm.value),
      incarnation_(internal::StartOfProcess()),
      state_({settings_.vm, incarnation_}, settings_.retries, incarnation_),
      callers_(loop_, [this](const exchange& caller) { OnCall(caller); }),
      readiness_(loop_, [this](const exchange& asked) { OnReadiness(asked); }),
      control_(loop_, [this](const exchange& asked) { OnControl(asked); }),
      views_(loop_,
             *words_,
             settings_.service,
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
             {[this](const forwarding::event& happened) { Post(happened); },
              [this] {
                return own_status{views_.View().last_change_revision,
                                  draining_since_.has_value()};
              },
              [this](const std::string& views) { views_.FetchFrom(views); },
              [this] {
                views_.SetShortWatches(peers_.IsDesignatedWatcher());
                ReloadSettings();
              }}),
      signals_(loop_, SIGTERM, SIGINT, SIGHUP),
      wake_(loop_),
      drain_(loop_) {
  state_.failure_domain = settings_.failure_domain;
  callers_.OnRefusal([this](int status) {
    metrics_.CountReadRefusal(status);
    log_.Note("refused_unread", {{"status", std::to_string(status)}});
  });
}

entry_daemon::~entry_daemon() {
  views_.Stop();
}

std::optional<std::string> entry_daemon::Listen() {
  for (const auto& [server, address] :
       {std::pair(&callers_, settings_.callers),
        std::pair(&readiness_, settings_.readiness),
        std::pair(&control_, settings_.control)}) {
    if (auto error = server->Listen(address)) {
      return error;
    }
  }
  return peers_.Bind();
}

void entry_daemon::Run() {
  log_.Note("started", {{"incarnation", std::to_string(incarnation_)},
                        {"callers", settings_.callers},
                        {"failure_domain", settings_.failure_domain.value}});
  OnSignal();
  views_.Start();
  peers_.Start();
  loop_.run();
  log_.Note("stopped", {{"in_flight", std::to_string(relays_.size())}});
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
  auto fresh = ParseEntrySettings(text, faults);
  if (!faults.empty()) {
    log_.Note("settings_refused", {{"fault", ToString(faults.front())},
                                   {"faults", std::to_string(faults.size())}});
    return;
  }
  settings_text_ = std::move(text);
  // Addresses and names are fixed for the life of the process.
  settings_.retries = fresh.retries;
  settings_.drain_grace = fresh.drain_grace;
  settings_.seeds = fresh.seeds;
  state_.allowance.SetBound(fresh.retries);
  peers_.SeedsChanged();
  if (settings_.log_level != fresh.log_level) {
    settings_.log_level = fresh.log_level;
    ConfigureDecisionLog(settings_.log_level);
  }
  log_.Note("settings_accepted", {});
}

bool entry_daemon::IsReady() const {
  return !draining_since_ && table_ && state_.targets.size() > 0;
}

bool entry_daemon::ViewMayBeOld() const {
  // A watch that waits confirms the view only when it is answered, so peers
  // with the same view count as well.
  const time_point now = clock_.Now();
  const auto confirmed = peers_.ViewConfirmedAt();
  const bool by_peer = confirmed && now - *confirmed < internal::kConfirmedFor;
  const auto age = views_.Age();
  return !by_peer && (!age || *age > internal::kConfirmedFor);
}

void entry_daemon::OnReadiness(const exchange& asked) {
  const bool known = asked->head.target == words_->ReadinessPath();
  const int status = !known      ? internal::kNotFound
                     : IsReady() ? internal::kOk
                                 : internal::kUnavailable;
  asked->Reply(status, {}, "");
}

void entry_daemon::OnControl(const exchange& asked) {
  if (asked->head.target == view_keeper::kPath) {
    asked->Reply(internal::kOk, {}, EncodeView(views_.View()));
  } else if (asked->head.target == "/metrics") {
    const auto age_of = [this](std::optional<time_point> since) {
      return since ? ToSeconds(clock_.Now() - *since) : -1;
    };
    const auto age = views_.Age();
    const entry_gauges gauges{relays_.size(),
                              state_.ledger.JobCount(),
                              state_.targets.size(),
                              callers_.Connections(),
                              peers_.Sharers(),
                              table_ ? table_->version : 0,
                              age ? ToSeconds(*age) : -1,
                              views_.Calls(),
                              age_of(table_accepted_at_),
                              age_of(peers_.LoadHeardAt()),
                              age_of(peers_.OldestHeartbeatAt())};
    asked->Reply(internal::kOk, {{"Content-Type", "text/plain; version=0.0.4"}},
                 metrics_.ToPrometheusText(log_, gauges));
  } else {
    asked->Reply(internal::kNotFound, {}, "");
  }
}

void entry_daemon::OnViewChanged() {
  decoded_view decoded = words_->Decode(views_.View());
  for (const document_fault& fault : decoded.faults) {
    metrics_.CountDocumentFault();
    log_.Note("document_refused", {{"key", fault.key}, {"why", fault.what}});
  }
  // Versions only grow; a lower one is ignored wherever it comes from.
  if (decoded.table && (!table_ || decoded.table->version > table_->version)) {
    log_.Note("configuration_accepted",
              {{"version", std::to_string(decoded.table->version)},
               {"before", std::to_string(table_ ? table_->version : 0)},
               {"routes", std::to_string(decoded.table->RouteCount())}});
    table_ = std::move(decoded.table);
    table_accepted_at_ = clock_.Now();
    SetPools(state_, *table_);
    const forwarding::caller_limits& limits = table_->limits;
    net::server_limits server;
    server.head_bytes = limits.head_bytes;
    server.body_bytes = limits.body_bytes;
    server.head_timeout = limits.head_timeout;
    server.idle_timeout = limits.idle_timeout;
    callers_.SetLimits(server);
  }
  Post(forwarding::targets_published{std::move(decoded.targets)});
}

void entry_daemon::OnCall(const exchange& caller) {
  const forwarding::call_id id = next_id_++;
  const auto refuse = [&](failure_code code, const std::string& label) {
    metrics_.CountRefusal(code);
    failure why{code, outcome::kNotRun, {}};
    if (Describe(code).retryable) {
      why.retry_after = std::chrono::milliseconds(500);
    }
    log_.Write({forwarding::decision_kind::kRefused,
                label,
                {{"code", std::string(Describe(code).code)},
                 {"version", std::to_string(table_ ? table_->version : 0)}}},
               clock_.Now());
    const own_reply reply = words_->Refuse(why);
    caller->Reply(reply.status, reply.fields, "");
  };
  if (draining_since_ &&
      clock_.Now() - *draining_since_ >= internal::kAcceptWhileDraining) {
    refuse(failure_code::kDraining, "");
    return;
  }
  if (!table_) {
    refuse(failure_code::kNoConfiguration, "");
    return;
  }
  auto read =
      words_->Read(id, caller->head, caller->body, *table_, state_.random());
  if (const auto* bad = std::get_if<unreadable_call>(&read)) {
    const bool may_be_new = bad->why == failure_code::kUnauthenticated ||
                            bad->why == failure_code::kUnknownService;
    refuse(may_be_new && ViewMayBeOld() ? failure_code::kNoConfiguration
                                        : bad->why,
           bad->label);
    return;
  }
  auto& call = std::get<readable_call>(read);
  const forwarding::call what = call.what;
  relays_.emplace(
      id, std::make_shared<call_relay>(
              loop_, *words_, caller, std::move(call),
              [this](const forwarding::event& happened) { Post(happened); }));
  Post(forwarding::call_arrived{what});
}

void entry_daemon::Post(const forwarding::event& happened) {
  // An effect may report an event at once, for example a caller that has left;
  // it is decided on after the running decision.
  if (in_post_) {
    boost::asio::post(loop_, [this, happened] { Post(happened); });
    return;
  }
  in_post_ = true;
  CarryOut(forwarding::Reduce(state_, happened, clock_.Now()));
  in_post_ = false;
  SetWake();
  CheckDrained();
}

struct entry_daemon::carrier {
  entry_daemon& self;

  std::shared_ptr<call_relay> Relay(forwarding::call_id id) const {
    const auto at = self.relays_.find(id);
    return at == self.relays_.end() ? nullptr : at->second;
  }

  // Takes the relay out: its call is over.
  std::shared_ptr<call_relay> Last(forwarding::call_id id) const {
    auto relay = Relay(id);
    self.relays_.erase(id);
    return relay;
  }

  void operator()(const forwarding::send_attempt& what) const {
    if (const auto relay = Relay(what.id)) {
      relay->Send(what);
    }
  }
  void operator()(const forwarding::cancel_attempt& what) const {
    if (const auto relay = Relay(what.id)) {
      relay->Cancel();
    }
  }
  void operator()(const forwarding::deliver_response& what) const {
    if (const auto relay = Last(what.id)) {
      relay->Deliver();
    }
  }
  void operator()(const forwarding::finish_stream& what) const {
    if (const auto relay = Last(what.id)) {
      relay->Finish();
    }
  }
  void operator()(const forwarding::abort_response& what) const {
    if (const auto relay = Last(what.id)) {
      relay->Abort();
    }
  }
  void operator()(const forwarding::refuse_call& what) const {
    self.metrics_.CountRefusal(what.why.code);
    if (const auto relay = Last(what.id)) {
      relay->Refuse(what.why);
    }
  }
  void operator()(const forwarding::forget_call& what) const {
    self.relays_.erase(what.id);
  }
  void operator()(const forwarding::record_latency& what) const {
    self.metrics_.Observe(what);
  }
  void operator()(const forwarding::reserve_memory& what) const {
    if (what.renewal) {
      SendOrder(self.loop_, what.address, self.words_->Reserve(what), 1,
                [](bool) {});
      return;
    }
    SendOrder(self.loop_, what.address, self.words_->Reserve(what), 1,
              [owner = &self, what](bool held) {
                owner->Post(forwarding::reservation_settled{
                    what.id, what.attempt, what.ticket, held});
              });
  }
  void operator()(const forwarding::release_memory& what) const {
    SendOrder(self.loop_, what.address, self.words_->Release(what),
              internal::kReleaseTries, [](bool) {});
  }
  void operator()(const forwarding::notify_peers& what) const {
    self.peers_.Tell(what);
  }
  void operator()(const forwarding::record_decision& what) const {
    self.log_.Write(what, self.clock_.Now());
    if (what.kind == forwarding::decision_kind::kRepeated ||
        what.kind == forwarding::decision_kind::kResumed) {
      for (const auto& [name, value] : what.inputs) {
        if (name == "reason") {
          self.metrics_.CountRepeat(value);
        }
      }
    }
  }
};

void entry_daemon::CarryOut(const forwarding::effects& effects) {
  const carrier carry{*this};
  for (const forwarding::effect& each : effects) {
    std::visit(carry, each);
  }
}

void entry_daemon::SetWake() {
  const time_point next = forwarding::NextWake(state_, clock_.Now());
  if (next == woken_at_) {
    return;
  }
  woken_at_ = next;
  wake_.expires_at(next);
  wake_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      woken_at_ = {};
      Post(forwarding::timer_fired{});
    }
  });
}

void entry_daemon::Drain() {
  if (draining_since_) {
    return;
  }
  draining_since_ = clock_.Now();
  log_.Note("draining", {{"in_flight", std::to_string(relays_.size())}});
  callers_.CloseAfterReplies();
  CheckDrained();
}

void entry_daemon::CheckDrained() {
  if (!draining_since_) {
    return;
  }
  const duration since = clock_.Now() - *draining_since_;
  const bool over = since >= settings_.drain_grace - internal::kExitMargin;
  if (since >= internal::kAcceptWhileDraining) {
    callers_.StopListening();
    callers_.CloseIdle();
  }
  if (over || (since >= internal::kAcceptWhileDraining && relays_.empty() &&
               !callers_.HasUnwritten())) {
    loop_.stop();
    return;
  }
  drain_.expires_after(internal::kDrainCheck);
  drain_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      CheckDrained();
    }
  });
}

}  // namespace acaciaferry::entry
