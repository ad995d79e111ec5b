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
  /** Reads a target's load and cache events. */
  kPoll,
  /** Releases a target's abandoned holdings. */
  kSweep,
  /** Issues orders to a target. */
  kOrder,
  /** Arranges spans for its failure domain. */
  kSpan,
  /** Watches the configuration service; two for each failure domain. */
  kWatch,
  /** Exchanges summaries with the failure domain that the key names. */
  kDelegate,
};

/**
 * @brief What a role is about.
 */
struct role_key {
  /** The failure domain whose VMs share the role. */
  failure_domain_id failure_domain;
  /** Target id, or failure domain for kDelegate; empty for kWatch and kSpan. */
  std::string_view name;
};

/**
 * @brief Decides by rendezvous hashing whether this VM has a role.
 *
 * The candidates are the VMs of the key's failure domain that are not dead and
 * not leaving. When that domain has none, they are all such VMs that are
 * known, so that no key is without a responsible VM. This VM counts as present
 * always.
 *
 * @param state The peers.
 * @param role The role.
 * @param key What it is about.
 * @return Whether this VM is responsible.
 */
[[nodiscard]] bool IsResponsible(const membership_state& state,
                                 role role,
                                 const role_key& key);

/**
 * @brief Chooses the VM of a remote failure domain that takes our summaries.
 * @param state The peers.
 * @param domain A remote failure domain.
 * @return Its address, or nothing when no VM of that domain is known. While
 * none is heard, the listed ones are tried in turn.
 */
[[nodiscard]] std::optional<std::string> RemoteDelegate(
    const membership_state& state,
    const failure_domain_id& domain);

/** @return The failure domains of the known peers other than our own. */
[[nodiscard]] std::vector<failure_domain_id> RemoteDomains(
    const membership_state& state);

/** @return Whether any VM of a failure domain is present. */
[[nodiscard]] bool IsDomainPresent(const membership_state& state,
                                   const failure_domain_id& domain);

/**
 * @brief Lists the targets that this VM must poll for load.
 * @param state The peers.
 * @param targets The target table.
 * @return Those of its own failure domain for which it is responsible, and a
 * bounded number of those whose failure domain has no VM that is present.
 */
[[nodiscard]] std::vector<const target*> TargetsToPoll(
    const membership_state& state,
    const targets_state& targets);

}  // namespace acaciaferry
