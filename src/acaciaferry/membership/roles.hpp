#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "acaciaferry/core/name.hpp"
#include "acaciaferry/membership/state.hpp"
#include "acaciaferry/targets/state.hpp"

namespace acaciaferry {

enum class role {
  /** Polls a target's load and its cache events. */
  kPoll,
  /** Releases abandoned holdings of a target. */
  kReclaim,
  /** Issues the orders to the targets of its failure domain. */
  kOrder,
  /** Arranges spans (requests across several targets) for its failure domain.
   */
  kSpan,
  /** Watches the configuration service; held by two VMs of each failure domain.
   */
  kWatch,
  /** Exchanges summaries with the failure domain that the key names. */
  kDelegate,
};

/**
 * @brief Identifies the subject of a role.
 */
struct role_key {
  /** The failure domain whose VMs share the role. */
  failure_domain_id failure_domain;
  /** Target id, or failure domain for kDelegate; empty for kOrder, kSpan and
   * kWatch. */
  std::string_view name;
};

/**
 * @brief Decides by rendezvous hashing whether this VM holds a role.
 *
 * Candidates are the VMs of the key's failure domain that are alive or
 * suspected, and of these the ones that are not leaving, if any. When the
 * domain has no such VM, all failure domains are considered, so that every key
 * has a responsible VM. This VM always counts as alive.
 *
 * @param state The peers.
 * @param role The role.
 * @param key The subject of the role.
 * @return Whether this VM is responsible.
 */
[[nodiscard]] bool IsResponsible(const membership_state& state,
                                 role role,
                                 const role_key& key);

/**
 * @brief Chooses the VM of a remote failure domain that receives our summaries.
 * @param state The peers.
 * @param domain A remote failure domain.
 * @return Its address, or nothing when no VM of that domain is known. While
 * none is alive or suspected, the known ones are tried in turn.
 */
[[nodiscard]] std::optional<std::string> RemoteDelegate(
    const membership_state& state,
    const failure_domain_id& domain);

/** @return The failure domains of the known peers other than our own. */
[[nodiscard]] std::vector<failure_domain_id> RemoteDomains(
    const membership_state& state);

/** @return Whether any VM of a failure domain is alive or suspected. */
[[nodiscard]] bool IsDomainPresent(const membership_state& state,
                                   const failure_domain_id& domain);

/**
 * @brief Lists the targets that this VM must poll for load.
 * @param state The peers.
 * @param targets The target table.
 * @return The targets of its own failure domain for which it is responsible,
 * and a bounded number of those whose failure domain has no reachable VM.
 */
[[nodiscard]] std::vector<const target*> TargetsToPoll(
    const membership_state& state,
    const targets_state& targets);

}  // namespace acaciaferry
