#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "acaciaferry/core/random.hpp"
#include "acaciaferry/core/time.hpp"
#include "acaciaferry/mesh/message.hpp"

namespace acaciaferry::mesh {

/** A VM that was heard. */
struct member {
  heartbeat last_heartbeat;
  time_point heard_at{};
};

/** How often each VM says heartbeat. */
inline constexpr duration kHeartbeatInterval = std::chrono::milliseconds(500);

/**
 * @brief The VMs that are live, found through the seeds and through each
 * other.
 */
class roster {
 public:
  /**
   * @param datagrams This VM's datagram address.
   * @param domain This VM's failure domain.
   * @param seeds Datagram addresses to begin with; they may be stale.
   * @param seed Of the choice among many VMs.
   */
  roster(std::string datagrams,
         failure_domain_id domain,
         std::vector<std::string> seeds,
         std::uint64_t seed);

  void SetSeeds(std::vector<std::string> seeds) { seeds_ = std::move(seeds); }

  /** What a heartbeat has changed. */
  struct news {
    /** The VM was not known as live. */
    bool is_new{};
    /** Incarnation of the process that the VM ran before. */
    std::optional<std::uint64_t> replaced_incarnation;
    /** Datagram addresses to say heartbeat to at once: a VM that was found, and
     * others that it knows and this one doesn't. */
    std::vector<std::string> addresses_to_greet;
  };

  /**
   * @brief Takes a heartbeat. One of an older incarnation is ignored.
   */
  news OnHeartbeat(const heartbeat& heard, time_point now);

  /** @brief Drops VMs that were not heard for a while.
   * @return Those that were dropped. */
  std::vector<heartbeat> Expire(time_point now);

  /** @return Addresses to say heartbeat to now: live VMs, addresses that others
   * know, and seeds. In a large fleet a changing part of them. */
  [[nodiscard]] std::vector<std::string> HeartbeatRecipients();

  /** @return Whether a live VM has this datagram address. */
  [[nodiscard]] bool IsLive(const std::string& datagrams) const;

  /** @return Datagram addresses of the live VMs. */
  [[nodiscard]] std::vector<std::string> LiveAddresses() const;

  /**
   * @brief How many VMs share what is shared.
   *
   * The largest number of VMs that were ever live at once: a VM that is cut off
   * must not spend the parts of the others.
   */
  [[nodiscard]] std::uint64_t PeakVmCount() const noexcept;

  /**
   * @brief Names the failure domains that are cut off from this VM.
   *
   * A domain is when none of its VMs was heard for several heartbeats while
   * some other VM was. When no VM is heard at all, this VM itself may be cut
   * off from the others, which tells nothing about targets.
   */
  [[nodiscard]] std::vector<failure_domain_id> CutOffDomains(
      time_point now) const;

  /** @return When the live VM that was heard least recently said heartbeat. */
  [[nodiscard]] std::optional<time_point> OldestHeartbeatTime() const;

  /** @return Whether this VM is among the first of the live VMs of its failure
   * domain, in the order of their addresses. VMs that leave don't count. */
  [[nodiscard]] bool IsAmongFirst(std::size_t count) const;

  /** @return The live VM that knows the newest published change, when that is
   * newer than the given one. */
  [[nodiscard]] const member* FindNewer(
      std::uint64_t last_change_revision) const;

 private:
  void NoteDomain(const heartbeat& heard, time_point now);

  std::string self_;
  failure_domain_id domain_;
  std::vector<std::string> seeds_;
  random_engine random_;
  std::map<vm_id, member> members_;
  /** Addresses that others told, not heard yet, and how often they were
   * tried. */
  std::map<std::string, std::uint32_t> told_;
  /** When a VM of each domain was last heard. */
  std::map<failure_domain_id, time_point> domains_;
  std::size_t most_live_{};
};

}  // namespace acaciaferry::mesh
