#include "acaciaferry/workspaces/shares.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace acaciaferry {
namespace internal {

// This VM keeps this multiple of its own demand, so that the demand can grow
// during a loan.
constexpr double kDemandHeadroom = 1.25;
// Fraction of the static share that is never lent, so that a workspace that
// becomes active on this VM again is served at once.
constexpr double kReservedFraction = 0.1;

double SumAt(std::span<const share_loan> loans, time_point now) noexcept {
  double sum = 0;
  for (const share_loan& each : loans) {
    sum += each.expires_at > now ? each.tokens_per_s : 0;
  }
  return sum;
}

void EraseExpired(std::vector<share_loan>& loans, time_point now) {
  std::erase_if(
      loans, [now](const share_loan& each) { return each.expires_at <= now; });
}

share_loan* FindLoan(std::vector<share_loan>& loans, const vm_id& peer) {
  const auto found = std::find_if(
      loans.begin(), loans.end(),
      [&peer](const share_loan& each) { return each.peer == peer; });
  return found == loans.end() ? nullptr : &*found;
}

double Shortfall(const peer_demand& peer, double static_share) noexcept {
  return std::isfinite(peer.tokens_per_s)
             ? std::max(0.0, peer.tokens_per_s - static_share)
             : 0;
}

// The peers with the largest shortfalls, at most kMaxLoans.
std::vector<peer_demand> LargestShortfalls(std::span<const peer_demand> peers,
                                           double static_share) {
  std::vector<peer_demand> shortfalls;
  for (const peer_demand& each : peers) {
    const double shortfall = Shortfall(each, static_share);
    if (shortfall > 0) {
      shortfalls.push_back({each.vm, shortfall});
    }
  }
  std::sort(shortfalls.begin(), shortfalls.end(),
            [](const peer_demand& a, const peer_demand& b) {
              return a.tokens_per_s != b.tokens_per_s
                         ? a.tokens_per_s > b.tokens_per_s
                         : a.vm < b.vm;
            });
  shortfalls.resize(std::min(shortfalls.size(), kMaxLoans));
  return shortfalls;
}

}  // namespace internal

double StaticShare(double limit, std::uint64_t entry_vms) noexcept {
  return limit / static_cast<double>(std::max<std::uint64_t>(1, entry_vms));
}

double EffectiveShare(const share_ledger& ledger,
                      double static_share,
                      time_point now) noexcept {
  return std::max(0.0, static_share - internal::SumAt(ledger.lent, now)) +
         internal::SumAt(ledger.borrowed, now);
}

std::vector<share_loan> LendUnusedShare(share_ledger& ledger,
                                        double static_share,
                                        double own_demand,
                                        std::span<const peer_demand> peers,
                                        time_point now) {
  internal::EraseExpired(ledger.lent, now);
  const auto shortfalls = internal::LargestShortfalls(peers, static_share);
  const double wanted =
      std::isfinite(own_demand) ? std::max(0.0, own_demand) : static_share;
  const double kept = std::max(static_share * internal::kReservedFraction,
                               wanted * internal::kDemandHeadroom);
  const double lendable = std::max(0.0, static_share - kept);
  double total_shortfall = 0;
  for (const peer_demand& each : shortfalls) {
    total_shortfall += each.tokens_per_s;
  }
  std::vector<share_loan> new_loans;
  for (const peer_demand& each : shortfalls) {
    const double part =
        std::min(1.0, lendable / total_shortfall) * each.tokens_per_s;
    share_loan* const known = internal::FindLoan(ledger.lent, each.vm);
    const double others = internal::SumAt(ledger.lent, now) -
                          (known != nullptr ? known->tokens_per_s : 0);
    const double tokens = std::min(part, lendable - others);
    // A smaller loan cannot replace a larger one that has not expired, because
    // the message may not reach the borrower.
    const bool shrinks = known != nullptr && tokens < known->tokens_per_s;
    const bool has_place = known != nullptr || ledger.lent.size() < kMaxLoans;
    if (tokens <= 0 || shrinks || !has_place) {
      continue;
    }
    const share_loan loan{each.vm, tokens, now + kLoanLease};
    if (known != nullptr) {
      *known = loan;
    } else {
      ledger.lent.push_back(loan);
    }
    new_loans.push_back(loan);
  }
  return new_loans;
}

void AddBorrowedShare(share_ledger& ledger,
                      const vm_id& lender,
                      double tokens_per_s,
                      time_point demand_measured_at,
                      time_point now) {
  internal::EraseExpired(ledger.borrowed, now);
  const time_point until = demand_measured_at + kLoanLease;
  if (!std::isfinite(tokens_per_s) || tokens_per_s <= 0 || until <= now ||
      demand_measured_at > now) {
    return;
  }
  const share_loan loan{lender, tokens_per_s, until};
  share_loan* const known = internal::FindLoan(ledger.borrowed, lender);
  if (known == nullptr) {
    ledger.borrowed.push_back(loan);
  } else if (known->expires_at < until) {
    *known = loan;
  }
}

}  // namespace acaciaferry
