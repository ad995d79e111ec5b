#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

#include "acaciaferry/core/time.hpp"
#include "acaciaferry/mesh/hubs.hpp"
#include "acaciaferry/mesh/message.hpp"

namespace acaciaferry::mesh {

/** A live VM. */
struct member {
  heartbeat last_heartbeat;
  time_point heard_at{};
};

/** Where to fetch what a peer's view has and this VM's lacks. */
struct view_source {
  /** IP:PORT. */
  std::string address;
  /** Whether the peer can send changes only. */
  bool serves_changes{};
  /** Whether the views differ although they are at the same position. */
  bool repairs{};
  /** See heartbeat::reads_evacuations. */
  bool reads_evacuations{};
};

inline constexpr std::size_t kMaxTunnels = 16;

/** How often each VM sends heartbeats. */
inline constexpr duration kHeartbeatInterval = std::chrono::milliseconds(500);

/**
 * @brief The live VMs, discovered through the seeds and through each other.
 */
class roster {
 public:
  /**
   * @param datagram_address This VM's datagram address.
   * @param domain This VM's failure domain.
   * @param seeds Datagram addresses to contact first; they may be stale.
   * @param seed Decides which VMs get the first heartbeats; the incarnation
   * of this process.
   * @param capacity Share of a core in thousandths; without it this VM takes no
   * part in the choice of hubs, and sends to all VMs that it knows.
   */
  roster(std::string datagram_address,
         failure_domain_id domain,
         std::vector<std::string> seeds,
         std::uint64_t seed,
         std::uint32_t capacity = 0);

  void SetSeeds(std::vector<std::string> seeds) { seeds_ = std::move(seeds); }

  /** What a heartbeat changed. */
  struct heartbeat_result {
    /** Whether the VM was not live before. */
    bool is_new{};
    /** Incarnation of the VM's previous process, if this one replaced it. */
    std::optional<std::uint64_t> replaced_incarnation;
    /** Whether the VM no longer reaches targets, and did before. */
    bool has_lost_targets{};
    /** Datagram addresses to send a heartbeat to at once: that of a new VM, and
     * those that it knows and this VM doesn't. */
    std::vector<std::string> addresses_to_greet;
  };

  /**
   * @brief Processes a heartbeat. One of an older incarnation is ignored.
   */
  heartbeat_result OnHeartbeat(const heartbeat& heard, time_point now);

  /**
   * @brief Removes VMs that were not heard for a while.
   * @return The last heartbeats of the removed VMs.
   */
  std::vector<heartbeat> Expire(time_point now);

  /** @return Addresses to send the next heartbeat to: live VMs, addresses that
   * other VMs reported, and seeds. In a large fleet a part of the live VMs
   * is among them, each in its turn. */
  [[nodiscard]] std::vector<std::string> HeartbeatRecipients(time_point now);

  /** @brief Takes this VM out of the choice of hubs. */
  void SetLeaving() noexcept {
    leaving_ = true;
    hubs_.computed_at.reset();
  }

  /**
   * @return Whether the fleet is large: its VMs exchange messages through hubs.
   *
   * In a small fleet each VM sends to every other one.
   */
  [[nodiscard]] bool IsLarge() const noexcept;

  /** @return The hubs of this VM's failure domain, the first one first; this VM
   * may be among them. */
  [[nodiscard]] const std::vector<peer_summary>& OwnHubs(time_point now) const {
    return Hubs(now).own;
  }

  /** @return Whether this VM is a hub of its failure domain. */
  [[nodiscard]] bool IsHub(time_point now) const;

  /** @return Whether this VM is the first hub of its failure domain. */
  [[nodiscard]] bool IsFirstHub(time_point now) const;

  /** @return Datagram addresses of the hubs of the other failure domains. */
  [[nodiscard]] const std::vector<std::string>& OtherHubs(
      time_point now) const {
    return Hubs(now).others;
  }

