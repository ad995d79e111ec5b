#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "acaciaferry/core/name.hpp"
#include "acaciaferry/core/time.hpp"
#include "acaciaferry/membership/message.hpp"
#include "acaciaferry/targets/target.hpp"

namespace acaciaferry {

inline constexpr duration kHeartbeatInterval = std::chrono::seconds(1);
/** Least time between two heartbeats that carry news of crashes. */
inline constexpr duration kShortestNewsGap = std::chrono::milliseconds(200);
inline constexpr duration kSuspectAfter = std::chrono::seconds(3);
inline constexpr duration kDeadAfter = std::chrono::seconds(6);
/** A longer gap between two turns makes all knowledge stale. */
inline constexpr duration kStaleGap = std::chrono::seconds(2);
/** More than twice the design size of 360 VMs. */
inline constexpr std::size_t kMaxPeers = 1'024;

enum class peer_phase { kUnheard, kAlive, kSuspected, kDead };

/**
 * @brief Another entry VM as this one knows it.
 */
struct peer {
  vm_id vm;
  failure_domain_id failure_domain;
  region_id region;
  /** IP:PORT of its peers' listener. */
  std::string address;
  std::string callers_address;
  std::uint64_t incarnation{};
  /** Incarnation that the VM list names; zero when it names none. */
  std::uint64_t listed_incarnation{};
  /** Highest sequence number of this incarnation that was accepted. */
  std::uint64_t sequence{};
  /** The incarnation and callers' address that were passed on last. */
  std::uint64_t learnt_incarnation{};
  std::string learnt_address;
  /** Sticky for one incarnation. */
  bool leaving{};
  /** Whether the platform's list names it. */
  bool listed{};
  /** Set after this process was paused, until the peer is heard again. */
  bool stale{};
  peer_phase phase{peer_phase::kUnheard};
  time_point heard_at{};
};

/**
 * @brief What this VM knows of its peers, and what it will tell them.
 */
struct membership_state {
  vm_id self;
  failure_domain_id failure_domain;
  region_id region;
  std::string address;
  std::string callers_address;
  bool leaving{};

  std::map<vm_id, peer> peers;
  std::optional<time_point> last_turn;
  /** Set by a pause; until then no peer or target can have been heard. */
  time_point stale_until{};

  /** Filled by the modules that own the contents; cut to the lists' bounds. */
  std::vector<workspace_demand> demand;
  /** When the demand was measured, in microseconds of this VM's clock. */
  std::uint64_t asked_at{};
  std::vector<suspect_report> suspects;
  /** Suspects for the summaries, and those that only full ones carry. */
  std::vector<suspect_report> domain_suspects;
  std::vector<suspect_report> older_suspects;

  /** Closed sets that this VM, and its failure domain, can answer from. */
  std::vector<closed_set_holder> closed_sets;
  std::vector<closed_set_holder> domain_closed_sets;

  std::uint64_t turns{};
  time_point next_heartbeat{};
  time_point next_relay{};
  time_point next_summary{};
  /** Time between two polls of a target, and between relays of the reports. */
  duration relay_interval{std::chrono::milliseconds(500)};
  /** Time between full summaries; both grow with the fleet. */
  duration summary_interval{std::chrono::seconds(1)};
  /** Own polls that were not relayed yet, with the time of the poll. */
  std::map<target_id, std::pair<load_report, time_point>> unrelayed;
  /** Leaving targets that peers were told of, with their incarnation. */
  std::map<target_id, std::uint64_t> announced_leaving;
};

/**
 * @brief Takes the entry VMs of the platform's list as peers.
 *
 * A VM that the list no longer names is kept while it is heard. The list lags,
 * so leaving is only ever added for an incarnation, never removed.
 *
 * @param state The peers.
 * @param vms The whole list.
 */
void ApplyPeerList(membership_state& state, std::span<const vm_record> vms);

/**
 * @brief Checks that a message is new, and notes that its sender was heard.
 * @param state The peers.
 * @param message An authenticated message.
 * @param now When it arrived.
 * @return kAccepted, or why the message must change nothing.
 */
[[nodiscard]] peer_verdict Hear(membership_state& state,
                                const peer_message& message,
                                time_point now);

/**
 * @brief Notes what a remote failure domain says of one of its VMs.
 * @return Whether the VM's process or address was new.
 */
bool ApplyMember(membership_state& state,
                 const failure_domain_id& domain,
                 const member_summary& member,
                 time_point now);

/**
 * @brief Moves peers to suspected and dead, and detects a pause.
 * @param state The peers.
 * @param now The time of this turn.
 * @return Whether this process was paused for longer than kStaleGap.
 */
bool AdvancePeers(membership_state& state, time_point now);

}  // namespace acaciaferry
