#pragma once

#include <optional>
#include <variant>
#include <vector>

#include "acaciaferry/core/time.hpp"
#include "acaciaferry/reducer/effect.hpp"
#include "acaciaferry/reducer/event.hpp"
#include "acaciaferry/reducer/state.hpp"

namespace acaciaferry {

/** What a peer's message teaches to modules other than those below. */
using peering_event = std::variant<peer_discovered,
                                   suspect_reports_received,
                                   peer_demand_received,
                                   share_loans_received,
                                   closed_keys_received,
                                   closed_keys_acknowledged,
                                   closed_set_holders_received>;

/** @brief Moves silent peers on; marks all knowledge stale after a pause. */
void BeginTurn(state& state, time_point now);

/** @brief Takes the targets and the peers of a list that this VM read. */
void OnPeerList(state& state, const vm_list_received& event, effects& out);

/**
 * @brief Sends this VM's own news of crashes to its peers without waiting for
 * the next heartbeat.
 */
void TellOwnCrashes(state& state, time_point now);

/**
 * @brief Passes news of crashes on to remote failure domains, without waiting
 * for the next heartbeat, when this VM is their delegate.
 */
void RelayCrashes(state& state, time_point now);

/** @brief Relays a report that a target gave to this VM. */
void OnReportApplied(state& state,
                     const load_report& report,
                     report_verdict verdict,
                     time_point now,
                     effects& out);

/**
 * @brief Applies a peer's message to peers, targets and configuration.
 * @return What it teaches to other modules.
 */
[[nodiscard]] std::vector<peering_event> OnPeerMessageReceived(
    state& state,
    const peer_message_received& event,
    time_point now,
    effects& out);

/** @brief Takes a configuration from a file. */
void OnDeploymentReceived(state& state,
                          const deployment_received& event,
                          time_point now,
                          effects& out);

/** @brief Handle a document from the service, and the result of its check. */
void OnConfigurationEvent(state& state,
                          const configuration_read& event,
                          time_point now,
                          effects& out);
void OnConfigurationEvent(state& state,
                          const configuration_checked& event,
                          time_point now,
                          effects& out);

/** @brief Tells the peers that this VM is leaving. */
void AnnounceOwnLeaving(state& state, effects& out);

/** @brief Sends the heartbeat, reports and summaries that are due. */
void SendDueMessages(state& state, time_point now, effects& out);

/**
 * @brief Hands the closed keys over to peers when this VM has ended its work.
 * @return Whether the hand-over has ended, so that the process may exit.
 */
[[nodiscard]] bool HandOverKeys(state& state, time_point now, effects& out);

/** @return When SendDueMessages has something to do; nothing without peers. */
[[nodiscard]] std::optional<time_point> NextPeerMessage(const state& state);

}  // namespace acaciaferry
