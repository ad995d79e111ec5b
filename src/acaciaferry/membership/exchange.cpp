#include "acaciaferry/membership/exchange.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>
#include <utility>

#include "acaciaferry/membership/roles.hpp"

namespace acaciaferry {
namespace internal {

// Fields that seldom change are sent in the first heartbeats of a process and
// in every fifth one after that.
constexpr std::uint64_t kFullHeartbeatEvery = 5;
constexpr std::uint64_t kFirstFullHeartbeats = 3;
// Spreads relayed reports so that a VM receives at most 50 a second from its
// own failure domain.
constexpr duration kRelayTimePerTarget = std::chrono::milliseconds(20);
constexpr duration kShortestRelayInterval = std::chrono::milliseconds(500);
constexpr duration kLongestRelayInterval = std::chrono::seconds(3);
// Up to this size a summary names every target of the failure domain.
constexpr std::size_t kFewTargets = 64;
constexpr std::size_t kBestPerPool = 4;
// Encoded sizes with names of usual length.
constexpr std::size_t kMemberBytes = 45;
constexpr std::size_t kReportBytes = 85;
constexpr double kSummaryBytesPerSecond = 2'000;
constexpr duration kShortestSummaryInterval = std::chrono::seconds(1);
constexpr duration kLongestSummaryInterval = std::chrono::seconds(15);

template <typename Item>
std::vector<Item> Bounded(const std::vector<Item>& items, std::size_t limit) {
  return {items.begin(), items.begin() + static_cast<std::ptrdiff_t>(
                                             std::min(items.size(), limit))};
}

std::vector<std::string> DomainAddresses(const membership_state& state) {
  std::vector<std::string> addresses;
  for (const auto& [vm, known] : state.peers) {
    // Dead peers are tried as well, so that both sides of a partition find
    // each other again.
    if (known.failure_domain == state.failure_domain &&
        !known.address.empty()) {
      addresses.push_back(known.address);
    }
  }
  return addresses;
}

// When more are leaving than fit, each heartbeat names the next part of them.
std::vector<leaving_target> LeavingTargets(const membership_state& state,
                                           const targets_state& targets) {
  std::vector<leaving_target> all;
  for (const target& each : targets.targets) {
    if (each.leaving && each.failure_domain == state.failure_domain) {
      all.push_back({each.id, each.incarnation});
    }
  }
  if (all.size() > kMaxLeavingTargets) {
    const auto first = state.turns * kMaxLeavingTargets % all.size();
    std::rotate(all.begin(), all.begin() + static_cast<std::ptrdiff_t>(first),
                all.end());
    all.resize(kMaxLeavingTargets);
  }
  return all;
}

heartbeat MakeHeartbeat(const membership_state& state,
                        const exchange_view& view,
                        bool full) {
  heartbeat result;
  result.leaving = state.leaving;
  result.revision = view.revision;
  result.demand = Bounded(state.demand, kMaxDemands);
  result.asked_at = result.demand.empty() ? 0 : state.asked_at;
  result.suspects = Bounded(state.suspects, kMaxSuspects);
  result.closed_sets = Bounded(state.closed_sets, kMaxClosedSets);
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

void SendReports(membership_state& state,
                 time_point now,
                 std::vector<send_to_peers>& out) {
  load_relay relay;
  for (const auto& [id, item] : state.unrelayed) {
    relay.reports.push_back({item.first, now - item.second});
    if (relay.reports.size() == kMaxRelayedReports) {
      Send(DomainAddresses(state), std::exchange(relay, {}), out);
    }
  }
  state.unrelayed.clear();
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

std::vector<const target*> SummarisedTargets(const membership_state& state,
                                             const targets_state& targets) {
  std::map<pool_id, std::vector<const target*>> pools;
  for (const target& each : targets.targets) {
    if (each.failure_domain == state.failure_domain && each.report &&
        !each.leaving) {
      pools[each.pool].push_back(&each);
    }
  }
  const bool all = targets.targets.size() <= kFewTargets;
  std::vector<const target*> chosen;
  for (auto& [id, members] : pools) {
    std::sort(members.begin(), members.end(), IsBetterTarget);
    const std::size_t count =
        all ? members.size() : std::min(members.size(), kBestPerPool);
    chosen.insert(chosen.end(), members.begin(),
                  members.begin() + static_cast<std::ptrdiff_t>(count));
  }
  return Bounded(chosen, kMaxRelayedReports);
}

std::vector<member_summary> Members(const membership_state& state,
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
  return Bounded(members, kMaxSummaryMembers);
}

domain_summary MakeSummary(const membership_state& state,
                           const exchange_view& view,
                           time_point now,
                           bool full) {
  domain_summary result;
  result.failure_domain = state.failure_domain;
  result.revision = view.revision;
  result.leaving_targets = LeavingTargets(state, view.targets);
  result.suspects = state.domain_suspects;
  result.members = Members(state, now, full);
  if (full) {
    result.closed_sets = Bounded(state.domain_closed_sets, kMaxClosedSets);
    result.suspects.insert(result.suspects.end(), state.older_suspects.begin(),
                           state.older_suspects.end());
    for (const target* const each : SummarisedTargets(state, view.targets)) {
      result.reports.push_back({*each->report, now - each->reported_at});
    }
  }
  result.suspects = Bounded(result.suspects, kMaxSuspects);
  return result;
}

// A receiver gets at most kSummaryBytesPerSecond of summaries until the longest
// interval is reached.
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
  if (targets.targets.size() > kFewTargets) {
    reports = std::min(reports, pools.size() * kBestPerPool);
  }
  const std::size_t bytes =
      state.peers.size() * kMemberBytes + reports * kReportBytes;
  return std::clamp(
      FromSeconds(static_cast<double>(bytes) / kSummaryBytesPerSecond),
      kShortestSummaryInterval, kLongestSummaryInterval);
}

void SendSummaries(membership_state& state,
                   const exchange_view& view,
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

// A brief summary without news shows only that its sender is there, which the
// receiver's failure domain learns from the full ones.
bool HasContents(const domain_summary& summary) noexcept {
  return !summary.members.empty() || !summary.reports.empty() ||
         !summary.leaving_targets.empty() || !summary.suspects.empty() ||
         !summary.closed_sets.empty() || !summary.demand.empty();
}

// Passes a peer's process and callers' address on when either is new.
void Learn(peer& known, peer_news& news) {
  const bool is_news = known.learnt_incarnation != known.incarnation ||
                       known.learnt_address != known.callers_address;
  if (is_news && known.incarnation != 0 && !known.callers_address.empty()) {
    known.learnt_incarnation = known.incarnation;
    known.learnt_address = known.callers_address;
    news.learnt.push_back({known.vm, known.incarnation, known.callers_address});
  }
}

// Applies the body of a message that Hear accepted.
struct body_reader {
  membership_state& state;
  const peer_message& message;
  time_point now;
  peer_news& news;
  std::vector<send_to_peers>& out;

  void operator()(const heartbeat& body) const {
    peer& sender = state.peers.at(message.vm);
    sender.leaving = sender.leaving || body.leaving;
    if (!body.failure_domain.empty()) {
      // What the platform says of a VM's place comes before its own words.
      if (!sender.listed) {
        sender.failure_domain = body.failure_domain;
        sender.region = body.region;
        sender.address = body.address;
      }
      sender.callers_address = body.callers_address;
    }
    Learn(sender, news);
    news.revision = body.revision;
    news.leaving_targets = body.leaving_targets;
    news.suspects = body.suspects;
    news.demand = body.demand;
    news.asked_at = body.asked_at;
    news.closed_sets = body.closed_sets;
  }

  void operator()(const share_loans& body) const { news.loans = body; }

  void operator()(const load_relay& body) const { news.reports = body.reports; }

  void operator()(const domain_summary& body) const {
    if (body.failure_domain == state.failure_domain) {
      return;
    }
    for (const member_summary& member : body.members) {
      ApplySummarised(body, member);
    }
    news.reports = body.reports;
    news.leaving_targets = body.leaving_targets;
    news.suspects = body.suspects;
    news.closed_sets = body.closed_sets;
    if (!body.relayed) {
      news.revision = body.revision;
    }
    if (!body.relayed && HasContents(body)) {
      domain_summary copy = body;
      copy.relayed = true;
      // The sender omits its own incarnation, which the envelope carries.
      for (member_summary& member : copy.members) {
        if (member.vm == message.vm) {
          member.incarnation = message.incarnation;
        }
      }
      Send(DomainAddresses(state), std::move(copy), out);
    }
  }

  // The configuration module handles these; here the sender was only heard.
  void operator()(const configuration_request& /*body*/) const {}
  void operator()(const configuration_part& /*body*/) const {}
  void operator()(const unknown_body& /*body*/) const {}
  // The operations module takes these from the message.
  void operator()(const closed_keys_part& /*body*/) const {}
  void operator()(const closed_keys_receipt& /*body*/) const {}

  void operator()(const list_changes& body) const {
    news.list_changes = body.entries;
  }

  void ApplySummarised(const domain_summary& body,
                       const member_summary& member) const {
    member_summary value = member;
    if (value.vm == message.vm) {
      value.incarnation = message.incarnation;
    }
    ApplyMember(state, body.failure_domain, value, now);
    const auto found = state.peers.find(value.vm);
    if (found != state.peers.end()) {
      Learn(found->second, news);
    }
  }
};

}  // namespace internal

peer_news OnPeerMessage(membership_state& state,
                        const peer_message& message,
                        time_point now,
                        std::vector<send_to_peers>& out) {
  peer_news news;
  news.verdict = Hear(state, message, now);
  if (news.verdict != peer_verdict::kAccepted) {
    return news;
  }
  std::visit(internal::body_reader{state, message, now, news, out},
             message.body);
  const peer& sender = state.peers.at(message.vm);
  news.address = sender.address;
  news.is_remote = sender.failure_domain != state.failure_domain;
  return news;
}

void NoteReport(membership_state& state,
                const load_report& report,
                time_point now) {
  state.unrelayed.insert_or_assign(report.target, std::pair(report, now));
}

void SendDue(membership_state& state,
             const exchange_view& view,
             time_point now,
             std::vector<send_to_peers>& out) {
  if (now >= state.next_relay) {
    const auto targets = static_cast<std::int64_t>(
        std::count_if(view.targets.targets.begin(), view.targets.targets.end(),
                      [&state](const target& each) {
                        return each.failure_domain == state.failure_domain;
                      }));
    state.relay_interval = std::clamp<duration>(
        targets * internal::kRelayTimePerTarget,
        internal::kShortestRelayInterval, internal::kLongestRelayInterval);
    state.next_relay = now + state.relay_interval;
    internal::SendReports(state, now, out);
  }
  if (now >= state.next_heartbeat) {
    state.next_heartbeat = now + kHeartbeatInterval;
    ++state.turns;
    const bool full = state.turns <= internal::kFirstFullHeartbeats ||
                      state.turns % internal::kFullHeartbeatEvery == 0;
    internal::Send(internal::DomainAddresses(state),
                   internal::MakeHeartbeat(state, view, full), out);
    internal::SendSummaries(state, view, now, out);
  }
}

void SendNewsSoon(membership_state& state, time_point now) noexcept {
  const time_point earliest =
      state.next_heartbeat - kHeartbeatInterval + kShortestNewsGap;
  state.next_heartbeat =
      std::min(state.next_heartbeat, std::max(now, earliest));
}

void AnnounceNow(membership_state& state,
                 const exchange_view& view,
                 std::vector<send_to_peers>& out) {
  heartbeat news = internal::MakeHeartbeat(state, view, true);
  // The ages of the suspects were right when the last heartbeat was due.
  news.suspects.clear();
  internal::Send(internal::DomainAddresses(state), std::move(news), out);
}

void RelayListChanges(const membership_state& state,
                      std::span<const vm_record> changes,
                      std::vector<send_to_peers>& out) {
  while (!changes.empty()) {
    const auto part = changes.first(std::min(changes.size(), kMaxListChanges));
    internal::Send(internal::DomainAddresses(state),
                   list_changes{{part.begin(), part.end()}}, out);
    changes = changes.subspan(part.size());
  }
}

void AnnounceLeaving(membership_state& state,
                     const exchange_view& view,
                     leaving_source source,
                     std::vector<send_to_peers>& out) {
  heartbeat news = internal::MakeHeartbeat(state, view, true);
  news.leaving_targets.clear();
  news.suspects.clear();
  std::map<target_id, std::uint64_t> leaving;
  for (const target& each : view.targets.targets) {
    if (!each.leaving) {
      continue;
    }
    leaving.emplace(each.id, each.incarnation);
    const auto told = state.announced_leaving.find(each.id);
    const bool is_news = told == state.announced_leaving.end() ||
                         told->second != each.incarnation;
    if (is_news && news.leaving_targets.size() < kMaxLeavingTargets) {
      news.leaving_targets.push_back({each.id, each.incarnation});
    }
  }
  state.announced_leaving = std::move(leaving);
  if (news.leaving_targets.empty() || source == leaving_source::kShared) {
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
  internal::Send(std::move(addresses), std::move(news), out);
}

time_point NextSend(const membership_state& state) noexcept {
  return std::min(state.next_heartbeat, state.next_relay);
}

}  // namespace acaciaferry
