#include "acaciaferry/entry/peer_exchange.hpp"

#include <utility>

#include "acaciaferry/quarantine/quarantine.hpp"

namespace acaciaferry::entry {
namespace internal {
namespace {

constexpr std::size_t kSuspectsTold = 16;
// Of each failure domain: the second stands in while the first is down and not
// yet dropped from the roster.
constexpr std::size_t kDesignatedWatchers = 2;

std::string WithPortOf(const std::string& address, const std::string& other) {
  return address.substr(0, address.rfind(':')) + other.substr(other.rfind(':'));
}

std::vector<std::string> DatagramSeeds(const entry_settings& settings) {
  std::vector<std::string> seeds;
  for (const std::string& seed : settings.seeds) {
    seeds.push_back(WithPortOf(seed, settings.datagrams));
  }
  return seeds;
}

}  // namespace
}  // namespace internal

peer_exchange::peer_exchange(boost::asio::io_context& loop,
                             const entry_settings& settings,
                             std::uint64_t incarnation,
                             const forwarding::state& current,
                             decision_log& log,
                             entry_metrics& metrics,
                             const clock_source& clock,
                             handlers calls)
    : settings_(settings),
      incarnation_(incarnation),
      state_(current),
      log_(log),
      metrics_(metrics),
      clock_(clock),
      calls_(std::move(calls)),
      datagrams_(loop, [this](std::string_view bytes) { OnDatagram(bytes); }),
      roster_(settings.datagrams,
              settings.failure_domain,
              internal::DatagramSeeds(settings),
              incarnation),
      interval_(loop) {}

std::optional<std::string> peer_exchange::Bind() {
  return datagrams_.Bind(settings_.datagrams);
}

void peer_exchange::Start() {
  OnInterval();
}

void peer_exchange::SeedsChanged() {
  roster_.SetSeeds(internal::DatagramSeeds(settings_));
}

bool peer_exchange::IsDesignatedWatcher() const {
  return roster_.IsAmongFirst(internal::kDesignatedWatchers);
}

void peer_exchange::Tell(const forwarding::notify_peers& news) {
  ended_recently_.insert(ended_recently_.end(), news.ended.begin(),
                         news.ended.end());
  Broadcast(mesh::load_update{news.jobs, news.ended, news.distrusted});
}

void peer_exchange::Send(const std::vector<std::string>& datagrams,
                         const std::vector<std::string>& addresses) {
  for (const std::string& address : addresses) {
    for (const std::string& datagram : datagrams) {
      datagrams_.Send(address, datagram);
    }
  }
}

void peer_exchange::Broadcast(const mesh::message& what) {
  Send(mesh::Encode(what, clock_.Now()), roster_.LiveAddresses());
}

void peer_exchange::SendHeartbeat(const std::vector<std::string>& addresses) {
  const own_status status = calls_.status();
  const mesh::heartbeat heartbeat{
      settings_.vm,      settings_.failure_domain,
      incarnation_,      settings_.datagrams,
      settings_.control, status.last_change_revision,
      status.leaving,    roster_.LiveAddresses()};
  Send(mesh::Encode(heartbeat, clock_.Now()), addresses);
  const mesh::live_dispatches live{
      incarnation_, settings_.datagrams,
      state_.ledger.DispatchesOf(state_.dispatch_prefix)};
  Send(mesh::Encode(live, clock_.Now()), addresses);
}

void peer_exchange::TellSuspects() {
  const auto suspects =
      SuspectsToTell(state_.quarantine, internal::kSuspectsTold, clock_.Now());
  if (!suspects.empty()) {
    Broadcast(suspects_heard{suspects});
  }
}

void peer_exchange::OnInterval() {
  const time_point now = clock_.Now();
  for (const mesh::heartbeat& gone : roster_.Expire(now)) {
    log_.Note("peer_lost", {{"peer", gone.vm.value}});
    calls_.post(forwarding::peer_lost{gone.incarnation});
  }
  const auto cut_off = roster_.CutOffDomains(now);
  if (cut_off != state_.cut_off) {
    calls_.post(forwarding::domains_cut_off{cut_off});
  }
  SendHeartbeat(roster_.HeartbeatRecipients());
  // An end that is lost would leave a load that is not there.
  if (!ended_recently_.empty()) {
    Broadcast(mesh::load_update{{}, std::exchange(ended_recently_, {}), {}});
  }
  TellSuspects();
  if (const mesh::member* newer =
          roster_.FindNewer(calls_.status().last_change_revision)) {
    calls_.on_newer(newer->last_heartbeat.view_address);
  }
  calls_.post(forwarding::vm_count_updated{roster_.PeakVmCount()});
  calls_.on_interval();
  interval_.expires_after(mesh::kHeartbeatInterval);
  interval_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      OnInterval();
    }
  });
}

void peer_exchange::OnDatagram(std::string_view bytes) {
  const auto message = mesh::Decode(bytes, clock_.Now());
  if (!message) {
    metrics_.CountMalformedDatagram();
    return;
  }
  std::visit([this](const auto& each) { Hear(each); }, *message);
}

void peer_exchange::Hear(const mesh::heartbeat& heartbeat) {
  const time_point now = clock_.Now();
  const auto news = roster_.OnHeartbeat(heartbeat, now);
  if (news.is_new) {
    log_.Note("peer_found", {{"peer", heartbeat.vm.value}});
  }
  if (news.replaced_incarnation) {
    log_.Note("peer_replaced", {{"peer", heartbeat.vm.value}});
    calls_.post(forwarding::peer_lost{*news.replaced_incarnation});
  }
  if (!news.addresses_to_greet.empty()) {
    SendHeartbeat(news.addresses_to_greet);
  }
  if (heartbeat.last_change_revision <= calls_.status().last_change_revision) {
    view_confirmed_at_ = now;
  }
}

void peer_exchange::Hear(const mesh::load_update& news) {
  load_heard_at_ = clock_.Now();
  calls_.post(
      forwarding::peer_load_update{news.jobs, news.ended, news.distrusted});
}

void peer_exchange::Hear(const mesh::live_dispatches& live) {
  if (!roster_.IsLive(live.datagram_address)) {
    metrics_.CountUnknownSender();
    return;
  }
  calls_.post(
      forwarding::peer_live_dispatches{live.incarnation, live.dispatches});
  const auto lacking = state_.ledger.FindUnknown(live.dispatches);
  if (!lacking.empty()) {
    Send(mesh::Encode(mesh::dispatch_request{settings_.datagrams, lacking},
                      clock_.Now()),
         {live.datagram_address});
  }
}

void peer_exchange::Hear(const mesh::dispatch_request& wanted) {
  // Other addresses may be forged.
  if (!roster_.IsLive(wanted.datagram_address)) {
    metrics_.CountUnknownSender();
    return;
  }
  const time_point now = clock_.Now();
  Send(mesh::Encode(
           mesh::load_update{
               state_.ledger.JobsOf(wanted.dispatches, now), {}, {}},
           now),
       {wanted.datagram_address});
}

void peer_exchange::Hear(const suspects_heard& suspects) const {
  calls_.post(suspects);
}

}  // namespace acaciaferry::entry
