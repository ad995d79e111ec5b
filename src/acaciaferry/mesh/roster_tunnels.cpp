#include <algorithm>
#include <functional>
#include <utility>

#include "acaciaferry/mesh/roster.hpp"

namespace acaciaferry::mesh {
namespace internal {
namespace {

// A list of tunnels that is not repeated is used no longer: hubs name them with
// every second heartbeat.
constexpr duration kNamedTunnelTime = std::chrono::milliseconds(2'400);

void Append(std::vector<std::string>& list,
            const std::vector<std::string>& more) {
  for (const std::string& each : more) {
    if (std::find(list.begin(), list.end(), each) == list.end()) {
      list.push_back(each);
    }
  }
}

}  // namespace
}  // namespace internal

void roster::TakeNamedTunnels(const heartbeat& heard, time_point now) {
  if (heard.known_tunnels.empty()) {
    named_tunnels_.erase(heard.vm);
    return;
  }
  named_tunnels& named = named_tunnels_[heard.vm];
  named = {heard.known_tunnels, now};
  named.addresses.resize(std::min(named.addresses.size(), kMaxKnownTunnels));
}

bool roster::ReachesNoTargets(const std::string& datagram_address) const {
  const member* known = FindByAddress(datagram_address);
  return known != nullptr && known->last_heartbeat.plans &&
         !known->last_heartbeat.tunnels;
}

roster::tunnel_lists roster::ListTunnels(time_point now) const {
  tunnel_lists lists;
  for (const auto& [vm, each] : members_) {
    const heartbeat& last = each.last_heartbeat;
    if (last.tunnels && !last.leaving && IsFresh(each, now)) {
      (last.failure_domain == domain_ ? lists.own_domain : lists.other_domains)
          .push_back(last.datagram_address);
    }
  }
  for (const auto& [vm, each] : named_tunnels_) {
    if (each.named_at + internal::kNamedTunnelTime >= now) {
      internal::Append(lists.named, each.addresses);
    }
  }
  std::erase_if(lists.named, [this](const std::string& each) {
    return each == self_ || ReachesNoTargets(each);
  });
  return lists;
}

std::vector<std::string> roster::Tunnels(time_point now) const {
  tunnel_lists lists = ListTunnels(now);
  std::vector<std::string> tunnels = std::move(lists.own_domain);
  internal::Append(tunnels, lists.other_domains);
  internal::Append(tunnels, lists.named);
  tunnels.resize(std::min(tunnels.size(), kMaxTunnels));
  return tunnels;
}

std::vector<std::string> roster::TunnelsToName(const std::string& recipient,
                                               time_point now) const {
  tunnel_lists lists = ListTunnels(now);
  // Many VMs of a failure domain look for tunnels at the same time, and each
  // tunnel takes some of its VM's share of a core.
  const std::size_t turn = std::hash<std::string>{}(recipient) + rounds_sent_;
  const auto rotate = [turn](std::vector<std::string>& list) {
    if (!list.empty()) {
      std::rotate(
          list.begin(),
          list.begin() + static_cast<std::ptrdiff_t>(turn % list.size()),
          list.end());
    }
  };
  rotate(lists.own_domain);
  rotate(lists.other_domains);
  rotate(lists.named);
  std::vector<std::string> tunnels = std::move(lists.own_domain);
  internal::Append(tunnels, lists.other_domains);
  internal::Append(tunnels, lists.named);
  std::erase(tunnels, recipient);
  tunnels.resize(std::min(tunnels.size(), kMaxKnownTunnels));
  return tunnels;
}

}  // namespace acaciaferry::mesh