  /** @return Datagram addresses of the live VMs of this VM's failure domain
   * that are no hubs, and of VMs of releases without hubs. */
  [[nodiscard]] std::vector<std::string> DomainMembers(time_point now) const;

  /** @return Where a message of this VM goes that all hubs must have: the hubs
   * of its failure domain; from a hub also the others. In a small fleet to all
   * live VMs. */
  [[nodiscard]] std::vector<std::string> HubRecipients(time_point now) const;

  /** @return The first VMs of each failure domain among those that are heard,
   * to be told to others; for a member of this failure domain only those that
   * may be its hubs. */
  [[nodiscard]] std::vector<peer_summary> FirstVms(bool for_member,
                                                   time_point now) const;

  /** @return The members of this VM's failure domain whose turn it is to get a
   * heartbeat of this hub; every other one at a time, the other hub sends to
   * the rest. */
  [[nodiscard]] std::vector<std::string> MembersInTurn(time_point now) const;

  /** @return The member with this datagram address; null if it isn't live. */
  [[nodiscard]] const member* FindByAddress(
      const std::string& datagram_address) const;

  /** @return How the hubs that this VM hears know the configuration service:
   * kDirect if one of them reads it. */
  [[nodiscard]] service_contact ServiceContactOfHubs(time_point now) const;

  /** @return The same of those VMs whose views have all documents. */
  [[nodiscard]] service_contact ServiceContactOfCompleteHubs(
      time_point now) const;

  /** @return Addresses of the tunnels of VMs that are heard, those of this
   * VM's failure domain first, and then of those that others have named; at
   * most kMaxTunnels. */
  [[nodiscard]] std::vector<std::string> Tunnels(time_point now) const;

  /** @return Whether a live VM has said that it reaches no targets. */
  [[nodiscard]] bool ReachesNoTargets(
      const std::string& datagram_address) const;

  /** @return The tunnels to name to another VM, those of this VM's failure
   * domain first; VMs are named different ones, in turn. */
  [[nodiscard]] std::vector<std::string> TunnelsToName(
      const std::string& recipient,
      time_point now) const;

  /** @return Seeds, and VMs of which others have told, for a VM that hears
   * none that it needs. */
  [[nodiscard]] std::vector<std::string> Contacts() const;

  /** @return Number of live VMs of this VM's failure domain that are heard,
   * this one included. */
  [[nodiscard]] std::uint64_t HeardInDomain(time_point now) const;

  /** @return Whether a live VM has this datagram address. */
  [[nodiscard]] bool IsLive(const std::string& datagram_address) const;

  /** @return Datagram addresses of the live VMs. */
  [[nodiscard]] std::vector<std::string> LiveAddresses() const;

  /**
   * @brief The number of VMs among which shared limits are divided.
   *
   * This is the largest number of VMs that were ever live at once, so that a VM
   * that is cut off doesn't use up the shares of the others; a process that has
   * just started learns it from its peers. It is an assumed number until
   * another VM is heard.
   */
  [[nodiscard]] std::uint64_t PeakVmCount() const noexcept;

  /** @return Largest number of VMs, this one included, that this process has
   * known to be live at once. */
  [[nodiscard]] std::uint64_t OwnPeakVmCount() const noexcept {
    return peak_live_ + 1;
  }

  /** @return Number of VMs that are heard as often as live ones are, this one
   * included. */
  [[nodiscard]] std::uint64_t HeardVmCount(time_point now) const;

  /**
   * @brief Detects the failure domains that are cut off from this VM.
   *
   * A domain counts as cut off if none of its VMs was heard for several
   * heartbeats while some other VM was. If no VM is heard at all, this VM
   * itself may be cut off, which says nothing about the targets. A domain that
   * has been silent for ten seconds no longer counts as cut off.
   */
  [[nodiscard]] std::vector<failure_domain_id> CutOffDomains(
      time_point now) const;

  /** @return When the last heartbeat of the live VM that was heard least
   * recently arrived. */
  [[nodiscard]] std::optional<time_point> OldestHeartbeatTime() const;

