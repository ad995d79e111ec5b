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

void peer_exchange::Tell(const forwarding::tell_peers& news) {
  ended_recently_.insert(ended_recently_.end(), news.ended.begin(),
                         news.ended.end());
  Broadcast(mesh::load_news{news.jobs, news.ended, news.distrusted});
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
  Send(mesh::Encode(what, clock_.Now()), roster_.Live());
}

void peer_exchange::SendHello(const std::vector<std::string>& addresses) {
  const own_status status = calls_.status();
  const mesh::hello hello{settings_.vm,      settings_.failure_domain,
                          incarnation_,      settings_.datagrams,
                          settings_.control, status.changed_at,
                          status.leaving,    roster_.Live()};
  Send(mesh::Encode(hello, clock_.Now()), addresses);
  const mesh::live_jobs live{incarnation_, settings_.datagrams,
                             state_.ledger.KeysOf(state_.job_salt)};
  Send(mesh::Encode(live, clock_.Now()), addresses);
}

void peer_exchange::TellSuspects() {
  const auto suspects =
      LatestSuspectReports(state_.quarantine, internal::kSuspectsTold, clock_.Now());
  if (!suspects.empty()) {
    Broadcast(suspect_reports_received{suspects});
  }
}

void peer_exchange::OnInterval() {
  const time_point now = clock_.Now();
  for (const mesh::hello& gone : roster_.Expire(now)) {
    log_.Note("peer_lost", {{"peer", gone.vm.value}});
    calls_.post(forwarding::peer_ended{gone.incarnation});
  }
  const auto cut_off = roster_.SilentDomains(now);
  if (cut_off != state_.cut_off) {
    calls_.post(forwarding::domains_cut_off{cut_off});
  }
  SendHello(roster_.HelloTargets());
  // An end that is lost would leave a load that is not there.
  if (!ended_recently_.empty()) {
    Broadcast(mesh::load_news{{}, std::exchange(ended_recently_, {}), {}});
  }
  TellSuspects();
  if (const mesh::member* newer = roster_.Newer(calls_.status().changed_at)) {
    calls_.on_newer(newer->last.views);
  }
  calls_.post(forwarding::peers_counted{roster_.Sharers()});
  calls_.on_interval();
  interval_.expires_after(mesh::kHelloInterval);
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

void peer_exchange::Hear(const mesh::hello& hello) {
  const time_point now = clock_.Now();
  const auto news = roster_.Hear(hello, now);
  if (news.is_found) {
    log_.Note("peer_found", {{"peer", hello.vm.value}});
  }
  if (news.replaced) {
    log_.Note("peer_replaced", {{"peer", hello.vm.value}});
    calls_.post(forwarding::peer_ended{*news.replaced});
  }
  if (!news.contact.empty()) {
    SendHello(news.contact);
  }
  if (hello.changed_at <= calls_.status().changed_at) {
    view_confirmed_at_ = now;
  }
}

void peer_exchange::Hear(const mesh::load_news& news) {
  load_heard_at_ = clock_.Now();
  calls_.post(forwarding::peer_load{news.jobs, news.ended, news.distrusted});
}

void peer_exchange::Hear(const mesh::live_jobs& live) {
  if (!roster_.IsLive(live.datagrams)) {
    metrics_.CountUnknownSender();
    return;
  }
  calls_.post(forwarding::peer_holds{live.incarnation, live.keys});
  const auto lacking = state_.ledger.Lacking(live.keys);
  if (!lacking.empty()) {
    Send(mesh::Encode(mesh::jobs_wanted{settings_.datagrams, lacking},
                      clock_.Now()),
         {live.datagrams});
  }
}

void peer_exchange::Hear(const mesh::jobs_wanted& wanted) {
  // Other addresses may be forged.
  if (!roster_.IsLive(wanted.datagrams)) {
    metrics_.CountUnknownSender();
    return;
  }
  const time_point now = clock_.Now();
  Send(
      mesh::Encode(
          mesh::load_news{state_.ledger.JobsOf(wanted.keys, now), {}, {}}, now),
      {wanted.datagrams});
}

void peer_exchange::Hear(const suspect_reports_received& suspects) const {
  calls_.post(suspects);
}

}  // namespace acaciaferry::entry
