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
 * @brief The latest demand that a peer sent; a loan refers to it by incarnation
 * and time.
 */
struct received_demand {
  peer_demand demand;
  std::uint64_t incarnation{};
  /** When the peer measured it, by the peer's clock. */
  std::uint64_t demand_measured_at{};
};

/**
 * @brief A workspace's weight and limit and its token bucket on this VM.
 */
struct workspace_account {
  double weight{1};
  /** Fleet-wide limit in predicted tokens per second; zero for no limit. */
  double fleet_limit{};
  /** This VM's current part of the limit, in tokens per second. */
  double share{};
  /** Tokens in the bucket; negative after a large request. */
  double tokens{};
  time_point refilled_at{};
  /** The share when nothing is lent or borrowed. */
  double static_share{};
  share_ledger ledger;
  /** Tokens requested since `measured_at`, and the smoothed rate of requested
   * tokens up to then. */
  double requested_tokens{};
  double demand{};
  time_point measured_at{};
  /** Demands received since loans were last granted; at most one for each peer.
   */
  std::vector<received_demand> received_demands;
};

/**
 * @brief The accounts of all configured workspaces.
 */
struct workspaces_state {
  std::unordered_map<workspace_id, workspace_account> accounts;
  /** When the next loan expires. */
  time_point next_loan_expiry{time_point::max()};
};

/** Tokens per second by workspace. */
using workspace_rates = std::vector<std::pair<workspace_id, double>>;

/**
 * @brief The loans granted to one peer in answer to its demands.
 */
struct peer_loans {
  vm_id vm;
  std::uint64_t incarnation{};
  std::uint64_t demand_measured_at{};
  workspace_rates loans;
};

/**
 * @brief A loan as received by the borrower.
 */
struct received_loan {
  vm_id lender;
  double tokens_per_s{};
  /** When this VM measured the demand that the loan answers. */
  time_point demand_measured_at{};
};

/**
 * @brief Applies the configured workspaces, each with its static share.
 *
 * A workspace that was already configured keeps the level of its bucket, so
 * that a new revision does not grant another burst.
 */
void ConfigureWorkspaces(workspaces_state& state,
                         const deployment& config,
                         time_point now);

/**
 * @brief Sets this VM's share of a workspace's limit.
 * @param state The accounts; does nothing for an unknown workspace.
 * @param workspace The workspace.
 * @param share Tokens per second; clamped between 0 and the fleet-wide limit.
 * @param now When the new share takes effect.
 */
void SetShare(workspaces_state& state,
              const workspace_id& workspace,
              double share,
              time_point now);

/** @brief Removes the expired loans and refills each bucket as if every loan
 * had ended at its own expiry time. */
void ExpireLoans(workspaces_state& state, time_point now);

/**
 * @brief Measures the demand for each limited workspace on this VM; called
 * about once a second.
 * @return The demands above the static share, in descending order.
 */
[[nodiscard]] workspace_rates MeasureDemand(workspaces_state& state,
                                            time_point now);

/** @brief Stores a peer's demand until the next call of GrantLoans. */
void RecordPeerDemand(workspaces_state& state,
                      const workspace_id& workspace,
                      const received_demand& received);

/**
 * @brief Answers the stored demands with loans.
 * @return The loans, one entry for each peer.
 */
[[nodiscard]] std::vector<peer_loans> GrantLoans(workspaces_state& state,
                                                 time_point now);

/** @brief Adds a loan to this VM's share; does nothing when it has expired. */
void AcceptLoan(workspaces_state& state,
                const workspace_id& workspace,
                const received_loan& loan,
                time_point now);

/** @return The workspace's weight; 1 when it is not configured. */
[[nodiscard]] double WorkspaceWeight(const workspaces_state& state,
                                     const workspace_id& workspace) noexcept;

/**
 * @brief Takes tokens from a workspace's bucket.
 *
 * A request may overdraw the bucket, so that one larger than the burst can run
 * at all; the next request then waits until the bucket is above zero again.
 *
 * @param state The accounts.
 * @param workspace The workspace.
 * @param tokens The request's predicted tokens.
 * @param now The time; the bucket is not refilled when it steps back.
 * @return How long to wait when the request is over the limit, or nothing when
 * the tokens were taken.
 */
[[nodiscard]] std::optional<duration> ConsumeTokens(
    workspaces_state& state,
    const workspace_id& workspace,
    double tokens,
    time_point now);

/** @brief Returns the tokens of a request that did not run to the bucket. */
void RefundTokens(workspaces_state& state,
                  const workspace_id& workspace,
                  double tokens);

}  // namespace acaciaferry
