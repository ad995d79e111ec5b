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
 * @brief What other modules let the peers know.
 */
struct exchange_view {
  const targets_state& targets;
  /** Accepted configuration revision; zero when there is none. */
  std::uint64_t revision{};
};

/** Who else must hear at once that targets are leaving. */
enum class leaving_source {
  /** Polled or answered by the target itself: every failure domain. */
  kTarget,
  /** Told by a remote failure domain: our own one. */
  kRemoteDomain,
  /** The list or a VM of our failure domain: the next heartbeat tells it. */
  kShared,
};

/**
 * @brief What a message taught, for the modules that own the knowledge.
 */
struct peer_news {
  peer_verdict verdict{};
  /** Address of the sender's listener; empty while unknown. */
  std::string address;
  bool is_remote{};
  /** The sender's own accepted revision; zero when not named. */
  std::uint64_t revision{};
  std::vector<relayed_report> reports;
  std::vector<leaving_target> leaving_targets;
  std::vector<peer_learnt> learnt;
  std::vector<vm_record> list_changes;
  std::vector<suspect_report> suspects;
  std::vector<workspace_demand> demand;
  std::uint64_t asked_at{};
  std::optional<share_loans> loans;
  std::vector<closed_set_holder> closed_sets;
};

/**
 * @brief Applies an authenticated message to the peers.
 * @param state The peers.
 * @param message The message.
 * @param now When it arrived.
 * @param out Receives what must be relayed.
 * @return The message's contents for other modules; empty unless accepted.
 */
[[nodiscard]] peer_news OnPeerMessage(membership_state& state,
                                      const peer_message& message,
                                      time_point now,
                                      std::vector<send_to_peers>& out);

/** @brief Keeps an accepted report of a target that this VM polls, to relay. */
void NoteReport(membership_state& state,
                const load_report& report,
                time_point now);

/**
 * @brief Sends the heartbeat, reports and summaries that are due.
 * @param state The peers.
 * @param view What to tell.
 * @param now The time.
 * @param out Receives the messages.
 */
void SendDue(membership_state& state,
             const exchange_view& view,
             time_point now,
             std::vector<send_to_peers>& out);

/**
 * @brief Moves the next heartbeat and summaries forward to now, or to
 * kShortestNewsGap after the last ones.
 */
void SendNewsSoon(membership_state& state, time_point now) noexcept;

/** @brief Sends a heartbeat to our failure domain at once. */
void AnnounceNow(membership_state& state,
                 const exchange_view& view,
                 std::vector<send_to_peers>& out);

/** @brief Tells our failure domain what this VM read in the VM list. */
void RelayListChanges(const membership_state& state,
                      std::span<const vm_record> changes,
                      std::vector<send_to_peers>& out);

/**
 * @brief Tells peers of leaving targets that they were not told of.
 * @param state The peers.
 * @param view What to tell.
 * @param source Where the news came from.
 * @param out Receives the messages.
 */
void AnnounceLeaving(membership_state& state,
                     const exchange_view& view,
                     leaving_source source,
                     std::vector<send_to_peers>& out);

/** @return When SendDue has something to send. */
[[nodiscard]] time_point NextSend(const membership_state& state) noexcept;

}  // namespace acaciaferry
