#include "acaciaferry/reducer/peering.hpp"

#include <algorithm>
#include <limits>
#include <map>
#include <string>
#include <utility>

#include "acaciaferry/configuration/state.hpp"
#include "acaciaferry/membership/exchange.hpp"
#include "acaciaferry/membership/roles.hpp"
#include "acaciaferry/reducer/target_knowledge.hpp"

namespace acaciaferry {
namespace internal {

advertised_state ViewOf(const state& state) noexcept {
  return {state.targets, state.configuration.revision};
}

// Changes are repeated for this long, so that lost messages delay them only.
constexpr duration kRecentEvidence = std::chrono::seconds(5);
// Older evidence takes turns, for VMs that were started or cut off later. Each
// report has about 60 bytes, so these two cost 3.5 KB/s at 30 VMs in a failure
// domain, and nothing once the quarantine is over.
constexpr std::size_t kOlderSuspects = 2;

bool IsFromOwnDomain(const state& state, const vm_id& vm) {
  const auto found = state.membership.peers.find(vm);
  return vm == state.self.vm ||
         (found != state.membership.peers.end() &&
          found->second.failure_domain == state.membership.failure_domain);
}

// A VM tells its failure domain of its own crashes, and remote failure domains
// of those of its failure domain.
void ListSuspects(state& state, time_point now) {
  membership_state& told = state.membership;
  told.suspects.clear();
  told.domain_suspects.clear();
  told.older_suspects.clear();
  if (state.quarantine.suspects.empty()) {
    return;
  }
  std::vector<suspect_report> older;
  for (suspect_report& each : LatestSuspectReports(
           state.quarantine, std::numeric_limits<std::size_t>::max(), now)) {
    if (each.age >= kRecentEvidence) {
      older.push_back(std::move(each));
      continue;
    }
    const std::size_t limit = kMaxSuspects - kOlderSuspects;
    if (each.source.first == told.self && told.suspects.size() < limit) {
      told.suspects.push_back(each);
    }
    if (IsFromOwnDomain(state, each.source.first) &&
        told.domain_suspects.size() < limit) {
      told.domain_suspects.push_back(std::move(each));
    }
  }
  for (std::size_t i = 0; i < std::min(kOlderSuspects, older.size()); ++i) {
    told.older_suspects.push_back(
        older[(told.heartbeat_count * kOlderSuspects + i) % older.size()]);
  }
  told.suspects.insert(told.suspects.end(), told.older_suspects.begin(),
                       told.older_suspects.end());
}

template <typename Effect>
void Append(std::vector<Effect>& from, effects& out) {
  for (Effect& each : from) {
    out.emplace_back(std::move(each));
  }
}

void Append(configuration_effects& from, effects& out) {
  Append(from.messages, out);
  Append(from.checks, out);
  Append(from.verdicts, out);
}

void TellLeaving(state& state, leaving_source source, effects& out) {
  std::vector<send_to_peers> messages;
  AnnounceLeaving(state.membership, ViewOf(state), source, messages);
  Append(messages, out);
}

void TellPeers(state& state, effects& out) {
  std::vector<send_to_peers> messages;
  SendHeartbeatNow(state.membership, ViewOf(state), messages);
  Append(messages, out);
}

// The list's news were relayed as changes, so they need no other message.
void UseList(state& state, std::span<const vm_record> vms, effects& out) {
  OnVmList(state, vms);
  ApplyPeerList(state.membership, vms);
  TellLeaving(state, leaving_source::kLocalDomain, out);
}

void ApplyReports(state& state,
                  const std::vector<relayed_report>& reports,
                  time_point now,
                  effects& out) {
  for (const relayed_report& each : reports) {
    OnLoadReport(state, each.report, now - each.age, out);
  }
}

void ApplyConfigurationNews(state& state,
                            const peer_message& message,
                            const peer_update& news,
                            time_point now,
                            effects& out) {
  configuration_effects wanted;
  configuration_state& known = state.configuration;
  if (const auto* const request =
          std::get_if<configuration_request>(&message.body)) {
    OnConfigurationRequest(known, *request, news.address, now, wanted);
  } else if (const auto* const part =
                 std::get_if<configuration_part>(&message.body)) {
    OnConfigurationPart(known, message.vm, *part, wanted);
  } else {
    OnPeerRevision(known, news.revision, news.address, now, wanted);
  }
  Append(wanted, out);
}

void PutInForce(state& state,
                std::shared_ptr<const deployment> config,
                time_point now,
                effects& out) {
  state.config = *config;
  ConfigureWorkspaces(state.workspaces, *config, now);
  out.push_back(apply_configuration{std::move(config)});
  TellPeers(state, out);
}

// Limits are only lent inside a failure domain, whose VMs hear one another
// directly.
void ListDemand(state& state, time_point now, effects& out) {
  membership_state& told = state.membership;
  told.demand.clear();
  told.demand_measured_at =
      static_cast<std::uint64_t>(now.time_since_epoch().count());
  for (const auto& [workspace, tokens] : MeasureDemand(state.workspaces, now)) {
    told.demand.push_back({workspace, tokens});
  }
  for (peer_loans& each : GrantLoans(state.workspaces, now)) {
    const auto borrower = told.peers.find(each.vm);
    if (borrower == told.peers.end() || borrower->second.address.empty()) {
      continue;
    }
    share_loans body{each.incarnation, each.demand_measured_at, {}};
    for (const auto& [workspace, tokens] : each.loans) {
      body.loans.push_back({workspace, tokens});
    }
    out.push_back(send_to_peers{{borrower->second.address}, std::move(body)});
  }
}

void ListClosedSets(state& state, time_point now) {
  membership_state& told = state.membership;
  told.closed_sets.clear();
  for (const key_set& each : CompleteSets(state.operations, now)) {
    told.closed_sets.push_back({told.self, each.first, each.second});
  }
  told.domain_closed_sets = told.closed_sets;
  for (const closed_set_holder& each : KnownHolders(state.operations, now)) {
    if (IsFromOwnDomain(state, each.holder)) {
      told.domain_closed_sets.push_back(each);
    }
  }
}

// The peers of this failure domain that take the closed keys; several VMs that
// exit at the same time choose different ones.
std::map<vm_id, std::string> HandOverReceivers(const state& state) {
  std::vector<std::pair<std::uint64_t, const peer*>> present;
  for (const auto& [vm, known] : state.membership.peers) {
    if (known.failure_domain == state.membership.failure_domain &&
        known.phase == peer_phase::kAlive && !known.leaving &&
        !known.address.empty()) {
      present.emplace_back(
          CallFingerprint(state.self.incarnation, "", vm.value), &known);
    }
  }
  std::sort(present.begin(), present.end());
  std::map<vm_id, std::string> receivers;
  for (std::size_t i = 0; i < std::min<std::size_t>(2, present.size()); ++i) {
    receivers.emplace(present[i].second->vm, present[i].second->address);
  }
  return receivers;
}

std::vector<peering_event> EventsOf(const peer_message& message,
                                    peer_update& news) {
  const vm_id& vm = message.vm;
  std::vector<peering_event> events;
  for (peer_discovered& each : news.discovered_peers) {
    events.emplace_back(std::move(each));
  }
  if (!news.suspects.empty()) {
    events.emplace_back(suspect_reports_received{std::move(news.suspects)});
  }
  if (!news.demand.empty()) {
    events.emplace_back(peer_demand_received{vm, message.incarnation,
                                             news.demand_measured_at,
                                             std::move(news.demand)});
  }
  if (!news.closed_sets.empty()) {
    events.emplace_back(
        closed_set_holders_received{std::move(news.closed_sets)});
  }
  if (const auto* const part = std::get_if<closed_keys_part>(&message.body)) {
    events.emplace_back(closed_keys_received{vm, message.incarnation, *part});
  }
  if (const auto* const receipt =
          std::get_if<closed_keys_acknowledgement>(&message.body)) {
    events.emplace_back(closed_keys_acknowledged{vm, receipt->incarnation});
  }
  if (news.loans) {
    events.emplace_back(share_loans_received{vm, *std::move(news.loans)});
  }
  return events;
}

}  // namespace internal

void BeginTurn(state& state, time_point now) {
  if (UpdatePeerPhases(state.membership, now)) {
    MarkStale(state.targets);
  }
}

void OnPeerList(state& state, const vm_list_received& event, effects& out) {
  const std::vector<vm_record> changes =
      ReplaceVmList(state.vm_list, event.vms);
  std::vector<send_to_peers> relays;
  RelayVmListChanges(state.membership, changes, relays);
  internal::Append(relays, out);
  internal::UseList(state, event.vms, out);
}

void TellOwnCrashes(state& state, time_point now) {
  ExpediteHeartbeat(state.membership, now);
}

void RelayCrashes(state& state, time_point now) {
  const membership_state& known = state.membership;
  const auto domains = RemoteDomains(known);
  if (std::any_of(domains.begin(), domains.end(), [&known](const auto& domain) {
        return IsResponsible(known, role::kDelegate,
                             {known.failure_domain, domain.value});
      })) {
    ExpediteHeartbeat(state.membership, now);
  }
}

void OnReportApplied(state& state,
                     const load_report& report,
                     report_verdict verdict,
                     time_point now,
                     effects& out) {
  if (verdict != report_verdict::kAccepted) {
    return;
  }
  const target& reported = *FindTarget(state.targets, report.target);
  if (IsResponsible(state.membership, role::kPoll,
                    {reported.failure_domain, reported.id.value})) {
    QueueReportForRelay(state.membership, report, now);
  }
  if (reported.leaving) {
    internal::TellLeaving(state, leaving_source::kTarget, out);
  }
}

std::vector<peering_event> OnPeerMessageReceived(
    state& state,
    const peer_message_received& event,
    time_point now,
    effects& out) {
  std::vector<send_to_peers> relays;
  peer_update news =
      OnPeerMessage(state.membership, event.message, now, relays);
  out.push_back(count_peer_message{news.verdict});
  if (news.verdict != peer_verdict::kAccepted) {
    return {};
  }
  internal::Append(relays, out);
  if (MergeVmListChanges(state.vm_list, news.vm_list_changes)) {
    internal::UseList(state, VmRecords(state.vm_list), out);
  }
  internal::ApplyReports(state, news.reports, now, out);
  bool is_news = false;
  for (const leaving_target& each : news.leaving_targets) {
    is_news |= OnTargetLeaving(state, each);
  }
  if (is_news) {
    internal::TellLeaving(state,
                          news.is_remote ? leaving_source::kRemoteDomain
                                         : leaving_source::kLocalDomain,
                          out);
  }
  internal::ApplyConfigurationNews(state, event.message, news, now, out);
  return internal::EventsOf(event.message, news);
}

void OnDeploymentReceived(state& state,
                          const deployment_received& event,
                          time_point now,
                          effects& out) {
  // A file has no revision of the service; peers do not get its text.
  const bool is_newer =
      !state.config || event.config.revision > state.configuration.revision;
  if (is_newer) {
    state.configuration.revision = event.config.revision;
    internal::PutInForce(
        state, std::make_shared<const deployment>(event.config), now, out);
  }
}

void OnConfigurationEvent(state& state,
                          const configuration_read& event,
                          time_point /*now*/,
                          effects& out) {
  configuration_effects wanted;
  OnConfigurationRead(state.configuration, event, wanted);
  internal::Append(wanted, out);
}

void OnConfigurationEvent(state& state,
                          const configuration_checked& event,
                          time_point now,
                          effects& out) {
  configuration_effects wanted;
  auto config = OnConfigurationChecked(state.configuration, event, wanted);
  internal::Append(wanted, out);
  if (config) {
    internal::PutInForce(state, std::move(config), now, out);
  }
}

void AnnounceOwnLeaving(state& state, effects& out) {
  state.membership.leaving = true;
  internal::TellPeers(state, out);
}

void SendDueMessages(state& state, time_point now, effects& out) {
  if (now >= state.membership.next_heartbeat) {
    internal::ListSuspects(state, now);
    internal::ListDemand(state, now, out);
    internal::ListClosedSets(state, now);
  }
  std::vector<send_to_peers> messages;
  SendScheduledMessages(state.membership, internal::ViewOf(state), now,
                        messages);
  internal::Append(messages, out);
}

bool HandOverKeys(state& state, time_point now, effects& out) {
  operations_state& operations = state.operations;
  if (!operations.leaving) {
    operations.leaving = CloseKeys(operations, now);
    operations.leaving->receivers = internal::HandOverReceivers(state);
  }
  key_handover& handover = *operations.leaving;
  if (handover.parts.empty() || handover.receivers.empty() ||
      now >= handover.deadline) {
    return true;
  }
  if (now >= handover.next_send) {
    handover.next_send = now + kHandoverRepeat;
    std::vector<std::string> addresses;
    for (const auto& [vm, address] : handover.receivers) {
      addresses.push_back(address);
    }
    for (const closed_keys_part& each : handover.parts) {
      out.push_back(send_to_peers{addresses, each});
    }
  }
  return false;
}

std::optional<time_point> NextPeerMessage(const state& state) {
  if (state.membership.peers.empty()) {
    return std::nullopt;
  }
  return NextSendTime(state.membership);
}

}  // namespace acaciaferry
