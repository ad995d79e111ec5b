#include "acaciaferry/workspaces/limits.hpp"

#include <algorithm>
#include <utility>

namespace acaciaferry {
namespace internal {

// Bursts of this long pass without a wait.
constexpr double kBurstSeconds = 2;
constexpr duration kLongestWait = std::chrono::minutes(10);

double Burst(const workspace_account& account) noexcept {
  return account.share * kBurstSeconds;
}

void Fill(workspace_account& account, time_point now) noexcept {
  if (now <= account.filled_at) {
    return;
  }
  const double added = account.share * ToSeconds(now - account.filled_at);
  account.tokens = std::min(Burst(account), account.tokens + added);
  account.filled_at = now;
}

duration TimeToFill(const workspace_account& account) noexcept {
  if (account.share <= 0) {
    return kLongestWait;
  }
  const double seconds =
      std::min(-account.tokens / account.share, ToSeconds(kLongestWait));
  // A bucket that is exactly empty has something after the next microsecond.
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
                              .filled_at = now};
    account.tokens = internal::Burst(account);
    const auto known = state.accounts.find(each.id);
    if (known != state.accounts.end() && known->second.fleet_limit > 0) {
      internal::Fill(known->second, now);
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
  internal::Fill(account, now);
  account.share = std::clamp(share, 0.0, account.fleet_limit);
  account.tokens = std::min(account.tokens, internal::Burst(account));
}

double WeightOf(const workspaces_state& state,
                const workspace_id& workspace) noexcept {
  const auto found = state.accounts.find(workspace);
  return found == state.accounts.end() ? 1 : found->second.weight;
}

std::optional<duration> Spend(workspaces_state& state,
                              const workspace_id& workspace,
                              double tokens,
                              time_point now) {
  const auto found = state.accounts.find(workspace);
  if (found == state.accounts.end() || found->second.fleet_limit <= 0) {
    return std::nullopt;
  }
  workspace_account& account = found->second;
  internal::Fill(account, now);
  if (account.tokens <= 0) {
    return internal::TimeToFill(account);
  }
  account.tokens -= std::max(0.0, tokens);
  return std::nullopt;
}

void Refund(workspaces_state& state,
            const workspace_id& workspace,
            double tokens) {
  const auto found = state.accounts.find(workspace);
  if (found != state.accounts.end() && found->second.fleet_limit > 0) {
    workspace_account& account = found->second;
    account.tokens = std::min(internal::Burst(account),
                              account.tokens + std::max(0.0, tokens));
  }
}

}  // namespace acaciaferry