  /** @return Whether this VM is among the first `count` live VMs of its failure
   * domain, ordered by address. VMs that are leaving don't count. */
  [[nodiscard]] bool IsAmongFirst(std::size_t count) const;

  /** @return The live VM whose view is the newest of those that are newer than
   * the given one, first of those that have all documents; null if there is
   * none. */
  [[nodiscard]] const member* FindNewer(const view_position& own) const;

 private:
  void UpdateDomain(const heartbeat& heard, time_point now);
  /** A VM of which another one has told. */
  struct told_vm {
    peer_summary summary;
    time_point told_at{};
  };

  /** Tunnels that another VM has named. */
  struct named_tunnels {
    std::vector<std::string> addresses;
    time_point named_at{};
  };
  /** Tunnels by how near they are. */
  struct tunnel_lists {
    std::vector<std::string> own_domain;
    std::vector<std::string> other_domains;
    std::vector<std::string> named;
  };

  template <typename Condition>
  [[nodiscard]] service_contact BestContact(time_point now,
                                            const Condition& counts) const;
  [[nodiscard]] bool IsFresh(const member& each, time_point now) const noexcept;
  [[nodiscard]] tunnel_lists ListTunnels(time_point now) const;
  /** @return This VM and those that are heard or told of, as candidates for
   * hubs; of this VM's failure domain or of the others. */
  [[nodiscard]] std::vector<peer_summary> Candidates(bool own_domain,
                                                     time_point now) const;
  [[nodiscard]] std::uint64_t HeardThroughHubs(time_point now) const;
  void TakeTold(const heartbeat& heard,
                time_point now,
                heartbeat_result& changed);
  void TakeNamedTunnels(const heartbeat& heard, time_point now);
  /** Hubs as last computed. Between changes of membership they change with time
   * only, so they are kept for a short while. */
  struct hub_cache {
    std::optional<time_point> computed_at;
    std::vector<peer_summary> own;
    std::vector<std::string> others;
  };
  const hub_cache& Hubs(time_point now) const;
  void AddFormerMembers(std::vector<std::string>& recipients, time_point now);
  void AddLargeFleetRecipients(std::vector<std::string>& recipients,
                               time_point now);
  void AddSmallFleetRecipients(std::vector<std::string>& recipients);
  /** @return Number of heartbeat intervals in which this VM sends one to every
   * other; the others need as many. */
  [[nodiscard]] std::int64_t Rounds() const noexcept;

  std::string self_;
  failure_domain_id domain_;
  std::vector<std::string> seeds_;
  /** Position in the list of live VMs at which the next round begins. */
  std::size_t next_recipient_{};
  std::map<vm_id, member> members_;
  /** Datagram addresses of the members. */
  std::unordered_set<std::string> live_addresses_;
  /** Addresses that other VMs reported and that were not heard yet, with the
   * number of attempts to contact them. */
  std::map<std::string, std::uint32_t> unconfirmed_;
  /** When a VM of each failure domain was last heard. */
  std::map<failure_domain_id, time_point> domains_heard_at_;
  std::size_t peak_live_{};
  /** Largest number of VMs that a peer has known to be live at once. */
  std::uint64_t peak_of_peers_{};
  std::uint64_t incarnation_;
  std::uint32_t capacity_;
  bool leaving_{};
  /** By datagram address. */
  std::map<std::string, told_vm> told_;
  /** By the VM that has named them. */
  std::map<vm_id, named_tunnels> named_tunnels_;
  /** Datagram addresses of VMs of this failure domain that are no longer heard,
   * and when they last were: as a hub this VM looks for them, since they may
   * start again while no seed can be reached. */
  std::map<std::string, time_point> former_members_;
  /** When this VM last was a hub. */
  std::optional<time_point> was_hub_at_;
  std::uint64_t rounds_sent_{};
  mutable hub_cache hubs_;
};

}  // namespace acaciaferry::mesh
