#include "acaciaferry/membership/exchange.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>
#include <utility>

#include "acaciaferry/membership/roles.hpp"

namespace acaciaferry {
namespace internal {

// Full heartbeats also carry the fields that seldom change: the first three of
// a process are full, then every fifth one.
constexpr std::uint64_t kFullHeartbeatPeriod = 5;
constexpr std::uint64_t kInitialFullHeartbeats = 3;
// Bounds the relayed reports that a VM receives from its own failure domain to
// 50 a second, unless the maximum interval is reached.
constexpr duration kRelayIntervalPerTarget = std::chrono::milliseconds(20);
constexpr duration kMinRelayInterval = std::chrono::milliseconds(500);
constexpr duration kMaxRelayInterval = std::chrono::seconds(3);
// In fleets up to this size, full summaries report every target of the failure
// domain; in larger ones the least loaded targets of each pool.
constexpr std::size_t kMaxCompleteSummaryTargets = 64;
constexpr std::size_t kSummaryTargetsPerPool = 4;
// Approximate encoded sizes, with names of typical length.
constexpr std::size_t kEncodedMemberBytes = 45;
constexpr std::size_t kEncodedReportBytes = 85;
constexpr double kMaxSummaryBytesPerSecond = 2'000;
constexpr duration kMinSummaryInterval = std::chrono::seconds(1);
constexpr duration kMaxSummaryInterval = std::chrono::seconds(15);

template <typename Item>
std::vector<Item> Truncated(const std::vector<Item>& items, std::size_t limit) {
  return {items.begin(), items.begin() + static_cast<std::ptrdiff_t>(
                                             std::min(items.size(), limit))};
}

std::vector<std::string> DomainAddresses(const membership_state& state) {
  std::vector<std::string> addresses;
  for (const auto& [vm, known] : state.peers) {
    // Includes dead peers, so that both sides of a partition find each other
    // again.
    if (known.failure_domain == state.failure_domain &&
        !known.address.empty()) {
      addresses.push_back(known.address);
    }
  }
  return addresses;
}

// When more targets are leaving than fit, successive heartbeats rotate through
// them.
std::vector<leaving_target> LeavingTargets(const membership_state& state,
                                           const targets_state& targets) {
  std::vector<leaving_target> all;
  for (const target& each : targets.targets) {
    if (each.leaving && each.failure_domain == state.failure_domain) {
      all.push_back({each.id, each.incarnation});
    }
  }
  if (all.size() > kMaxLeavingTargets) {
    const auto first = state.heartbeat_count * kMaxLeavingTargets % all.size();
    std::rotate(all.begin(), all.begin() + static_cast<std::ptrdiff_t>(first),
                all.end());
    all.resize(kMaxLeavingTargets);
  }
  return all;
}

heartbeat MakeHeartbeat(const membership_state& state,
                        const advertised_state& view,
                        bool full) {
  heartbeat result;
  result.leaving = state.leaving;
  result.revision = view.revision;
  result.demand = Truncated(state.demand, kMaxDemands);
  result.demand_measured_at =
      result.demand.empty() ? 0 : state.demand_measured_at;
  result.suspects = Truncated(state.suspects, kMaxSuspects);
  result.closed_sets = Truncated(state.closed_sets, kMaxClosedSets);
  result.leaving_targets = LeavingTargets(state, view.targets);
  if (full) {
    result.failure_domain = state.failure_domain;
    result.region = state.region;
    result.address = state.address;
    result.callers_address = state.callers_address;
  }
  return result;
}

void Send(std::vector<std::string> addresses,
          peer_body body,
          std::vector<send_to_peers>& out) {
  if (!addresses.empty()) {
    out.push_back({std::move(addresses), std::move(body)});
  }
}

void RelayReports(membership_state& state,
                  time_point now,
                  std::vector<send_to_peers>& out) {
  load_relay relay;
  for (const auto& [id, item] : state.pending_reports) {
    relay.reports.push_back({item.first, now - item.second});
    if (relay.reports.size() == kMaxRelayedReports) {
      Send(DomainAddresses(state), std::exchange(relay, {}), out);
    }
  }
  state.pending_reports.clear();
  if (!relay.reports.empty()) {
    Send(DomainAddresses(state), std::move(relay), out);
  }
}

bool IsBetterTarget(const target* a, const target* b) noexcept {
  const auto load = [](const target& value) {
    return std::tuple(value.report->queued_prefill_tokens,
                      value.report->running + value.report->waiting,
                      value.id.value);
  };
  return load(*a) < load(*b);
}

std::vector<const target*> TargetsForSummary(const membership_state& state,
                                             const targets_state& targets) {
  std::map<pool_id, std::vector<const target*>> pools;
  for (const target& each : targets.targets) {
    if (each.failure_domain == state.failure_domain && each.report &&
        !each.leaving) {
      pools[each.pool].push_back(&each);
    }
  }
  const bool all = targets.targets.size() <= kMaxCompleteSummaryTargets;
  std::vector<const target*> chosen;
  for (auto& [id, members] : pools) {
    std::sort(members.begin(), members.end(), IsBetterTarget);
    const std::size_t count =
        all ? members.size() : std::min(members.size(), kSummaryTargetsPerPool);
    chosen.insert(chosen.end(), members.begin(),
                  members.begin() + static_cast<std::ptrdiff_t>(count));
  }
  return Truncated(chosen, kMaxRelayedReports);
}

std::vector<member_summary> MembersForSummary(const membership_state& state,
                                              time_point now,
                                              bool full) {
  std::vector<member_summary> members;
  if (full || state.leaving) {
    members.push_back(
        {state.self, 0, state.callers_address, state.leaving, duration{}});
  }
  for (const auto& [vm, known] : state.peers) {
    const bool is_present = known.phase == peer_phase::kAlive ||
                            known.phase == peer_phase::kSuspected;
    if (known.failure_domain == state.failure_domain && is_present &&
        (full || known.leaving)) {
      members.push_back({vm, known.incarnation, known.callers_address,
                         known.leaving, now - known.heard_at});
    }
  }
  return Truncated(members, kMaxSummaryMembers);
}

domain_summary MakeSummary(const membership_state& state,
                           const advertised_state& view,
                           time_point now,
                           bool full) {
  domain_summary result;
  result.failure_domain = state.failure_domain;
  result.revision = view.revision;
  result.leaving_targets = LeavingTargets(state, view.targets);
  result.suspects = state.domain_suspects;
  result.members = MembersForSummary(state, now, full);
  if (full) {
    result.closed_sets = Truncated(state.domain_closed_sets, kMaxClosedSets);
    result.suspects.insert(result.suspects.end(), state.older_suspects.begin(),
                           state.older_suspects.end());
    for (const target* const each : TargetsForSummary(state, view.targets)) {
      result.reports.push_back({*each->report, now - each->reported_at});
    }
  }
  result.suspects = Truncated(result.suspects, kMaxSuspects);
  return result;
}

// Limits the summaries that a VM receives to kMaxSummaryBytesPerSecond, unless
// the maximum interval is reached.
duration SummaryInterval(const membership_state& state,
                         const targets_state& targets) {
  std::size_t reports = 0;
  std::set<std::pair<failure_domain_id, pool_id>> pools;
  for (const target& each : targets.targets) {
    if (each.failure_domain != state.failure_domain) {
      ++reports;
      pools.emplace(each.failure_domain, each.pool);
    }
  }
  if (targets.targets.size() > kMaxCompleteSummaryTargets) {
    reports = std::min(reports, pools.size() * kSummaryTargetsPerPool);
  }
  const std::size_t bytes =
      state.peers.size() * kEncodedMemberBytes + reports * kEncodedReportBytes;
  return std::clamp(
      FromSeconds(static_cast<double>(bytes) / kMaxSummaryBytesPerSecond),
      kMinSummaryInterval, kMaxSummaryInterval);
}

void SendSummaries(membership_state& state,
                   const advertised_state& view,
                   time_point now,
                   std::vector<send_to_peers>& out) {
  const bool full = now >= state.next_summary;
  if (full) {
    state.summary_interval = SummaryInterval(state, view.targets);
    state.next_summary = now + state.summary_interval;
  }
  const domain_summary summary = MakeSummary(state, view, now, full);
  for (const failure_domain_id& domain : RemoteDomains(state)) {
    if (!IsResponsible(state, role::kDelegate,
                       {state.failure_domain, domain.value})) {
      continue;
    }
    if (const auto address = RemoteDelegate(state, domain)) {
      Send({*address}, summary, out);
    }
  }
}

// An empty summary only shows that its sender is alive. It is not relayed,
// since the full ones show that to the receiver's failure domain too.
bool HasContents(const domain_summary& summary) noexcept {
  return !summary.members.empty() || !summary.reports.empty() ||
         !summary.leaving_targets.empty() || !summary.suspects.empty() ||
         !summary.closed_sets.empty() || !summary.demand.empty();
}

// Adds an event for other modules when the peer's incarnation or callers'
// address has changed.
void NotifyIfChanged(peer& known, peer_update& update) {
  const bool is_changed = known.notified_incarnation != known.incarnation ||
                          known.notified_address != known.callers_address;
  if (is_changed && known.incarnation != 0 && !known.callers_address.empty()) {
    known.notified_incarnation = known.incarnation;
    known.notified_address = known.callers_address;
    update.discovered_peers.push_back(
        {known.vm, known.incarnation, known.callers_address});
  }
}

// Applies the body of an accepted message.
struct body_handler {
  membership_state& state;
  const peer_message& message;
  time_point now;
  peer_update& update;
  std::vector<send_to_peers>& out;

