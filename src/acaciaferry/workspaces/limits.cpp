#include "acaciaferry/workspaces/limits.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <tuple>
#include <utility>

namespace acaciaferry {
namespace internal {

// Capacity of the token bucket, in seconds of the workspace's share.
constexpr double kBurstSeconds = 2;
// Time constant of the demand average; about as long as a loan.
constexpr double kDemandTimeConstantSeconds = 5;
constexpr duration kMaxWait = std::chrono::minutes(10);

double BurstCapacity(const workspace_account& account) noexcept {
  return account.share * kBurstSeconds;
}

void Refill(workspace_account& account, time_point now) noexcept {
  if (now <= account.refilled_at) {
    return;
  }
  const double added = account.share * ToSeconds(now - account.refilled_at);
  account.tokens = std::min(BurstCapacity(account), account.tokens + added);
  account.refilled_at = now;
}

void ForEachLoan(const share_ledger& ledger, const auto& visit) {
  for (const share_loan& each : ledger.lent) {
    visit(each);
  }
  for (const share_loan& each : ledger.borrowed) {
    visit(each);
  }
}

void ApplyLedger(workspaces_state& state,
                 const workspace_id& workspace,
                 workspace_account& account,
                 time_point now) {
  SetShare(state, workspace,
           EffectiveShare(account.ledger, account.static_share, now), now);
  ForEachLoan(account.ledger, [&state, now](const share_loan& each) {
    if (each.expires_at > now) {
      state.next_loan_expiry =
          std::min(state.next_loan_expiry, each.expires_at);
    }
  });
}

duration TimeToRefill(const workspace_account& account) noexcept {
  if (account.share <= 0) {
    return kMaxWait;
  }
  const double seconds =
      std::min(-account.tokens / account.share, ToSeconds(kMaxWait));
  // An exactly empty bucket has tokens again after the next microsecond.
  return std::max(duration(1), FromSeconds(seconds));
}

}  // namespace internal

void ConfigureWorkspaces(workspaces_state& state,
                         const deployment& config,
                         time_point now) {
  std::unordered_map<workspace_id, workspace_account> next;
  const auto vms =
      static_cast<double>(std::max<std::uint64_t>(1, config.policy.entry_vms));
  for (const workspace& each : config.workspaces) {
    workspace_account account{.weight = each.weight,
                              .fleet_limit = each.tokens_per_second,
                              .share = each.tokens_per_second / vms,
                              .refilled_at = now,
                              .static_share = each.tokens_per_second / vms,
                              .measured_at = now};
    const auto known = state.accounts.find(each.id);
    if (known != state.accounts.end()) {
      account.ledger = known->second.ledger;
      account.demand = known->second.demand;
      account.share =
          std::min(account.fleet_limit,
                   EffectiveShare(account.ledger, account.static_share, now));
    }
    account.tokens = internal::BurstCapacity(account);
    if (known != state.accounts.end() && known->second.fleet_limit > 0) {
      internal::Refill(known->second, now);
      account.tokens = std::min(account.tokens, known->second.tokens);
    }
    next.emplace(each.id, account);
  }
  state.accounts = std::move(next);
}

void SetShare(workspaces_state& state,
              const workspace_id& workspace,
              double share,
              time_point now) {
  const auto found = state.accounts.find(workspace);
  if (found == state.accounts.end()) {
    return;
  }
  workspace_account& account = found->second;
  internal::Refill(account, now);
  account.share = std::clamp(share, 0.0, account.fleet_limit);
  account.tokens = std::min(account.tokens, internal::BurstCapacity(account));
}

void ExpireLoans(workspaces_state& state, time_point now) {
  if (now < state.next_loan_expiry) {
    return;
  }
  state.next_loan_expiry = time_point::max();
  for (auto& [workspace, account] : state.accounts) {
    std::vector<time_point> expiries;
    internal::ForEachLoan(account.ledger, [&](const share_loan& each) {
      if (each.expires_at <= now) {
        expiries.push_back(each.expires_at);
      }
    });
    std::sort(expiries.begin(), expiries.end());
    for (const time_point at : expiries) {
      internal::ApplyLedger(state, workspace, account, at);
    }
    const auto has_expired = [now](const share_loan& each) {
      return each.expires_at <= now;
    };
    std::erase_if(account.ledger.lent, has_expired);
    std::erase_if(account.ledger.borrowed, has_expired);
    internal::ApplyLedger(state, workspace, account, now);
  }
}

workspace_rates MeasureDemand(workspaces_state& state, time_point now) {
  workspace_rates rates;
  for (auto& [workspace, account] : state.accounts) {
    if (account.fleet_limit <= 0 || now <= account.measured_at) {
      continue;
    }
    const double seconds = ToSeconds(now - account.measured_at);
    const double weight =
        1 - std::exp(-seconds / internal::kDemandTimeConstantSeconds);
    account.demand +=
        (account.requested_tokens / seconds - account.demand) * weight;
    account.requested_tokens = 0;
    account.measured_at = now;
    if (account.demand > account.static_share) {
      rates.emplace_back(workspace, account.demand);
    }
  }
  std::sort(rates.begin(), rates.end(), [](const auto& a, const auto& b) {
    return std::tie(b.second, a.first) < std::tie(a.second, b.first);
  });
  return rates;
}

void RecordPeerDemand(workspaces_state& state,
                      const workspace_id& workspace,
                      const received_demand& received) {
  const auto found = state.accounts.find(workspace);
  if (found == state.accounts.end()) {
    return;
  }
  std::erase_if(found->second.received_demands,
                [&received](const received_demand& each) {
                  return each.demand.vm == received.demand.vm;
                });
  found->second.received_demands.push_back(received);
}

std::vector<peer_loans> GrantLoans(workspaces_state& state, time_point now) {
  std::map<vm_id, peer_loans> answers;
  for (auto& [workspace, account] : state.accounts) {
    const auto received = std::exchange(account.received_demands, {});
    std::vector<peer_demand> demands;
    demands.reserve(received.size());
    for (const received_demand& each : received) {
      demands.push_back(each.demand);
    }
    if (demands.empty()) {
      continue;
    }
    for (const share_loan& loan :
         LendUnusedShare(account.ledger, account.static_share, account.demand,
                         demands, now)) {
      const auto asked = std::find_if(received.begin(), received.end(),
                                      [&loan](const received_demand& each) {
                                        return each.demand.vm == loan.peer;
                                      });
      peer_loans& answer = answers[loan.peer];
      answer.vm = loan.peer;
      answer.incarnation = asked->incarnation;
      // The earliest of the answered demands, so that no loan outlives its
      // lease.
      answer.demand_measured_at =
          answer.loans.empty()
              ? asked->demand_measured_at
              : std::min(answer.demand_measured_at, asked->demand_measured_at);
      answer.loans.emplace_back(workspace, loan.tokens_per_s);
    }
    internal::ApplyLedger(state, workspace, account, now);
  }
  std::vector<peer_loans> result;
  result.reserve(answers.size());
  for (auto& [vm, answer] : answers) {
    result.push_back(std::move(answer));
  }
  return result;
}

void AcceptLoan(workspaces_state& state,
                const workspace_id& workspace,
                const received_loan& loan,
                time_point now) {
  const auto found = state.accounts.find(workspace);
  if (found == state.accounts.end()) {
    return;
  }
  AddBorrowedShare(found->second.ledger, loan.lender, loan.tokens_per_s,
                   loan.demand_measured_at, now);
  internal::ApplyLedger(state, workspace, found->second, now);
}

double WorkspaceWeight(const workspaces_state& state,
                       const workspace_id& workspace) noexcept {
  const auto found = state.accounts.find(workspace);
  return found == state.accounts.end() ? 1 : found->second.weight;
}

std::optional<duration> ConsumeTokens(workspaces_state& state,
                                      const workspace_id& workspace,
                                      double tokens,
                                      time_point now) {
  const auto found = state.accounts.find(workspace);
  if (found == state.accounts.end() || found->second.fleet_limit <= 0) {
    return std::nullopt;
  }
  workspace_account& account = found->second;
  internal::Refill(account, now);
  account.requested_tokens += std::max(0.0, tokens);
  if (account.tokens <= 0) {
    return internal::TimeToRefill(account);
  }
  account.tokens -= std::max(0.0, tokens);
  return std::nullopt;
}

void RefundTokens(workspaces_state& state,
                  const workspace_id& workspace,
                  double tokens) {
  const auto found = state.accounts.find(workspace);
  if (found != state.accounts.end() && found->second.fleet_limit > 0) {
    workspace_account& account = found->second;
    account.tokens = std::min(internal::BurstCapacity(account),
                              account.tokens + std::max(0.0, tokens));
  }
}

}  // namespace acaciaferry
