#include "acaciaferry/mesh/peer_protocol.hpp"

#include <algorithm>
#include <utility>

#include "acaciaferry/quarantine/quarantine.hpp"

namespace acaciaferry::mesh {
namespace internal {

constexpr std::size_t kMaxSuspectsSent = 16;
// Later only requests that are refused are told of, and VMs that join are told
// of all.
constexpr duration kNewSuspect = std::chrono::seconds(30);
constexpr duration kOldestSuspect = std::chrono::hours(1);
constexpr std::size_t kMaxSuspectsSentToNew = 64;
constexpr std::size_t kMaxActiveTargets = 16;
// New part crashes are sent with each heartbeat, older ones with every fourth.
constexpr duration kNewPartCrash = std::chrono::seconds(3);
constexpr duration kOldestPartCrash = std::chrono::hours(1);
constexpr std::uint64_t kOldPartCrashInterval = 4;
// Per failure domain. The second one covers the time between a failure of the
// first and its removal from the roster.
constexpr std::size_t kDesignatedWatchers = 2;
// A VM that starts waits for a peer's view before it lists, unless it is a seed
// itself; a random part of it keeps VMs that start together apart.
constexpr duration kMinFirstRead = std::chrono::milliseconds(250);
constexpr std::uint64_t kFirstReadJitterMs = 250;
// A VM that hears of no hub that reaches the service calls it itself, after a
// time that differs between VMs.
constexpr duration kServiceUnheard = std::chrono::milliseconds(2'000);
constexpr std::uint64_t kServiceUnheardJitterMs = 1'000;
// Interval of heartbeats while a process finds its peers.
constexpr duration kStartTime = std::chrono::milliseconds(1'000);
constexpr duration kStartInterval = std::chrono::milliseconds(250);
// A view that can't be fetched from peers for this long is read.
constexpr duration kMaxBehind = std::chrono::milliseconds(2'500);
// What a VM of an older release knows is left for so long to those that have
// all documents; they hear the service as well, and heartbeats come every 0.5
// s.
constexpr duration kMaxWaitForCompleteVms = std::chrono::milliseconds(1'000);

}  // namespace internal

peer_protocol::peer_protocol(peer_identity self,
                             const forwarding::state& state,
                             const clock_source& clock,
                             handlers callbacks)
    : self_(std::move(self)),
      state_(state),
      clock_(clock),
      handlers_(std::move(callbacks)),
      roster_(self_.datagram_address,
              self_.failure_domain,
              self_.seeds,
              self_.incarnation,
              self_.capacity) {}

void peer_protocol::SetSeeds(std::vector<std::string> seeds) {
  roster_.SetSeeds(std::move(seeds));
}

bool peer_protocol::IsDesignatedWatcher() const {
  return roster_.IsLarge()
             ? roster_.IsHub(clock_.Now())
             : roster_.IsAmongFirst(internal::kDesignatedWatchers);
}

bool peer_protocol::ShouldReadService() {
  const time_point now = clock_.Now();
  const duration first_read =
      internal::kMinFirstRead +
      std::chrono::milliseconds(self_.incarnation %
                                internal::kFirstReadJitterMs);
  if (!self_.is_seed && (!started_at_ || now - *started_at_ < first_read)) {
    return false;
  }
  if (!roster_.IsLarge() || roster_.IsHub(now)) {
    return true;
  }
  if (behind_since_ && now - *behind_since_ > internal::kMaxBehind) {
    return true;
  }
  if (roster_.ServiceContactOfCompleteHubs(now) != service_contact::kNone) {
    service_unheard_since_.reset();
    return false;
  }
  // Hubs of an older release can't tell it all documents.
  if (roster_.ServiceContactOfHubs(now) != service_contact::kNone &&
      !handlers_.status().reads_evacuations) {
    return true;
  }
  service_unheard_since_ = service_unheard_since_.value_or(now);
  return now - *service_unheard_since_ >
         internal::kServiceUnheard +
             std::chrono::milliseconds(self_.incarnation %
                                       internal::kServiceUnheardJitterMs);
}

void peer_protocol::Send(const std::vector<std::string>& datagrams,
                         const std::vector<std::string>& addresses) const {
  for (const std::string& address : addresses) {
    for (const std::string& datagram : datagrams) {
      handlers_.send(address, datagram);
    }
  }
}

void peer_protocol::SendTo(const std::string& address, const message& message) {
  Send(Encode(message, clock_.Now()), {address});
}

std::vector<std::string> peer_protocol::AllRecipients(time_point now) const {
  std::vector<std::string> recipients = roster_.HubRecipients(now);
  if (roster_.IsLarge() && roster_.IsHub(now)) {
    const auto members = roster_.DomainMembers(now);
    recipients.insert(recipients.end(), members.begin(), members.end());
  }
  return recipients;
}

void peer_protocol::Broadcast(const message& message) {
  const time_point now = clock_.Now();
  Send(Encode(message, now), AllRecipients(now));
}

void peer_protocol::ShareLoad(const forwarding::notify_peers& update) {
  ended_recently_.insert(ended_recently_.end(), update.ended.begin(),
                         update.ended.end());
  SendLoad({update.jobs, update.ended, update.distrusted, update.leaving});
  TellMembersWhoLeaves(update.leaving);
}

// A VM that starts, or that places a call without a planner, learns it from the
// VMs that it happens to reach, most of which are no hubs.
void peer_protocol::TellMembersWhoLeaves(
    const std::vector<forwarding::leaving_target>& leaving) {
  const time_point now = clock_.Now();
  if (leaving.empty() || !roster_.IsLarge() || !roster_.IsFirstHub(now)) {
    return;
  }
  load_update news;
  news.leaving = leaving;
  Send(Encode(news, now), roster_.DomainMembers(now));
}

void peer_protocol::SendLoad(const load_update& news) {
  const time_point now = clock_.Now();
  if (!roster_.IsLarge() || !roster_.IsHub(now)) {
    Send(Encode(news, now), roster_.HubRecipients(now));
    return;
  }
  const bool is_first = outbox_.Add(news);
  if (ConcernsOtherDomains(news)) {
    FlushNews();
  } else if (is_first) {
    handlers_.request_flush(news_outbox::kMaxDelay);
  }
}

// The planners of other failure domains choose the targets of theirs, so they
// have to know at once what reaches these from here.
bool peer_protocol::ConcernsOtherDomains(const load_update& news) const {
  return std::any_of(
      news.jobs.begin(), news.jobs.end(), [this](const forwarding::job& each) {
        const forwarding::target* at = state_.targets.Find(each.target);
        return at != nullptr && at->failure_domain != self_.failure_domain;
      });
}

void peer_protocol::FlushNews() {
  const time_point now = clock_.Now();
  Send(Encode(outbox_.Take(), now), roster_.HubRecipients(now));
}

heartbeat peer_protocol::MakeHeartbeat(time_point now) {
  const local_status status = handlers_.status();
  if (status.leaving) {
    roster_.SetLeaving();
  }
  heartbeat made{self_.vm,
                 self_.failure_domain,
                 self_.incarnation,
                 self_.datagram_address,
                 self_.control_address,
                 status.view.last_change_revision,
                 status.leaving,
                 {},
                 roster_.OwnPeakVmCount(),
                 status.view.era,
                 status.view.configuration_version,
                 self_.capacity,
                 status.plans && !status.leaving,
                 service_contact::kNone,
                 roster_.HeardInDomain(now),
                 roster_.HeardVmCount(now),
                 status.view_digest,
                 {},
                 false,
                 status.tunnels && !status.leaving};
  if (status.reads_service) {
    made.service = service_contact::kDirect;
  } else if (roster_.ServiceContactOfCompleteHubs(now) ==
             service_contact::kDirect) {
    made.service = service_contact::kThroughHub;
  }
  made.reads_evacuations = status.reads_evacuations;
  if (!roster_.IsLarge()) {
    made.known_peers = roster_.LiveAddresses();
  }
  return made;
}

// Each kind of recipient needs another list of VMs. Members of the own failure
// domain are many, and need its hubs only. Hubs learn nothing new from the list
// of a member. Any other VM may know a part of the fleet that this one doesn't.
void peer_protocol::SendHeartbeats(const std::vector<std::string>& addresses,
                                   bool asks_for_hubs) {
  const time_point now = clock_.Now();
  const auto contains = [](const std::vector<std::string>& list,
                           const std::string& address) {
    return std::find(list.begin(), list.end(), address) != list.end();
  };
  const auto members = roster_.DomainMembers(now);
  const auto hubs = roster_.HubRecipients(now);
  std::vector<std::string> to_members;
  std::vector<std::string> to_hubs;
  std::vector<std::string> to_others;
  std::vector<std::string> without_targets;
  for (const std::string& each : addresses) {
    const bool is_member = contains(members, each);
    (is_member && roster_.ReachesNoTargets(each) ? without_targets
     : is_member                                 ? to_members
     : contains(hubs, each)                      ? to_hubs
                                                 : to_others)
        .push_back(each);
  }
  heartbeat made = MakeHeartbeat(now);
  const bool is_hub = roster_.IsLarge() && roster_.IsHub(now);
  if (!roster_.IsLarge() || is_hub) {
    made.first_vms = roster_.FirstVms(false, now);
  }
  if (is_hub && !made.tunnels) {
    // The hubs of other failure domains hear of tunnels in this one from it
    // only.
    made.known_tunnels = roster_.TunnelsToName({}, now);
  }
  Send(Encode(made, now), to_hubs);
  if (!to_others.empty()) {
    made.first_vms = roster_.FirstVms(false, now);
    made.asks_for_hubs = asks_for_hubs && roster_.IsLarge();
    if (roster_.IsLarge()) {
      made.known_tunnels = roster_.TunnelsToName({}, now);
    }
    Send(Encode(made, now), to_others);
    made.asks_for_hubs = false;
  }
  made.known_tunnels.clear();
  if (to_members.empty() && without_targets.empty()) {
    return;
  }
  made.first_vms = roster_.FirstVms(true, now);
  Send(Encode(made, now), to_members);
  for (const std::string& each : without_targets) {
    made.known_tunnels = roster_.TunnelsToName(each, now);
    Send(Encode(made, now), {each});
  }
}

void peer_protocol::SendLiveDispatches(
    const std::vector<std::string>& addresses) {
  const live_dispatches live{
      self_.incarnation, self_.datagram_address,
      state_.ledger.DispatchesOf(state_.dispatch_prefix)};
  Send(Encode(live, clock_.Now()), addresses);
}

void peer_protocol::BroadcastSuspects(
    const std::vector<std::string>& addresses) {
  const time_point now = clock_.Now();
  const auto suspects =
      SuspectReportsToTell(state_.quarantine, internal::kMaxSuspectsSent,
                           internal::kNewSuspect, now);
  if (!suspects.empty()) {
    Send(Encode(suspect_reports_received{suspects}, now), addresses);
  }
}

void peer_protocol::SendSuspects(const std::string& address) {
  const auto suspects =
      SuspectReportsToTell(state_.quarantine, internal::kMaxSuspectsSentToNew,
                           internal::kOldestSuspect, clock_.Now());
  if (!suspects.empty()) {
    SendTo(address, suspect_reports_received{suspects});
  }
}

void peer_protocol::RepeatPartCrashes() {
  const bool all = ++heartbeats_sent_ % internal::kOldPartCrashInterval == 0;
  const auto crashes = OwnPartCrashes(
      state_.parts, state_.self,
      all ? internal::kOldestPartCrash : internal::kNewPartCrash, clock_.Now());
  if (!crashes.empty()) {
    Broadcast(part_crashes_received{crashes});
  }
}

void peer_protocol::SendPartCrashes(const std::vector<std::string>& addresses) {
  const auto crashes = PartCrashesToTell(state_.parts);
  if (!crashes.empty()) {
    Send(Encode(part_crashes_received{crashes}, clock_.Now()), addresses);
  }
}

void peer_protocol::SendLimits(const std::vector<std::string>& addresses) {
  const time_point now = clock_.Now();
  const auto reports = state_.limits.Reports(now);
  if (!reports.empty()) {
    Send(Encode(forwarding::limit_reports_received{reports}, now), addresses);
  }
}

void peer_protocol::SendLeavingTargets(const std::string& address) {
  load_update update;
  update.leaving = state_.targets.SaidToLeave();
  SendTo(address, update);
}

// In a large fleet a VM hears most others only for a while, when they look for
// hubs. That it does not hear them any more says nothing about them, unless
// they are of its failure domain and it is a hub there.
bool peer_protocol::IsReplacedByHubs(const heartbeat& gone,
                                     time_point now) const {
  return roster_.IsLarge() && gone.capacity > 0 &&
         (gone.failure_domain != self_.failure_domain || !roster_.IsHub(now));
}

// The hubs of other failure domains don't hear that a VM of this one is lost.
void peer_protocol::TellEndOf(std::uint64_t incarnation, time_point now) {
  if (!roster_.IsLarge() || !roster_.IsFirstHub(now)) {
    return;
  }
  load_update news;
  news.ended =
      state_.ledger.DispatchesOf(forwarding::ProcessPrefix(incarnation));
  SendLoad(news);
}

void peer_protocol::ReportMembership(time_point now) {
  for (const heartbeat& gone : roster_.Expire(now)) {
    if (IsReplacedByHubs(gone, now)) {
      continue;
    }
    handlers_.log("peer_lost", {{"peer", gone.vm.value}});
    TellEndOf(gone.incarnation, now);
    handlers_.post(forwarding::peer_lost{gone.incarnation});
  }
  const auto cut_off = roster_.CutOffDomains(now);
  if (cut_off != state_.cut_off) {
    handlers_.post(forwarding::domains_cut_off{cut_off});
  }
  handlers_.post(forwarding::vm_count_updated{roster_.PeakVmCount(),
                                              roster_.HeardVmCount(now)});
  UpdatePlanners(now);
}

// The hubs before this one place its calls. A hub that is the first one, and a
// VM that hears no hub, place them themselves.
void peer_protocol::UpdatePlanners(time_point now) {
  std::vector<std::string> planners;
  const bool is_large = roster_.IsLarge();
  if (is_large) {
    for (const peer_summary& hub : roster_.OwnHubs(now)) {
      if (hub.datagram_address == self_.datagram_address) {
        break;
      }
      const member* known = roster_.FindByAddress(hub.datagram_address);
      if (known != nullptr && known->last_heartbeat.plans) {
        planners.push_back(hub.datagram_address);
      }
    }
  }
  const bool is_hub = is_large && roster_.IsHub(now);
  if (planners != state_.planners || is_large != state_.is_large_fleet ||
      is_hub != state_.is_hub) {
    std::string names;
    for (const std::string& each : planners) {
      names += (names.empty() ? "" : "+") + each;
    }
    handlers_.log("planners_changed", {{"planners", names},
                                       {"large_fleet", is_large ? "yes" : "no"},
                                       {"hub", is_hub ? "yes" : "no"}});
    handlers_.post(forwarding::planners_changed{planners, is_large, is_hub});
  }
}

// Hubs judge whether a silent target is busy, so they have to know which ones
// respond to the VMs of their failure domain.
void peer_protocol::ReportActiveTargets(time_point now) {
  if (!roster_.IsLarge() || roster_.IsHub(now)) {
    return;
  }
  load_update news;
  news.active = state_.targets.ActiveTargets(now - kHeartbeatInterval,
                                             internal::kMaxActiveTargets);
  SendLoad(news);
}

// Hubs of an older release name no tunnels of others. What is known must last
// until the next interval.
void peer_protocol::LookForTunnels(const std::vector<std::string>& contacted,
                                   time_point now) {
  if (!roster_.IsLarge() || !state_.reach.IsAnyOutOfReach() ||
      !roster_.Tunnels(now + kHeartbeatInterval).empty()) {
    return;
  }
  std::vector<std::string> contacts = roster_.Contacts();
  std::erase_if(contacts, [&](const std::string& each) {
    return std::find(contacted.begin(), contacted.end(), each) !=
           contacted.end();
  });
  SendHeartbeats(contacts, true);
}

void peer_protocol::AnnounceReach() {
  SendHeartbeats(roster_.HubRecipients(clock_.Now()), false);
}

void peer_protocol::ReportTunnels(time_point now) {
  auto tunnels = roster_.Tunnels(now);
  if (tunnels != state_.reach.Tunnels()) {
    handlers_.post(forwarding::tunnels_changed{std::move(tunnels)});
  }
}

// Its view would leave this VM's incomplete.
bool peer_protocol::IsLeftToCompleteVms(const member& newer,
                                        time_point now) const {
  const local_status status = handlers_.status();
  const bool hears_service =
      status.reads_service ||
      roster_.ServiceContactOfCompleteHubs(now) != service_contact::kNone;
  return !newer.last_heartbeat.reads_evacuations && status.reads_evacuations &&
         hears_service && behind_since_ &&
         now - *behind_since_ <= internal::kMaxWaitForCompleteVms;
}

void peer_protocol::FetchNewerView() {
  const time_point now = clock_.Now();
  const member* newer = roster_.FindNewer(handlers_.status().view);
  if (newer == nullptr) {
    behind_since_.reset();
    return;
  }
  behind_since_ = behind_since_.value_or(now);
  if (IsLeftToCompleteVms(*newer, now)) {
    return;
  }
  const heartbeat& last = newer->last_heartbeat;
  handlers_.on_newer_view(
      {last.view_address, last.capacity > 0, false, last.reads_evacuations});
}

duration peer_protocol::OnHeartbeatInterval() {
  const time_point now = clock_.Now();
  started_at_ = started_at_.value_or(now);
  const bool has_just_started = now - *started_at_ < internal::kStartTime;
  ReportMembership(now);
  const auto recipients = roster_.HeartbeatRecipients(now);
  SendHeartbeats(recipients, true);
  LookForTunnels(recipients, now);
  SendLiveDispatches(roster_.IsLarge() && roster_.IsHub(now)
                         ? roster_.HubRecipients(now)
                         : recipients);
  SendLimits(recipients);
  // A lost end message would leave a finished dispatch in a peer's ledger, so
  // ends are sent a second time.
  if (!ended_recently_.empty()) {
    SendLoad({{}, std::exchange(ended_recently_, {}), {}, {}});
  }
  ReportActiveTargets(now);
  ReportTunnels(now);
  BroadcastSuspects(roster_.IsLarge() ? recipients : roster_.LiveAddresses());
  RepeatPartCrashes();
  FetchNewerView();
  handlers_.on_heartbeat_interval();
  return has_just_started ? internal::kStartInterval : kHeartbeatInterval;
}

}  // namespace acaciaferry::mesh
