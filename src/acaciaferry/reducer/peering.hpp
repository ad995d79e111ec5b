#pragma once

#include <optional>
#include <variant>
#include <vector>

#include "acaciaferry/core/time.hpp"
#include "acaciaferry/reducer/effect.hpp"
#include "acaciaferry/reducer/event.hpp"
#include "acaciaferry/reducer/state.hpp"

namespace acaciaferry {

/** Events from a peer's message that other modules handle. */
using peering_event = std::variant<peer_discovered,
                                   suspect_reports_received,
                                   peer_demand_received,
                                   share_loans_received,
                                   closed_keys_received,
                                   closed_keys_acknowledged,
                                   closed_set_holders_received>;

/** @brief Updates the phases of silent peers; marks the state of targets as
 * stale after a pause of this process. */
void UpdatePeerLiveness(state& state, time_point now);

/** @brief Applies the VM list that this VM read from the platform to the
 * targets and peers, and relays the changes to peers. */
void OnVmListReceived(state& state,
                      const vm_list_received& event,
                      effects& out);

/**
 * @brief Sends this VM's new evidence of crashes to its peers without waiting
 * for the next heartbeat.
 */
void AnnounceCrashEvidence(state& state, time_point now);

/**
 * @brief Relays new evidence of crashes to remote failure domains without
 * waiting for the next heartbeat, if this VM is the delegate for one of them.
 */
void RelayCrashEvidence(state& state, time_point now);

/** @brief Relays an accepted load report of a target that this VM polls, and
 * announces the target if it is leaving. */
void OnLoadReportApplied(state& state,
                         const load_report& report,
                         report_verdict verdict,
                         time_point now,
                         effects& out);

/**
 * @brief Applies a peer's message to peers, targets and configuration.
 * @return The events for other modules.
 */
[[nodiscard]] std::vector<peering_event> OnPeerMessageReceived(
    state& state,
    const peer_message_received& event,
    time_point now,
    effects& out);

/** @brief Puts a configuration in force that is newer than the current one. */
void OnDeploymentReceived(state& state,
                          const deployment_received& event,
                          time_point now,
                          effects& out);

/** @brief Handle a document from the configuration service, and the result of
 * its check. */
void OnConfigurationEvent(state& state,
                          const configuration_read& event,
                          time_point now,
                          effects& out);
void OnConfigurationEvent(state& state,
                          const configuration_checked& event,
                          time_point now,
                          effects& out);

/** @brief Announces to peers that this VM is leaving. */
void AnnounceOwnLeaving(state& state, effects& out);

/** @brief Sends the heartbeat, reports and summaries that are due. */
void SendDueMessages(state& state, time_point now, effects& out);

/**
 * @brief Starts or continues the hand-over of the closed keys to peers, once
 * this VM runs no request any more.
 * @return Whether the hand-over has ended, so that the process may exit.
 */
[[nodiscard]] bool AdvanceKeyHandover(state& state,
                                      time_point now,
                                      effects& out);

/** @return When SendDueMessages must run next; nothing without peers. */
[[nodiscard]] std::optional<time_point> NextPeerMessage(const state& state);

}  // namespace acaciaferry
