#pragma once

#include <optional>
#include <unordered_map>

#include "acaciaferry/core/name.hpp"
#include "acaciaferry/core/time.hpp"
#include "acaciaferry/deployment/deployment.hpp"

namespace acaciaferry {

/**
 * @brief A workspace's terms and its token bucket on this VM.
 */
struct workspace_account {
  double weight{1};
  /** Fleet-wide limit in predicted tokens a second; zero for none. */
  double fleet_limit{};
  /** This VM's part of the limit. */
  double share{};
  /** Tokens that may be spent now; negative after a large request. */
  double tokens{};
  time_point filled_at{};
};

/**
 * @brief One account for each configured workspace.
 */
struct workspaces_state {
  std::unordered_map<workspace_id, workspace_account> accounts;
};

/**
 * @brief Takes over the configured workspaces with their static shares.
 *
 * A workspace that is still there keeps its bucket, so that a revision grants
 * nobody a fresh burst.
 */
void ConfigureWorkspaces(workspaces_state& state,
                         const deployment& config,
                         time_point now);

/**
 * @brief Sets this VM's part of a workspace's limit.
 * @param state The accounts; an unknown workspace changes nothing.
 * @param workspace The workspace.
 * @param share Tokens a second; clamped to 0 and the fleet-wide limit.
 * @param now When the new share starts.
 */
void SetShare(workspaces_state& state,
              const workspace_id& workspace,
              double share,
              time_point now);

/** @return The workspace's weight; 1 when it is not configured. */
[[nodiscard]] double WeightOf(const workspaces_state& state,
                              const workspace_id& workspace) noexcept;

/**
 * @brief Spends from a workspace's bucket.
 *
 * A request may overdraw the bucket once, so that one larger than the burst
 * can run at all; the debt is paid before the next one.
 *
 * @param state The accounts.
 * @param workspace The workspace.
 * @param tokens The request's predicted tokens.
 * @param now The time; one that steps back fills nothing.
 * @return How long to wait when the request is over the limit; else nothing.
 */
[[nodiscard]] std::optional<duration> Spend(workspaces_state& state,
                                            const workspace_id& workspace,
                                            double tokens,
                                            time_point now);

/** @brief Returns what a request that did not run has spent. */
void Refund(workspaces_state& state,
            const workspace_id& workspace,
            double tokens);

}  // namespace acaciaferry
