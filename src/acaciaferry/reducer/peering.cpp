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

advertised_state MakeAdvertisedState(const state& state) noexcept {
  return {state.targets, state.configuration.revision};
}

// Evidence that changed within this time is sent with every heartbeat, so that
// a lost message only delays it.
constexpr duration kRecentEvidenceAge = std::chrono::seconds(5);
// Older evidence is sent in rotation, for VMs that started or were cut off
// after it changed. A report takes about 60 bytes, so two per heartbeat
// cost 3.5 KB/s at 30 VMs in a failure domain, and nothing once the evidence
// has expired.
constexpr std::size_t kOlderSuspectsPerHeartbeat = 2;

bool IsFromOwnDomain(const state& state, const vm_id& vm) {
  const auto found = state.membership.peers.find(vm);
  return vm == state.self.vm ||
         (found != state.membership.peers.end() &&
          found->second.failure_domain == state.membership.failure_domain);
}

// A VM sends its own evidence to its failure domain, and the evidence of its
// whole failure domain to remote ones.
void UpdateAnnouncedSuspects(state& state, time_point now) {
  membership_state& membership = state.membership;
  membership.suspects.clear();
  membership.domain_suspects.clear();
  membership.older_suspects.clear();
  if (state.quarantine.suspects.empty()) {
    return;
  }
  std::vector<suspect_report> older;
  for (suspect_report& each : LatestSuspectReports(
           state.quarantine, std::numeric_limits<std::size_t>::max(), now)) {
    if (each.age >= kRecentEvidenceAge) {
      older.push_back(std::move(each));
      continue;
    }
    const std::size_t limit = kMaxSuspects - kOlderSuspectsPerHeartbeat;
    if (each.source.first == membership.self &&
        membership.suspects.size() < limit) {
      membership.suspects.push_back(each);
    }
    if (IsFromOwnDomain(state, each.source.first) &&
        membership.domain_suspects.size() < limit) {
      membership.domain_suspects.push_back(std::move(each));
    }
  }
  for (std::size_t i = 0;
       i < std::min(kOlderSuspectsPerHeartbeat, older.size()); ++i) {
    membership.older_suspects.push_back(
        older[(membership.heartbeat_count * kOlderSuspectsPerHeartbeat + i) %
              older.size()]);
  }
  membership.suspects.insert(membership.suspects.end(),
                             membership.older_suspects.begin(),
                             membership.older_suspects.end());
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

void AnnounceLeavingTargets(state& state, leaving_source source, effects& out) {
  std::vector<send_to_peers> messages;
  AnnounceLeaving(state.membership, MakeAdvertisedState(state), source,
                  messages);
  Append(messages, out);
}

void SendAnnouncement(state& state, effects& out) {
  std::vector<send_to_peers> messages;
  SendHeartbeatNow(state.membership, MakeAdvertisedState(state), messages);
  Append(messages, out);
}

// Peers receive the changes of the list by RelayVmListChanges, so leaving
// targets are not announced separately.
void ApplyChangedVmList(state& state,
                        std::span<const vm_record> vms,
                        effects& out) {
  OnVmList(state, vms);
  ApplyPeerList(state.membership, vms);
  AnnounceLeavingTargets(state, leaving_source::kLocalDomain, out);
}

void ApplyRelayedReports(state& state,
                         const std::vector<relayed_report>& reports,
                         time_point now,
                         effects& out) {
  for (const relayed_report& each : reports) {
    OnLoadReport(state, each.report, now - each.age, out);
  }
}

void ApplyConfigurationMessage(state& state,
                               const peer_message& message,
                               const peer_update& update,
                               time_point now,
                               effects& out) {
  configuration_effects requested;
  configuration_state& known = state.configuration;
  if (const auto* const request =
          std::get_if<configuration_request>(&message.body)) {
    OnConfigurationRequest(known, *request, update.address, now, requested);
  } else if (const auto* const part =
                 std::get_if<configuration_part>(&message.body)) {
    OnConfigurationPart(known, message.vm, *part, requested);
  } else {
    OnPeerRevision(known, update.revision, update.address, now, requested);
  }
  Append(requested, out);
}

void ActivateConfiguration(state& state,
                           std::shared_ptr<const deployment> config,
                           time_point now,
                           effects& out) {
  state.config = *config;
  ConfigureWorkspaces(state.workspaces, *config, now);
  out.push_back(apply_configuration{std::move(config)});
  SendAnnouncement(state, out);
}

// Limits are lent only within a failure domain, whose VMs exchange messages
// directly.
void UpdateDemandAndSendLoans(state& state, time_point now, effects& out) {
  membership_state& membership = state.membership;
  membership.demand.clear();
  membership.demand_measured_at =
      static_cast<std::uint64_t>(now.time_since_epoch().count());
  for (const auto& [workspace, tokens] : MeasureDemand(state.workspaces, now)) {
    membership.demand.push_back({workspace, tokens});
  }
  for (peer_loans& each : GrantLoans(state.workspaces, now)) {
    const auto borrower = membership.peers.find(each.vm);
    if (borrower == membership.peers.end() ||
        borrower->second.address.empty()) {
      continue;
    }
    share_loans body{each.incarnation, each.demand_measured_at, {}};
    for (const auto& [workspace, tokens] : each.loans) {
      body.loans.push_back({workspace, tokens});
    }
    out.push_back(send_to_peers{{borrower->second.address}, std::move(body)});
  }
}

void UpdateAnnouncedClosedSets(state& state, time_point now) {
  membership_state& membership = state.membership;
  membership.closed_sets.clear();
  for (const key_set_id& each : CompleteClosedSets(state.operations, now)) {
    membership.closed_sets.push_back(
        {membership.self, each.first, each.second});
  }
  membership.domain_closed_sets = membership.closed_sets;
  for (const closed_set_holder& each :
       RecentClosedSetHolders(state.operations, now)) {
    if (IsFromOwnDomain(state, each.holder)) {
      membership.domain_closed_sets.push_back(each);
    }
  }
}

// The peers of this failure domain that receive the closed keys. The hash makes
// VMs that exit at the same time choose different peers.
std::map<vm_id, std::string> ChooseHandoverReceivers(const state& state) {
  std::vector<std::pair<std::uint64_t, const peer*>> candidates;
  for (const auto& [vm, known] : state.membership.peers) {
    if (known.failure_domain == state.membership.failure_domain &&
        known.phase == peer_phase::kAlive && !known.leaving &&
        !known.address.empty()) {
      candidates.emplace_back(
          CallFingerprint(state.self.incarnation, "", vm.value), &known);
    }
  }
  std::sort(candidates.begin(), candidates.end());
  std::map<vm_id, std::string> receivers;
  for (std::size_t i = 0; i < std::min<std::size_t>(2, candidates.size());
       ++i) {
    receivers.emplace(candidates[i].second->vm, candidates[i].second->address);
  }
  return receivers;
}

std::vector<peering_event> MakePeeringEvents(const peer_message& message,
                                             peer_update& update) {
  const vm_id& vm = message.vm;
  std::vector<peering_event> events;
  for (peer_discovered& each : update.discovered_peers) {
    events.emplace_back(std::move(each));
  }
  if (!update.suspects.empty()) {
    events.emplace_back(suspect_reports_received{std::move(update.suspects)});
  }
  if (!update.demand.empty()) {
    events.emplace_back(peer_demand_received{vm, message.incarnation,
                                             update.demand_measured_at,
                                             std::move(update.demand)});
  }
  if (!update.closed_sets.empty()) {
    events.emplace_back(
        closed_set_holders_received{std::move(update.closed_sets)});
  }
  if (const auto* const part = std::get_if<closed_keys_part>(&message.body)) {
    events.emplace_back(closed_keys_received{vm, message.incarnation, *part});
  }
  if (const auto* const acknowledgement =
          std::get_if<closed_keys_acknowledgement>(&message.body)) {
    events.emplace_back(
        closed_keys_acknowledged{vm, acknowledgement->incarnation});
  }
  if (update.loans) {
    events.emplace_back(share_loans_received{vm, *std::move(update.loans)});
  }
  return events;
}

}  // namespace internal

