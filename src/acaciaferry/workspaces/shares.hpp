#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "acaciaferry/core/name.hpp"
#include "acaciaferry/core/time.hpp"

namespace acaciaferry {

/** How long a part of a share stays lent. */
inline constexpr duration kLoanLease = std::chrono::seconds(5);

/** Peers that one VM lends to at a time, for one workspace. */
inline constexpr std::size_t kMaxLoans = 8;

/**
 * @brief A part of one VM's static share that another may use.
 */
struct share_loan {
  /** The borrower for the lender, the lender for the borrower. */
  vm_id peer;
  double tokens_per_s{};
  time_point expires_at{};
};

/**
 * @brief What one VM has lent and borrowed of one workspace's limit.
 */
struct share_ledger {
  /** At most kMaxLoans. */
  std::vector<share_loan> lent;
  /** At most one for each peer. */
  std::vector<share_loan> borrowed;
};

/**
 * @brief What a peer last said it wants of a workspace's limit.
 */
struct peer_demand {
  vm_id vm;
  double tokens_per_s{};
};

/**
 * @brief The share of a VM that hears nobody.
 * @param limit The fleet-wide limit in tokens a second.
 * @param entry_vms Entry VMs in the configuration.
 * @return Tokens a second.
 */
[[nodiscard]] double StaticShare(double limit,
                                 std::uint64_t entry_vms) noexcept;

/**
 * @brief The share that a VM may use now: what it has not lent of its static
 * share, and what it has borrowed.
 *
 * Over all VMs the shares never add up to more than the limit, whatever
 * messages are lost or late: a lender counts a loan as gone until it lapses,
 * and a borrower stops using it no later.
 */
[[nodiscard]] double EffectiveShare(const share_ledger& ledger,
                                    double static_share,
                                    time_point now) noexcept;

/**
 * @brief Lends what this VM does not need to the peers that want more than
 * their static share, in proportion to what they lack.
 * @param ledger The ledger, which keeps the loans.
 * @param static_share This VM's static share.
 * @param own_demand What this VM wants, in tokens a second.
 * @param peers The demands just heard; a loan answers one demand.
 * @param now The time.
 * @return The loans that must be told to the peers.
 */
[[nodiscard]] std::vector<share_loan> LendUnusedShare(
    share_ledger& ledger,
    double static_share,
    double own_demand,
    std::span<const peer_demand> peers,
    time_point now);

/**
 * @brief Takes over a loan.
 * @param ledger The ledger.
 * @param lender The lender.
 * @param tokens_per_s The lent part.
 * @param asked_at When this VM sent the demand that the loan answers. The loan
 * lapses a lease after that, which is never later than for the lender, however
 * long the answer took.
 */
void AddBorrowedShare(share_ledger& ledger,
                      const vm_id& lender,
                      double tokens_per_s,
                      time_point asked_at,
                      time_point now);

}  // namespace acaciaferry
