#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "acaciaferry/core/name.hpp"
#include "acaciaferry/core/time.hpp"
#include "acaciaferry/deployment/deployment.hpp"
#include "acaciaferry/workspaces/shares.hpp"

namespace acaciaferry {

/**
 * @brief The last demand of a peer, which a loan names.
 */
struct received_demand {
  peer_demand demand;
  std::uint64_t incarnation{};
  /** By the peer's own clock. */
  std::uint64_t asked_at{};
};

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
  time_point refilled_at{};
  /** The share without loans. */
  double static_share{};
  share_ledger ledger;
  /** Tokens asked for since `measured_at`, and the smoothed rate before. */
  double requested_tokens{};
  double demand{};
  time_point measured_at{};
  /** Demands since the last loans; one for each peer. */
  std::vector<received_demand> received_demands;
};

/**
 * @brief One account for each configured workspace.
 */
struct workspaces_state {
  std::unordered_map<workspace_id, workspace_account> accounts;
  /** When the next loan lapses. */
  time_point next_loan_expiry{time_point::max()};
};

/** Tokens a second by workspace. */
using workspace_rates = std::vector<std::pair<workspace_id, double>>;

/**
 * @brief What to lend to one peer, in answer to one demand.
 */
struct peer_loans {
  vm_id vm;
  std::uint64_t incarnation{};
  std::uint64_t asked_at{};
  workspace_rates loans;
};

/**
 * @brief A loan as the borrower hears of it.
 */
struct received_loan {
  vm_id lender;
  double tokens_per_s{};
  /** When the demand was measured that the loan answers. */
  time_point asked_at{};
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

/** @brief Ends the loans that lapsed until now, each at its own time. */
void ExpireLoans(workspaces_state& state, time_point now);

/**
 * @brief Measures this VM's demand; called about once a second.
 * @return The demands above the static share, the largest first.
 */
[[nodiscard]] workspace_rates MeasureDemand(workspaces_state& state,
                                            time_point now);

/** @brief Keeps a peer's demand for the next GrantLoans. */
void RecordPeerDemand(workspaces_state& state,
                      const workspace_id& workspace,
                      const received_demand& heard);

/**
 * @brief Answers the demands that were heard.
 * @return The loans, by peer.
 */
[[nodiscard]] std::vector<peer_loans> GrantLoans(workspaces_state& state,
                                                 time_point now);

/** @brief Takes a loan over; one that has lapsed changes nothing. */
void AcceptLoan(workspaces_state& state,
                const workspace_id& workspace,
                const received_loan& loan,
                time_point now);

/** @return The workspace's weight; 1 when it is not configured. */
[[nodiscard]] double WorkspaceWeight(const workspaces_state& state,
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
[[nodiscard]] std::optional<duration> ConsumeTokens(
    workspaces_state& state,
    const workspace_id& workspace,
    double tokens,
    time_point now);

/** @brief Returns what a request that did not run has spent. */
void RefundTokens(workspaces_state& state,
                  const workspace_id& workspace,
                  double tokens);

}  // namespace acaciaferry