void UpdatePeerLiveness(state& state, time_point now) {
  if (UpdatePeerPhases(state.membership, now)) {
    MarkStale(state.targets);
  }
}

void OnVmListReceived(state& state,
                      const vm_list_received& event,
                      effects& out) {
  const std::vector<vm_record> changes =
      ReplaceVmList(state.vm_list, event.vms);
  std::vector<send_to_peers> relays;
  RelayVmListChanges(state.membership, changes, relays);
  internal::Append(relays, out);
  internal::ApplyChangedVmList(state, event.vms, out);
}

void AnnounceCrashEvidence(state& state, time_point now) {
  ExpediteHeartbeat(state.membership, now);
}

void RelayCrashEvidence(state& state, time_point now) {
  const membership_state& known = state.membership;
  const auto domains = RemoteDomains(known);
  if (std::any_of(domains.begin(), domains.end(), [&known](const auto& domain) {
        return IsResponsible(known, role::kDelegate,
                             {known.failure_domain, domain.value});
      })) {
    ExpediteHeartbeat(state.membership, now);
  }
}

void OnLoadReportApplied(state& state,
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
    internal::AnnounceLeavingTargets(state, leaving_source::kTarget, out);
  }
}

std::vector<peering_event> OnPeerMessageReceived(
    state& state,
    const peer_message_received& event,
    time_point now,
    effects& out) {
  std::vector<send_to_peers> relays;
  peer_update update =
      OnPeerMessage(state.membership, event.message, now, relays);
  out.push_back(count_peer_message{update.verdict});
  if (update.verdict != peer_verdict::kAccepted) {
    return {};
  }
  internal::Append(relays, out);
  if (MergeVmListChanges(state.vm_list, update.vm_list_changes)) {
    internal::ApplyChangedVmList(state, VmRecords(state.vm_list), out);
  }
  internal::ApplyRelayedReports(state, update.reports, now, out);
  bool is_new = false;
  for (const leaving_target& each : update.leaving_targets) {
    is_new |= OnTargetLeaving(state, each);
  }
  if (is_new) {
    internal::AnnounceLeavingTargets(state,
                                     update.is_remote
                                         ? leaving_source::kRemoteDomain
                                         : leaving_source::kLocalDomain,
                                     out);
  }
  internal::ApplyConfigurationMessage(state, event.message, update, now, out);
  return internal::MakePeeringEvents(event.message, update);
}

