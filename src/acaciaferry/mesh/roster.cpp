#include "acaciaferry/mesh/roster.hpp"

#include <algorithm>
#include <tuple>

namespace acaciaferry::mesh {
namespace internal {

// A VM counts as live for this long after its last heartbeat. This covers
// several intervals, since datagrams get lost and in a large fleet heartbeats
// are sent to a part of the VMs at a time.
constexpr duration kLivenessTimeout = std::chrono::milliseconds(4'000);
// Slightly more than two heartbeat intervals.
constexpr duration kSilenceTimeout = std::chrono::milliseconds(1'150);
constexpr duration kHeartbeatDelay = std::chrono::milliseconds(150);
// Length of silence up to which a domain counts as cut off.
constexpr duration kMaxCutOffTime = std::chrono::seconds(10);
// Limits the messages of one VM in a large fleet.
constexpr std::size_t kMaxHeartbeatRecipients = 24;
constexpr std::uint32_t kMaxContactAttempts = 6;
constexpr std::size_t kMaxUnconfirmed = 1'024;
// Assumed number of VMs until another one is heard.
constexpr std::uint64_t kAssumedVmCount = 16;
// Bounds what a forged datagram can do to the shares of this VM.
constexpr std::uint64_t kMaxVmCount = 4'096;

}  // namespace internal

roster::roster(std::string datagram_address,
               failure_domain_id domain,
               std::vector<std::string> seeds,
               std::uint64_t seed,
               std::uint32_t capacity)
    : self_(std::move(datagram_address)),
      domain_(std::move(domain)),
      seeds_(std::move(seeds)),
      next_recipient_(seed),
      incarnation_(seed),
      capacity_(capacity) {}

roster::heartbeat_result roster::OnHeartbeat(const heartbeat& heard,
                                             time_point now) {
  if (heard.datagram_address == self_ || heard.vm.empty()) {
    return {};
  }
  unconfirmed_.erase(heard.datagram_address);
  former_members_.erase(heard.datagram_address);
  const auto [at, added] = members_.try_emplace(heard.vm);
  member& known = at->second;
  if (!added && heard.incarnation < known.last_heartbeat.incarnation) {
    return {};
  }
  heartbeat_result changed{added, {}, {}, {}};
  if (added) {
    changed.addresses_to_greet.push_back(heard.datagram_address);
  }
  if (!added && heard.incarnation > known.last_heartbeat.incarnation) {
    changed.replaced_incarnation = known.last_heartbeat.incarnation;
  }
  if (added || heard.incarnation > known.last_heartbeat.incarnation ||
      heard.leaving != known.last_heartbeat.leaving) {
    hubs_.computed_at.reset();
  }
  changed.has_lost_targets = !added && known.last_heartbeat.tunnels &&
                             !heard.tunnels && !heard.leaving;
  if (known.last_heartbeat.datagram_address != heard.datagram_address) {
    live_addresses_.erase(known.last_heartbeat.datagram_address);
    live_addresses_.insert(heard.datagram_address);
  }
  known = {heard, now};
  peak_live_ = std::max(peak_live_, members_.size());
  peak_of_peers_ = std::max(
      peak_of_peers_, std::min(heard.peak_vm_count, internal::kMaxVmCount));
  if (IsLarge()) {
    peak_live_ = std::max<std::size_t>(
        peak_live_, std::min(HeardVmCount(now), internal::kMaxVmCount) - 1);
  }
  UpdateDomain(heard, now);
  TakeTold(heard, now, changed);
  TakeNamedTunnels(heard, now);
  for (const std::string& address : heard.known_peers) {
    if (!IsLive(address) && address != self_ &&
        unconfirmed_.size() < internal::kMaxUnconfirmed &&
        unconfirmed_.try_emplace(address, 1).second) {
      changed.addresses_to_greet.push_back(address);
    }
  }
  return changed;
}

const member* roster::FindByAddress(const std::string& datagram_address) const {
  const auto at =
      std::find_if(members_.begin(), members_.end(), [&](const auto& each) {
        return each.second.last_heartbeat.datagram_address == datagram_address;
      });
  return at == members_.end() ? nullptr : &at->second;
}

std::vector<heartbeat> roster::Expire(time_point now) {
  std::vector<heartbeat> dropped;
  for (auto at = members_.begin(); at != members_.end();) {
    if (at->second.heard_at + internal::kLivenessTimeout < now) {
      live_addresses_.erase(at->second.last_heartbeat.datagram_address);
      if (at->second.last_heartbeat.failure_domain == domain_) {
        former_members_[at->second.last_heartbeat.datagram_address] = now;
      }
      named_tunnels_.erase(at->first);
      dropped.push_back(at->second.last_heartbeat);
      at = members_.erase(at);
    } else {
      ++at;
    }
  }
  return dropped;
}

bool roster::IsLive(const std::string& datagram_address) const {
  return live_addresses_.contains(datagram_address);
}

std::vector<std::string> roster::LiveAddresses() const {
  std::vector<std::string> addresses;
  addresses.reserve(members_.size());
  for (const auto& [vm, each] : members_) {
    addresses.push_back(each.last_heartbeat.datagram_address);
  }
  return addresses;
}

std::vector<std::string> roster::HeartbeatRecipients(time_point now) {
  std::vector<std::string> recipients;
  if (IsLarge()) {
    AddLargeFleetRecipients(recipients, now);
  } else {
    AddSmallFleetRecipients(recipients);
  }
  ++rounds_sent_;
  return recipients;
}

void roster::AddSmallFleetRecipients(std::vector<std::string>& recipients) {
  recipients = LiveAddresses();
  // Taken in turn, so that each VM is reached in a bounded number of rounds.
  if (!recipients.empty()) {
    next_recipient_ %= recipients.size();
    std::rotate(
        recipients.begin(),
        recipients.begin() + static_cast<std::ptrdiff_t>(next_recipient_),
        recipients.end());
  }
  recipients.resize(
      std::min(recipients.size(), internal::kMaxHeartbeatRecipients));
  next_recipient_ += recipients.size();
  const auto add = [&](const std::string& address) {
    if (address != self_ && std::find(recipients.begin(), recipients.end(),
                                      address) == recipients.end()) {
      recipients.push_back(address);
    }
  };
  for (const std::string& seed : seeds_) {
    add(seed);
  }
  for (auto at = unconfirmed_.begin(); at != unconfirmed_.end();) {
    add(at->first);
    at = ++at->second >= internal::kMaxContactAttempts ? unconfirmed_.erase(at)
                                                       : std::next(at);
  }
}

std::uint64_t roster::PeakVmCount() const noexcept {
  return peak_live_ == 0 ? internal::kAssumedVmCount
                         : std::max(OwnPeakVmCount(), peak_of_peers_);
}

void roster::UpdateDomain(const heartbeat& heard, time_point now) {
  const bool has_staying_vm =
      std::any_of(members_.begin(), members_.end(), [&](const auto& each) {
        return each.second.last_heartbeat.failure_domain ==
                   heard.failure_domain &&
               !each.second.last_heartbeat.leaving;
      });
  if (has_staying_vm) {
    domains_heard_at_[heard.failure_domain] = now;
  } else {
    domains_heard_at_.erase(heard.failure_domain);
  }
}

std::int64_t roster::Rounds() const noexcept {
  if (IsLarge()) {
    return 1;
  }
  return static_cast<std::int64_t>(
      1 + members_.size() / (internal::kMaxHeartbeatRecipients + 1));
}

std::uint64_t roster::HeardVmCount(time_point now) const {
  if (IsLarge()) {
    return HeardThroughHubs(now);
  }
  // One interval more than all VMs need, since datagrams take their time.
  const duration silent_after =
      kHeartbeatInterval * (Rounds() + 1) + internal::kHeartbeatDelay;
  return 1 + static_cast<std::uint64_t>(std::count_if(
                 members_.begin(), members_.end(), [&](const auto& each) {
                   return each.second.heard_at + silent_after >= now;
                 }));
}

std::vector<failure_domain_id> roster::CutOffDomains(time_point now) const {
  if (IsLarge() && !IsHub(now)) {
    // Only hubs hear the other failure domains.
    return {};
  }
  const duration silent_after = internal::kSilenceTimeout * Rounds();
  const bool any_heard =
      std::any_of(members_.begin(), members_.end(), [&](const auto& each) {
        return each.second.heard_at + silent_after >= now;
      });
  std::vector<failure_domain_id> silent;
  for (const auto& [domain, heard_at] : domains_heard_at_) {
    const duration silence = now - heard_at;
    if (any_heard && domain != domain_ && silence > silent_after &&
        silence < internal::kMaxCutOffTime) {
      silent.push_back(domain);
    }
  }
  return silent;
}

std::optional<time_point> roster::OldestHeartbeatTime() const {
  const auto oldest = std::min_element(
      members_.begin(), members_.end(), [](const auto& a, const auto& b) {
        return a.second.heard_at < b.second.heard_at;
      });
  return oldest == members_.end() ? std::nullopt
                                  : std::optional(oldest->second.heard_at);
}

bool roster::IsAmongFirst(std::size_t count) const {
  const auto before =
      std::count_if(members_.begin(), members_.end(), [this](const auto& each) {
        const heartbeat& last = each.second.last_heartbeat;
        return last.failure_domain == domain_ && !last.leaving &&
               last.datagram_address < self_;
      });
  return static_cast<std::size_t>(before) < count;
}

const member* roster::FindNewer(const view_position& own) const {
  // Those that have all documents go first, and then the configuration,
  // whatever the revisions say of the rest.
  const auto order = [](const member& each) {
    const view_position position = PositionOf(each.last_heartbeat);
    return std::tuple(each.last_heartbeat.reads_evacuations,
                      position.configuration_version, position.era,
                      position.last_change_revision);
  };
  // One of those that know most, by chance: a hub that all ask at once would
  // answer late.
  const member* newest = nullptr;
  std::size_t equals = 0;
  for (const auto& [vm, each] : members_) {
    if (!IsNewer(PositionOf(each.last_heartbeat), own) ||
        (newest != nullptr && order(each) < order(*newest))) {
      continue;
    }
    equals =
        newest != nullptr && order(each) == order(*newest) ? equals + 1 : 1;
    if (incarnation_ % equals == 0) {
      newest = &each;
    }
  }
  return newest;
}

}  // namespace acaciaferry::mesh
