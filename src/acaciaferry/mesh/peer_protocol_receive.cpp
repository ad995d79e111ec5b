#include <algorithm>
#include <utility>

#include "acaciaferry/mesh/peer_protocol.hpp"

namespace acaciaferry::mesh {
namespace internal {

// Marks of missing documents differ between VMs for a short while.
constexpr duration kMaxDifference = std::chrono::milliseconds(4'000);
// A VM that has just started compares its view with those of others for this
// long: these may know what the service has lost with an older copy.
constexpr duration kCompareTime = std::chrono::milliseconds(3'000);
constexpr std::uint32_t kMaxViewsCompared = 3;

}  // namespace internal

void peer_protocol::OnDatagram(std::string_view bytes,
                               const std::string& sender) {
  const auto message = Decode(bytes, clock_.Now());
  if (!message) {
    handlers_.on_malformed();
    return;
  }
  std::visit([&](const auto& each) { Handle(each, sender); }, *message);
}

bool peer_protocol::IsFromOwnMember(const std::string& sender,
                                    time_point now) const {
  if (!roster_.IsLarge() || !roster_.IsFirstHub(now)) {
    return false;
  }
  const member* from = roster_.FindByAddress(sender);
  const auto hubs = roster_.OwnHubs(now);
  return from != nullptr &&
         from->last_heartbeat.failure_domain == self_.failure_domain &&
         std::none_of(hubs.begin(), hubs.end(), [&](const peer_summary& each) {
           return each.datagram_address == sender;
         });
}

void peer_protocol::PassOn(const message& message, const std::string& sender) {
  const time_point now = clock_.Now();
  const bool is_own_member = IsFromOwnMember(sender, now);
  const member* from = roster_.FindByAddress(sender);
  const bool is_other_domain =
      from != nullptr &&
      from->last_heartbeat.failure_domain != self_.failure_domain &&
      roster_.IsLarge() && roster_.IsFirstHub(now);
  if (!is_own_member && !is_other_domain) {
    return;
  }
  std::vector<std::string> recipients = roster_.DomainMembers(now);
  if (is_own_member) {
    const auto others = roster_.OtherHubs(now);
    recipients.insert(recipients.end(), others.begin(), others.end());
  }
  std::erase(recipients, sender);
  Send(Encode(message, now), recipients);
}

void peer_protocol::CompareDigests(const heartbeat& heartbeat, time_point now) {
  const local_status status = handlers_.status();
  // VMs of an older release lack documents, or keep some that were removed.
  const bool comparable = roster_.IsLarge() && !roster_.IsHub(now) &&
                          heartbeat.view_digest != 0 &&
                          heartbeat.reads_evacuations &&
                          heartbeat.failure_domain == self_.failure_domain &&
                          PositionOf(heartbeat) == status.view;
  if (!comparable) {
    return;
  }
  if (heartbeat.view_digest == status.view_digest) {
    differs_since_.reset();
    return;
  }
  differs_since_ = differs_since_.value_or(now);
  if (now - *differs_since_ > internal::kMaxDifference) {
    differs_since_.reset();
    handlers_.on_newer_view({heartbeat.view_address, true, true, true});
  }
}

void peer_protocol::CompleteView(const heartbeat& heartbeat, time_point now) {
  const local_status status = handlers_.status();
  const view_position other = PositionOf(heartbeat);
  if (!heartbeat.reads_evacuations || status.view.last_change_revision == 0 ||
      IsNewer(other, status.view)) {
    return;
  }
  if (!status.reads_evacuations) {
    if (other.era == status.view.era && !IsNewer(status.view, other)) {
      handlers_.on_newer_view({heartbeat.view_address, true, true, true});
    }
    return;
  }
  const bool has_just_started =
      !started_at_ || now - *started_at_ < internal::kCompareTime;
  if (has_just_started && status.view.era > 0 &&
      heartbeat.view_digest != status.view_digest &&
      views_compared_ < internal::kMaxViewsCompared &&
      handlers_.on_newer_view({heartbeat.view_address, false, false, true})) {
    ++views_compared_;
  }
}

void peer_protocol::Handle(const heartbeat& heartbeat,
                           const std::string& /*sender*/) {
  const time_point now = clock_.Now();
  const auto change = roster_.OnHeartbeat(heartbeat, now);
  if (change.is_new) {
    handlers_.log("peer_found", {{"peer", heartbeat.vm.value}});
  }
  if (change.is_new || change.replaced_incarnation) {
    SendPartCrashes({heartbeat.datagram_address});
    SendSuspects(heartbeat.datagram_address);
    SendLimits({heartbeat.datagram_address});
    SendLeavingTargets(heartbeat.datagram_address);
    UpdatePlanners(now);
  }
  if (change.replaced_incarnation) {
    handlers_.log("peer_replaced", {{"peer", heartbeat.vm.value}});
    TellEndOf(*change.replaced_incarnation, now);
    handlers_.post(forwarding::peer_lost{*change.replaced_incarnation});
  }
  std::vector<std::string> to_greet = change.addresses_to_greet;
  const bool needs_tunnels =
      change.has_lost_targets && roster_.IsLarge() && roster_.IsHub(now);
  if ((heartbeat.asks_for_hubs || needs_tunnels) && !change.is_new) {
    to_greet.push_back(heartbeat.datagram_address);
  }
  if (!to_greet.empty()) {
    SendHeartbeats(to_greet, false);
  }
  const view_position own = handlers_.status().view;
  const view_position other = PositionOf(heartbeat);
  // A VM that has just started has no view to go on with meanwhile.
  if (own.last_change_revision == 0 && IsNewer(other, own)) {
    FetchNewerView();
  }
  // A VM that is behind by an era has not seen what was published since.
  if (other.era == own.era && !IsNewer(other, own)) {
    view_confirmed_at_ = now;
  }
  CompareDigests(heartbeat, now);
  CompleteView(heartbeat, now);
  if (state_.reach.IsAnyOutOfReach()) {
    ReportTunnels(now);
  }
}

void peer_protocol::Handle(const load_update& update,
                           const std::string& sender) {
  const time_point now = clock_.Now();
  last_load_received_at_ = now;
  handlers_.post(forwarding::peer_load_update{update.jobs, update.ended,
                                              update.distrusted, update.leaving,
                                              update.active});
  TellMembersWhoLeaves(update.leaving);
  if (IsFromOwnMember(sender, now)) {
    load_update news = update;
    news.active.clear();
    SendLoad(news);
  }
}

void peer_protocol::Handle(const live_dispatches& live,
                           const std::string& /*sender*/) {
  if (!roster_.IsLive(live.datagram_address)) {
    handlers_.on_unknown_sender();
    return;
  }
  handlers_.post(
      forwarding::peer_live_dispatches{live.incarnation, live.dispatches});
  const auto unknown_dispatches = state_.ledger.FindUnknown(live.dispatches);
  if (!unknown_dispatches.empty()) {
    SendTo(live.datagram_address,
           dispatch_request{self_.datagram_address, unknown_dispatches});
  }
}

void peer_protocol::Handle(const dispatch_request& wanted,
                           const std::string& /*sender*/) {
  // The address in a datagram may be forged, so only live VMs get a reply.
  if (!roster_.IsLive(wanted.datagram_address)) {
    handlers_.on_unknown_sender();
    return;
  }
  SendTo(
      wanted.datagram_address,
      load_update{
          state_.ledger.JobsOf(wanted.dispatches, clock_.Now()), {}, {}, {}});
}

void peer_protocol::Handle(const suspect_reports_received& suspects,
                           const std::string& /*sender*/) const {
  handlers_.post(suspects);
}

void peer_protocol::Handle(const part_crashes_received& crashes,
                           const std::string& sender) {
  handlers_.post(crashes);
  PassOn(crashes, sender);
}

void peer_protocol::Handle(const begun_parts_received& begun,
                           const std::string& sender) {
  handlers_.post(begun);
  PassOn(begun, sender);
}

void peer_protocol::Handle(const forwarding::limit_reports_received& limits,
                           const std::string& /*sender*/) const {
  handlers_.post(limits);
}

void peer_protocol::Handle(const forwarding::placement_query& query,
                           const std::string& sender) {
  if (!roster_.IsLive(sender)) {
    handlers_.on_unknown_sender();
    return;
  }
  handlers_.post(forwarding::placement_asked{sender, query});
}

void peer_protocol::Handle(const forwarding::target_query& query,
                           const std::string& sender) {
  if (!roster_.IsLive(sender)) {
    handlers_.on_unknown_sender();
    return;
  }
  handlers_.post(forwarding::target_asked{sender, query});
}

void peer_protocol::Handle(const forwarding::target_report& report,
                           const std::string& sender) {
  if (!roster_.IsLive(sender)) {
    handlers_.on_unknown_sender();
    return;
  }
  handlers_.post(forwarding::target_reported{report});
}

void peer_protocol::Handle(const forwarding::placement_answer& answer,
                           const std::string& sender) {
  if (!roster_.IsLive(sender)) {
    handlers_.on_unknown_sender();
    return;
  }
  handlers_.post(forwarding::placement_answered{answer});
}

}  // namespace acaciaferry::mesh