void OnDeploymentReceived(state& state,
                          const deployment_received& event,
                          time_point now,
                          effects& out) {
  // A file has no revision of the configuration service, and its text is not
  // sent to peers.
  const bool is_newer =
      !state.config || event.config.revision > state.configuration.revision;
  if (is_newer) {
    state.configuration.revision = event.config.revision;
    internal::ActivateConfiguration(
        state, std::make_shared<const deployment>(event.config), now, out);
  }
}

void OnConfigurationEvent(state& state,
                          const configuration_read& event,
                          time_point /*now*/,
                          effects& out) {
  configuration_effects requested;
  OnConfigurationRead(state.configuration, event, requested);
  internal::Append(requested, out);
}

void OnConfigurationEvent(state& state,
                          const configuration_checked& event,
                          time_point now,
                          effects& out) {
  configuration_effects requested;
  auto config = OnConfigurationChecked(state.configuration, event, requested);
  internal::Append(requested, out);
  if (config) {
    internal::ActivateConfiguration(state, std::move(config), now, out);
  }
}

void AnnounceOwnLeaving(state& state, effects& out) {
  state.membership.leaving = true;
  internal::SendAnnouncement(state, out);
}

void SendDueMessages(state& state, time_point now, effects& out) {
  if (now >= state.membership.next_heartbeat) {
    internal::UpdateAnnouncedSuspects(state, now);
    internal::UpdateDemandAndSendLoans(state, now, out);
    internal::UpdateAnnouncedClosedSets(state, now);
  }
  std::vector<send_to_peers> messages;
  SendScheduledMessages(state.membership, internal::MakeAdvertisedState(state),
                        now, messages);
  internal::Append(messages, out);
}

bool AdvanceKeyHandover(state& state, time_point now, effects& out) {
  operations_state& operations = state.operations;
  if (!operations.handover) {
    operations.handover = BuildKeyHandover(operations, now);
    operations.handover->receivers = internal::ChooseHandoverReceivers(state);
  }
  key_handover& handover = *operations.handover;
  if (handover.parts.empty() || handover.receivers.empty() ||
      now >= handover.deadline) {
    return true;
  }
  if (now >= handover.next_send) {
    handover.next_send = now + kHandoverResendInterval;
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
