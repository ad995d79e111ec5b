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
/** Minimum time from a heartbeat to one that ExpediteHeartbeat sends early. */
inline constexpr duration kMinHeartbeatInterval =
    std::chrono::milliseconds(200);
inline constexpr duration kSuspectAfter = std::chrono::seconds(3);
inline constexpr duration kDeadAfter = std::chrono::seconds(6);
/** A longer gap between two iterations of the event loop counts as a pause of
 * this process, after which the state of all peers is stale. */
inline constexpr duration kPauseThreshold = std::chrono::seconds(2);
/** More than twice the design size of 360 VMs. */
inline constexpr std::size_t kMaxPeers = 1'024;

/** Failure detection by the time since a peer was last heard; kUnheard until
 * the first message. */
enum class peer_phase { kUnheard, kAlive, kSuspected, kDead };

/**
 * @brief State of another entry VM.
 */
struct peer {
  vm_id vm;
  failure_domain_id failure_domain;
  region_id region;
  /** IP:PORT where it listens for peers. */
  std::string address;
  /** IP:PORT where it listens for callers. */
  std::string callers_address;
  std::uint64_t incarnation{};
  /** Incarnation that the VM list names; zero when it names none. */
  std::uint64_t listed_incarnation{};
  /** Highest accepted sequence number of this incarnation. */
  std::uint64_t sequence{};
  /** Incarnation and callers' address of the last peer_discovered event. */
  std::uint64_t notified_incarnation{};
  std::string notified_address;
  /** Never reset within one incarnation. */
  bool leaving{};
  /** Whether the platform's VM list has an entry for it. */
  bool listed{};
  /** Set by a pause of this process until the peer is heard again. */
  bool stale{};
  peer_phase phase{peer_phase::kUnheard};
  time_point heard_at{};
};

/**
 * @brief Peers of this VM, and the state that this VM sends them.
 */
struct membership_state {
  vm_id self;
  failure_domain_id failure_domain;
  region_id region;
  std::string address;
  std::string callers_address;
  bool leaving{};

  std::map<vm_id, peer> peers;
  std::optional<time_point> last_phase_update;
  /** Set by a pause: until this time, peers and targets may not have been heard
   * again yet. */
  time_point stale_until{};

  /** Contents of the next heartbeat, set by the modules that own them. Lists
   * are truncated to the limits of message.hpp when sent. */
  std::vector<workspace_demand> demand;
  /** When the demand was measured, in microseconds of this VM's clock. */
  std::uint64_t demand_measured_at{};
  std::vector<suspect_report> suspects;
  /** Suspects that every summary carries. */
  std::vector<suspect_report> domain_suspects;
  /** Suspects that only full summaries carry. */
  std::vector<suspect_report> older_suspects;

  /** Closed sets held by this VM, and by any VM of its failure domain. */
  std::vector<closed_set_holder> closed_sets;
  std::vector<closed_set_holder> domain_closed_sets;

  /** Number of heartbeats that were sent. */
  std::uint64_t heartbeat_count{};
  time_point next_heartbeat{};
  time_point next_relay{};
  time_point next_summary{};
  /** Time between two polls of a target and between two relays of reports. */
  duration relay_interval{std::chrono::milliseconds(500)};
  /** Time between full summaries. Both intervals grow with the fleet. */
  duration summary_interval{std::chrono::seconds(1)};
  /** Reports that this VM polled and has not relayed yet, with the poll time.
   */
  std::map<target_id, std::pair<load_report, time_point>> pending_reports;
  /** Incarnations of leaving targets that were announced to peers. */
  std::map<target_id, std::uint64_t> announced_leaving;
};

/**
 * @brief Adds or updates the peers that the platform's VM list names.
 *
 * A peer that the list no longer names is kept while it is heard. Since the
 * list lags, it can set `leaving` for an incarnation but never reset it.
 *
 * @param state The peers.
 * @param vms The complete list.
 */
void ApplyPeerList(membership_state& state, std::span<const vm_record> vms);

/**
 * @brief Rejects replayed and superseded messages; marks the sender as heard.
 * @param state The peers.
 * @param message An authenticated message.
 * @param now When it arrived.
 * @return kAccepted, or why the message must be ignored.
 */
[[nodiscard]] peer_verdict AcceptMessage(membership_state& state,
                                         const peer_message& message,
                                         time_point now);

/**
 * @brief Updates a peer from the summary of its failure domain.
 * @return Whether the peer's incarnation or callers' address changed.
 */
bool ApplyMemberSummary(membership_state& state,
                        const failure_domain_id& domain,
                        const member_summary& member,
                        time_point now);

/**
 * @brief Updates the phase of each peer, forgets unlisted silent peers, and
 * detects a pause of this process.
 * @param state The peers.
 * @param now The time of this iteration of the event loop.
 * @return Whether this process was paused for longer than kPauseThreshold.
 */
bool UpdatePeerPhases(membership_state& state, time_point now);

}  // namespace acaciaferry