  void operator()(const heartbeat& body) const {
    peer& sender = state.peers.at(message.vm);
    sender.leaving = sender.leaving || body.leaving;
    if (!body.failure_domain.empty()) {
      // The platform's VM list takes precedence over the VM's own message.
      if (!sender.listed) {
        sender.failure_domain = body.failure_domain;
        sender.region = body.region;
        sender.address = body.address;
      }
      sender.callers_address = body.callers_address;
    }
    NotifyIfChanged(sender, update);
    update.revision = body.revision;
    update.leaving_targets = body.leaving_targets;
    update.suspects = body.suspects;
    update.demand = body.demand;
    update.demand_measured_at = body.demand_measured_at;
    update.closed_sets = body.closed_sets;
  }

  void operator()(const share_loans& body) const { update.loans = body; }

  void operator()(const load_relay& body) const {
    update.reports = body.reports;
  }

  void operator()(const domain_summary& body) const {
    if (body.failure_domain == state.failure_domain) {
      return;
    }
    for (const member_summary& member : body.members) {
      ApplySummaryMember(body, member);
    }
    update.reports = body.reports;
    update.leaving_targets = body.leaving_targets;
    update.suspects = body.suspects;
    update.closed_sets = body.closed_sets;
    if (!body.relayed) {
      update.revision = body.revision;
    }
    if (!body.relayed && HasContents(body)) {
      domain_summary copy = body;
      copy.relayed = true;
      // The sender omits its own incarnation, since the message header has it.
      for (member_summary& member : copy.members) {
        if (member.vm == message.vm) {
          member.incarnation = message.incarnation;
        }
      }
      Send(DomainAddresses(state), std::move(copy), out);
    }
  }

