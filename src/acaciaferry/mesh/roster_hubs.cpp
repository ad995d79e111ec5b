#include <algorithm>
#include <functional>
#include <map>
#include <unordered_set>
#include <utility>

#include "acaciaferry/mesh/roster.hpp"

namespace acaciaferry::mesh {
namespace internal {

// In a fleet of more VMs messages go through hubs.
constexpr std::uint64_t kFullMeshVms = 12;
// A hub sends to each of its members with every second heartbeat. One that was
// not heard for more than two of them is replaced.
constexpr duration kHubSilence = std::chrono::milliseconds(2'400);
constexpr std::size_t kMemberTurns = 2;
// A VM that is a hub no longer tells its members who is for this long.
constexpr duration kHandOverTime = std::chrono::milliseconds(3'000);
// VMs of the own failure domain, and of each other one, that are told to
// others: the hubs, and those that would follow them.
constexpr std::size_t kOwnFirstVms = 3;
constexpr std::size_t kOtherFirstVms = 2;
// A heartbeat with more doesn't fit into one datagram.
constexpr std::size_t kMaxFirstVms = 20;
constexpr std::size_t kMaxTold = 256;
constexpr duration kHubCacheTime = std::chrono::milliseconds(50);
// VMs that are no longer heard are looked for, a few with each heartbeat.
constexpr duration kFormerMemberTime = std::chrono::minutes(5);
constexpr std::size_t kFormerMembersAtOnce = 4;
// VMs that are contacted when no hub is heard, beside the seeds.
constexpr std::size_t kMaxContacts = 16;
constexpr std::size_t kMaxGreeted = 8;
// Intervals between two heartbeats of a hub to the seeds, so that groups of VMs
// which don't know of each other meet.
constexpr std::uint64_t kHubSeedRounds = 4;

void AddMissing(std::vector<std::string>& addresses,
                const std::string& address,
                const std::string& self) {
  if (address != self && std::find(addresses.begin(), addresses.end(),
                                   address) == addresses.end()) {
    addresses.push_back(address);
  }
}

}  // namespace internal

void roster::TakeTold(const heartbeat& heard,
                      time_point now,
                      heartbeat_result& changed) {
  if (told_.size() > internal::kMaxTold) {
    std::erase_if(told_, [now](const auto& each) {
      return each.second.told_at + internal::kHubSilence < now;
    });
  }
  const std::vector<peer_summary> own_hubs = OwnHubs(now);
  const bool has_other_hub = std::any_of(
      own_hubs.begin(), own_hubs.end(), [this](const peer_summary& each) {
        return each.datagram_address != self_;
      });
  for (const peer_summary& each : heard.first_vms) {
    if (each.datagram_address == self_ || each.capacity == 0) {
      continue;
    }
    const bool added =
        told_.insert_or_assign(each.datagram_address, told_vm{each, now})
            .second;
    if (added) {
      hubs_.computed_at.reset();
    }
    if (added && !has_other_hub && IsLarge() &&
        !IsLive(each.datagram_address) &&
        changed.addresses_to_greet.size() < internal::kMaxGreeted) {
      changed.addresses_to_greet.push_back(each.datagram_address);
    }
  }
}

bool roster::IsLarge() const noexcept {
  return capacity_ > 0 &&
         std::max(OwnPeakVmCount(), peak_of_peers_) > internal::kFullMeshVms;
}

bool roster::IsFresh(const member& each, time_point now) const noexcept {
  return each.heard_at + internal::kHubSilence >= now;
}

std::vector<peer_summary> roster::Candidates(bool own_domain,
                                             time_point now) const {
  std::vector<peer_summary> candidates;
  if (own_domain && capacity_ > 0 && !leaving_) {
    candidates.push_back({self_, domain_, incarnation_, capacity_});
  }
  std::unordered_set<std::string> leaving;
  for (const auto& [vm, each] : members_) {
    const heartbeat& last = each.last_heartbeat;
    if (last.leaving) {
      leaving.insert(last.datagram_address);
    } else if (IsFresh(each, now) && last.capacity > 0 &&
               (last.failure_domain == domain_) == own_domain) {
      candidates.push_back({last.datagram_address, last.failure_domain,
                            last.incarnation, last.capacity});
    }
  }
  for (const auto& [address, told] : told_) {
    if (told.told_at + internal::kHubSilence >= now &&
        !leaving.contains(address) &&
        (told.summary.failure_domain == domain_) == own_domain) {
      candidates.push_back(told.summary);
    }
  }
  return candidates;
}

const roster::hub_cache& roster::Hubs(time_point now) const {
  if (hubs_.computed_at && *hubs_.computed_at <= now &&
      now - *hubs_.computed_at < internal::kHubCacheTime) {
    return hubs_;
  }
  hubs_.computed_at = now;
  hubs_.own = ChooseFirst(Candidates(true, now), domain_, kHubsPerDomain, 0);
  hubs_.others.clear();
  for (const peer_summary& each :
       ChooseFirst(Candidates(false, now), domain_, 0, kHubsPerDomain)) {
    hubs_.others.push_back(each.datagram_address);
  }
  return hubs_;
}

bool roster::IsHub(time_point now) const {
  const auto& hubs = OwnHubs(now);
  return std::any_of(hubs.begin(), hubs.end(),
                     [this](const peer_summary& each) {
                       return each.datagram_address == self_;
                     });
}

bool roster::IsFirstHub(time_point now) const {
  const auto& hubs = OwnHubs(now);
  return !hubs.empty() && hubs.front().datagram_address == self_;
}

std::vector<std::string> roster::DomainMembers(time_point now) const {
  std::vector<std::string> hubs;
  for (const peer_summary& each : OwnHubs(now)) {
    hubs.push_back(each.datagram_address);
  }
  std::vector<std::string> addresses;
  for (const auto& [vm, each] : members_) {
    const heartbeat& last = each.last_heartbeat;
    const bool is_member = last.failure_domain == domain_ &&
                           std::find(hubs.begin(), hubs.end(),
                                     last.datagram_address) == hubs.end();
    if (is_member || last.capacity == 0) {
      addresses.push_back(last.datagram_address);
    }
  }
  return addresses;
}

std::vector<std::string> roster::HubRecipients(time_point now) const {
  if (!IsLarge()) {
    return LiveAddresses();
  }
  std::vector<std::string> recipients;
  for (const peer_summary& each : OwnHubs(now)) {
    internal::AddMissing(recipients, each.datagram_address, self_);
  }
  if (IsHub(now)) {
    for (const std::string& each : OtherHubs(now)) {
      internal::AddMissing(recipients, each, self_);
    }
  }
  for (const auto& [vm, each] : members_) {
    if (each.last_heartbeat.capacity == 0) {
      internal::AddMissing(recipients, each.last_heartbeat.datagram_address,
                           self_);
    }
  }
  return recipients;
}

std::vector<std::string> roster::MembersInTurn(time_point now) const {
  // Hubs take turns in opposite order, so that a member hears one each time.
  const std::uint64_t turn = rounds_sent_ + (IsFirstHub(now) ? 0 : 1);
  std::vector<std::string> members = DomainMembers(now);
  std::erase_if(members, [turn](const std::string& each) {
    return (std::hash<std::string>{}(each) + turn) % internal::kMemberTurns !=
           0;
  });
  return members;
}

std::vector<peer_summary> roster::FirstVms(bool for_member,
                                           time_point now) const {
  std::vector<peer_summary> heard;
  if (capacity_ > 0 && !leaving_) {
    heard.push_back({self_, domain_, incarnation_, capacity_});
  }
  for (const auto& [vm, each] : members_) {
    const heartbeat& last = each.last_heartbeat;
    if (IsFresh(each, now) && !last.leaving && last.capacity > 0) {
      heard.push_back({last.datagram_address, last.failure_domain,
                       last.incarnation, last.capacity});
    }
  }
  auto first = ChooseFirst(std::move(heard), domain_, internal::kOwnFirstVms,
                           for_member ? 0 : internal::kOtherFirstVms);
  // Those of the own failure domain matter most to those who are told.
  std::stable_partition(first.begin(), first.end(),
                        [this](const peer_summary& each) {
                          return each.failure_domain == domain_;
                        });
  first.resize(std::min(first.size(), internal::kMaxFirstVms));
  return first;
}

template <typename Condition>
service_contact roster::BestContact(time_point now,
                                    const Condition& counts) const {
  service_contact best = service_contact::kNone;
  for (const auto& [vm, each] : members_) {
    const service_contact of_member = each.last_heartbeat.service;
    if (!IsFresh(each, now) || of_member == service_contact::kNone ||
        !counts(each.last_heartbeat)) {
      continue;
    }
    if (of_member == service_contact::kDirect) {
      return of_member;
    }
    best = of_member;
  }
  return best;
}

service_contact roster::ServiceContactOfHubs(time_point now) const {
  return BestContact(now, [](const heartbeat& /*heard*/) { return true; });
}

service_contact roster::ServiceContactOfCompleteHubs(time_point now) const {
  return BestContact(
      now, [](const heartbeat& heard) { return heard.reads_evacuations; });
}

std::uint64_t roster::HeardInDomain(time_point now) const {
  return 1 + static_cast<std::uint64_t>(std::count_if(
                 members_.begin(), members_.end(), [&](const auto& each) {
                   return IsFresh(each.second, now) &&
                          each.second.last_heartbeat.failure_domain == domain_;
                 }));
}

// A hub hears the VMs of its failure domain, and the hubs of the others say how
// many they hear; a VM that is no hub learns the sum from its hubs.
std::uint64_t roster::HeardThroughHubs(time_point now) const {
  std::map<failure_domain_id, std::uint64_t> by_domain;
  std::uint64_t told = 0;
  for (const auto& [vm, each] : members_) {
    const heartbeat& last = each.last_heartbeat;
    if (!IsFresh(each, now)) {
      continue;
    }
    if (last.failure_domain == domain_) {
      told = std::max(told, last.heard_in_fleet);
    } else {
      std::uint64_t& heard = by_domain[last.failure_domain];
      heard = std::max({heard, last.heard_in_domain, std::uint64_t{1}});
    }
  }
  std::uint64_t total = HeardInDomain(now);
  for (const auto& [domain, heard] : by_domain) {
    total += heard;
  }
  return IsHub(now) ? total : std::max(total, told);
}

std::vector<std::string> roster::Contacts() const {
  std::vector<std::string> contacts;
  for (const std::string& each : seeds_) {
    internal::AddMissing(contacts, each, self_);
  }
  const std::size_t most = contacts.size() + internal::kMaxContacts;
  for (const auto& [address, told] : told_) {
    if (contacts.size() < most) {
      internal::AddMissing(contacts, address, self_);
    }
  }
  return contacts;
}

void roster::AddFormerMembers(std::vector<std::string>& recipients,
                              time_point now) {
  std::erase_if(former_members_, [now](const auto& each) {
    return each.second + internal::kFormerMemberTime < now;
  });
  std::size_t index = 0;
  const std::size_t turns =
      1 + former_members_.size() / internal::kFormerMembersAtOnce;
  for (const auto& [address, last_heard] : former_members_) {
    if (index++ % turns == rounds_sent_ % turns) {
      internal::AddMissing(recipients, address, self_);
    }
  }
}

void roster::AddLargeFleetRecipients(std::vector<std::string>& recipients,
                                     time_point now) {
  const auto add = [&](const std::string& address) {
    internal::AddMissing(recipients, address, self_);
  };
  const bool is_hub = IsHub(now);
  const auto hubs = HubRecipients(now);
  for (std::size_t index = 0; index < hubs.size(); ++index) {
    // Other VMs take their hubs in turn: each hub hears them often enough.
    if (is_hub || index == rounds_sent_ % hubs.size()) {
      add(hubs[index]);
    }
  }
  if (is_hub) {
    was_hub_at_ = now;
    AddFormerMembers(recipients, now);
  }
  if (was_hub_at_ && *was_hub_at_ + internal::kHandOverTime >= now) {
    for (const std::string& each : MembersInTurn(now)) {
      add(each);
    }
  }
  if (recipients.empty() || (is_hub && OwnHubs(now).size() == 1)) {
    // No other VM of the failure domain is known to be a hub.
    for (const std::string& each : Contacts()) {
      add(each);
    }
  } else if (is_hub && rounds_sent_ % internal::kHubSeedRounds == 0) {
    for (const std::string& each : seeds_) {
      add(each);
    }
  }
}

}  // namespace acaciaferry::mesh
