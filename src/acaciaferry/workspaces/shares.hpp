#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "acaciaferry/core/name.hpp"
#include "acaciaferry/core/time.hpp"

namespace acaciaferry {

/** Duration of a loan. */
inline constexpr duration kLoanLease = std::chrono::seconds(5);

/** Maximum number of peers that one VM lends to at a time, for one workspace.
 */
inline constexpr std::size_t kMaxLoans = 8;

/**
 * @brief A part of one VM's static share that another VM may use until it
 * expires.
 */
struct share_loan {
  /** The borrower for the lender, the lender for the borrower. */
  vm_id peer;
  double tokens_per_s{};
  time_point expires_at{};
};

/**
 * @brief The loans of one VM within one workspace's limit.
 */
struct share_ledger {
  /** At most kMaxLoans. */
  std::vector<share_loan> lent;
  /** At most one for each peer. */
  std::vector<share_loan> borrowed;
};

/**
 * @brief The rate that a peer last requested within a workspace's limit.
 */
struct peer_demand {
  vm_id vm;
  double tokens_per_s{};
};

/**
 * @brief A VM's share without loans: an equal part of the limit.
 * @param limit The fleet-wide limit in tokens per second.
 * @param entry_vms The number of entry VMs in the configuration.
 * @return Tokens per second.
 */
[[nodiscard]] double StaticShare(double limit,
                                 std::uint64_t entry_vms) noexcept;

/**
 * @brief Returns the share that a VM may use now: its static share less what it
 * has lent, plus what it has borrowed.
 *
 * The shares of all VMs never add up to more than the limit, even when messages
 * are lost or late: a lender deducts a loan until it expires, and the borrower
 * stops using it no later than that.
 */
[[nodiscard]] double EffectiveShare(const share_ledger& ledger,
                                    double static_share,
                                    time_point now) noexcept;

/**
 * @brief Lends the part of the static share that this VM does not need to peers
 * whose demand exceeds theirs, in proportion to their shortfalls.
 * @param ledger The ledger to which the loans are added.
 * @param static_share This VM's static share.
 * @param own_demand This VM's demand in tokens per second.
 * @param peers The demands just received; each is answered by at most one loan.
 * @param now The time.
 * @return The loans that must be sent to the peers.
 */
[[nodiscard]] std::vector<share_loan> LendUnusedShare(
    share_ledger& ledger,
    double static_share,
    double own_demand,
    std::span<const peer_demand> peers,
    time_point now);

/**
 * @brief Adds a received loan.
 * @param ledger The ledger.
 * @param lender The lender.
 * @param tokens_per_s The lent rate.
 * @param demand_measured_at When this VM measured the demand that the loan
 * answers. The loan expires kLoanLease after that, which is never later than
 * for the lender, however long the answer took.
 */
void AddBorrowedShare(share_ledger& ledger,
                      const vm_id& lender,
                      double tokens_per_s,
                      time_point demand_measured_at,
                      time_point now);

}  // namespace acaciaferry