  // The configuration module handles these messages.
  void operator()(const configuration_request& /*body*/) const {}
  void operator()(const configuration_part& /*body*/) const {}
  void operator()(const unknown_body& /*body*/) const {}
  // The operations module handles these messages.
  void operator()(const closed_keys_part& /*body*/) const {}
  void operator()(const closed_keys_acknowledgement& /*body*/) const {}

  void operator()(const vm_list_changes& body) const {
    update.vm_list_changes = body.entries;
  }

  void ApplySummaryMember(const domain_summary& body,
                          const member_summary& member) const {
    member_summary value = member;
    if (value.vm == message.vm) {
      value.incarnation = message.incarnation;
    }
    ApplyMemberSummary(state, body.failure_domain, value, now);
    const auto found = state.peers.find(value.vm);
    if (found != state.peers.end()) {
      NotifyIfChanged(found->second, update);
    }
  }
};

}  // namespace internal

peer_update OnPeerMessage(membership_state& state,
                          const peer_message& message,
                          time_point now,
                          std::vector<send_to_peers>& out) {
  peer_update update;
  update.verdict = AcceptMessage(state, message, now);
  if (update.verdict != peer_verdict::kAccepted) {
    return update;
  }
  std::visit(internal::body_handler{state, message, now, update, out},
             message.body);
  const peer& sender = state.peers.at(message.vm);
  update.address = sender.address;
  update.is_remote = sender.failure_domain != state.failure_domain;
  return update;
}

void QueueReportForRelay(membership_state& state,
                         const load_report& report,
                         time_point now) {
  state.pending_reports.insert_or_assign(report.target, std::pair(report, now));
}

void SendScheduledMessages(membership_state& state,
                           const advertised_state& view,
                           time_point now,
                           std::vector<send_to_peers>& out) {
  if (now >= state.next_relay) {
    const auto targets = static_cast<std::int64_t>(
        std::count_if(view.targets.targets.begin(), view.targets.targets.end(),
                      [&state](const target& each) {
                        return each.failure_domain == state.failure_domain;
                      }));
    state.relay_interval = std::clamp<duration>(
        targets * internal::kRelayIntervalPerTarget,
        internal::kMinRelayInterval, internal::kMaxRelayInterval);
    state.next_relay = now + state.relay_interval;
    internal::RelayReports(state, now, out);
  }
  if (now >= state.next_heartbeat) {
    state.next_heartbeat = now + kHeartbeatInterval;
    ++state.heartbeat_count;
    const bool full =
        state.heartbeat_count <= internal::kInitialFullHeartbeats ||
        state.heartbeat_count % internal::kFullHeartbeatPeriod == 0;
    internal::Send(internal::DomainAddresses(state),
                   internal::MakeHeartbeat(state, view, full), out);
    internal::SendSummaries(state, view, now, out);
  }
}

void ExpediteHeartbeat(membership_state& state, time_point now) noexcept {
  const time_point earliest =
      state.next_heartbeat - kHeartbeatInterval + kMinHeartbeatInterval;
  state.next_heartbeat =
      std::min(state.next_heartbeat, std::max(now, earliest));
}

void SendHeartbeatNow(membership_state& state,
                      const advertised_state& view,
                      std::vector<send_to_peers>& out) {
  heartbeat message = internal::MakeHeartbeat(state, view, true);
  // The ages of the suspects were computed for the last regular heartbeat.
  message.suspects.clear();
  internal::Send(internal::DomainAddresses(state), std::move(message), out);
}

void RelayVmListChanges(const membership_state& state,
                        std::span<const vm_record> changes,
                        std::vector<send_to_peers>& out) {
  while (!changes.empty()) {
    const auto part =
        changes.first(std::min(changes.size(), kMaxVmListChanges));
    internal::Send(internal::DomainAddresses(state),
                   vm_list_changes{{part.begin(), part.end()}}, out);
    changes = changes.subspan(part.size());
  }
}

void AnnounceLeaving(membership_state& state,
                     const advertised_state& view,
                     leaving_source source,
                     std::vector<send_to_peers>& out) {
  heartbeat message = internal::MakeHeartbeat(state, view, true);
  message.leaving_targets.clear();
  message.suspects.clear();
  std::map<target_id, std::uint64_t> leaving;
  for (const target& each : view.targets.targets) {
    if (!each.leaving) {
      continue;
    }
    leaving.emplace(each.id, each.incarnation);
    const auto announced = state.announced_leaving.find(each.id);
    const bool is_unannounced = announced == state.announced_leaving.end() ||
                                announced->second != each.incarnation;
    if (is_unannounced && message.leaving_targets.size() < kMaxLeavingTargets) {
      message.leaving_targets.push_back({each.id, each.incarnation});
    }
  }
  state.announced_leaving = std::move(leaving);
  if (message.leaving_targets.empty() ||
      source == leaving_source::kLocalDomain) {
    return;
  }
  std::vector<std::string> addresses = internal::DomainAddresses(state);
  if (source == leaving_source::kTarget) {
    for (const failure_domain_id& domain : RemoteDomains(state)) {
      if (auto address = RemoteDelegate(state, domain)) {
        addresses.push_back(*std::move(address));
      }
    }
  }
  internal::Send(std::move(addresses), std::move(message), out);
}

time_point NextSendTime(const membership_state& state) noexcept {
  return std::min(state.next_heartbeat, state.next_relay);
}

}  // namespace acaciaferry
