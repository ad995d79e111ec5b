#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "acaciaferry/core/time.hpp"
#include "acaciaferry/membership/effect.hpp"
#include "acaciaferry/membership/event.hpp"
#include "acaciaferry/membership/state.hpp"
#include "acaciaferry/targets/state.hpp"

namespace acaciaferry {

/**
 * @brief State of other modules that is sent to peers.
 */
struct advertised_state {
  const targets_state& targets;
  /** Accepted configuration revision; zero when there is none. */
  std::uint64_t revision{};
};

/** Origin of the information that targets are leaving, which decides who is
 * told at once. */
enum class leaving_source {
  /** The target itself, polled or in an answer: tell every failure domain. */
  kTarget,
  /** A remote failure domain: tell the own failure domain. */
  kRemoteDomain,
  /** The VM list or a VM of the own failure domain: tell nobody at once, the
   * next heartbeat has it. */
  kLocalDomain,
};

/**
 * @brief Contents of an accepted message for the modules that own the state.
 */
struct peer_update {
  peer_verdict verdict{};
  /** Where the sender listens for peers; empty while unknown. */
  std::string address;
  /** Whether the sender belongs to another failure domain. */
  bool is_remote{};
  /** Accepted configuration revision of the sender; zero when not sent. */
  std::uint64_t revision{};
  std::vector<relayed_report> reports;
  std::vector<leaving_target> leaving_targets;
  std::vector<peer_discovered> discovered_peers;
  std::vector<vm_record> vm_list_changes;
  std::vector<suspect_report> suspects;
  std::vector<workspace_demand> demand;
  std::uint64_t demand_measured_at{};
  std::optional<share_loans> loans;
  std::vector<closed_set_holder> closed_sets;
};

/**
 * @brief Applies an authenticated message to the peers.
 * @param state The peers.
 * @param message The message.
 * @param now When it arrived.
 * @param out Receives the messages to relay.
 * @return The message's contents for other modules; empty unless accepted.
 */
[[nodiscard]] peer_update OnPeerMessage(membership_state& state,
                                        const peer_message& message,
                                        time_point now,
                                        std::vector<send_to_peers>& out);

/** @brief Queues an accepted report of a target that this VM polls. */
void QueueReportForRelay(membership_state& state,
                         const load_report& report,
                         time_point now);

/**
 * @brief Sends the heartbeat, reports and summaries that are due.
 * @param state The peers.
 * @param view State of other modules.
 * @param now The time.
 * @param out Receives the messages.
 */
void SendScheduledMessages(membership_state& state,
                           const advertised_state& view,
                           time_point now,
                           std::vector<send_to_peers>& out);

/**
 * @brief Sends the next heartbeat and summaries early: now, or
 * kMinHeartbeatInterval after the last ones.
 */
void ExpediteHeartbeat(membership_state& state, time_point now) noexcept;

/** @brief Sends an additional full heartbeat to our failure domain at once. */
void SendHeartbeatNow(membership_state& state,
                      const advertised_state& view,
                      std::vector<send_to_peers>& out);

/** @brief Sends changes of the VM list to our failure domain. */
void RelayVmListChanges(const membership_state& state,
                        std::span<const vm_record> changes,
                        std::vector<send_to_peers>& out);

/**
 * @brief Announces leaving targets that were not announced yet.
 * @param state The peers.
 * @param view State of other modules.
 * @param source Origin of the information.
 * @param out Receives the messages.
 */
void AnnounceLeaving(membership_state& state,
                     const advertised_state& view,
                     leaving_source source,
                     std::vector<send_to_peers>& out);

/** @return When SendScheduledMessages must be called next. */
[[nodiscard]] time_point NextSendTime(const membership_state& state) noexcept;

}  // namespace acaciaferry
