#include "acaciaferry/membership/roles.hpp"

#include <xxhash.h>

#include <algorithm>
#include <set>
#include <utility>

namespace acaciaferry {
namespace internal {

constexpr std::size_t kWatchersPerDomain = 2;
// Maximum number of targets of unreachable failure domains that one VM polls.
constexpr std::size_t kMaxRemotePolls = 8;

std::uint64_t Hash(std::string_view text, std::uint64_t seed) noexcept {
  return XXH64(text.data(), text.size(), seed);
}

std::uint64_t Score(const vm_id& vm, role role, std::string_view name) {
  return Hash(vm.value, Hash(name, static_cast<std::uint64_t>(role)));
}

bool IsPresent(const peer& value) noexcept {
  return value.phase == peer_phase::kAlive ||
         value.phase == peer_phase::kSuspected;
}

// Leaving VMs are candidates only when no other VM is.
std::vector<vm_id> Candidates(const membership_state& state,
                              const failure_domain_id* domain) {
  std::vector<vm_id> staying;
  std::vector<vm_id> leaving;
  const auto in_scope = [domain](const failure_domain_id& value) {
    return domain == nullptr || *domain == value;
  };
  if (in_scope(state.failure_domain)) {
    (state.leaving ? leaving : staying).push_back(state.self);
  }
  for (const auto& [vm, known] : state.peers) {
    if (IsPresent(known) && in_scope(known.failure_domain)) {
      (known.leaving ? leaving : staying).push_back(vm);
    }
  }
  return staying.empty() ? leaving : staying;
}

std::size_t Rank(const membership_state& state,
                 const std::vector<vm_id>& candidates,
                 role role,
                 std::string_view name) {
  const auto own_score = std::pair(Score(state.self, role, name), state.self);
  const auto better = [&](const vm_id& vm) {
    return std::pair(Score(vm, role, name), vm) > own_score;
  };
  return static_cast<std::size_t>(
      std::count_if(candidates.begin(), candidates.end(), better));
}

}  // namespace internal

bool IsResponsible(const membership_state& state,
                   role role,
                   const role_key& key) {
  std::vector<vm_id> candidates =
      internal::Candidates(state, &key.failure_domain);
  if (candidates.empty()) {
    candidates = internal::Candidates(state, nullptr);
  }
  const bool is_candidate = std::find(candidates.begin(), candidates.end(),
                                      state.self) != candidates.end();
  const std::size_t holders =
      role == role::kWatch ? internal::kWatchersPerDomain : 1;
  return is_candidate &&
         internal::Rank(state, candidates, role, key.name) < holders;
}

std::optional<std::string> RemoteDelegate(const membership_state& state,
                                          const failure_domain_id& domain) {
  const peer* best = nullptr;
  std::uint64_t best_score = 0;
  std::vector<const peer*> silent;
  for (const auto& [vm, known] : state.peers) {
    if (known.failure_domain != domain || known.address.empty()) {
      continue;
    }
    if (!internal::IsPresent(known)) {
      silent.push_back(&known);
      continue;
    }
    // A leaving VM still relays, but others are preferred as delegates.
    const std::uint64_t score =
        internal::Score(vm, role::kDelegate, state.failure_domain.value);
    const bool is_better =
        best == nullptr || std::pair(!known.leaving, score) >
                               std::pair(!best->leaving, best_score);
    if (is_better) {
      best = &known;
      best_score = score;
    }
  }
  if (best != nullptr) {
    return best->address;
  }
  if (silent.empty()) {
    return std::nullopt;
  }
  return silent[state.heartbeat_count % silent.size()]->address;
}

std::vector<failure_domain_id> RemoteDomains(const membership_state& state) {
  std::set<failure_domain_id> domains;
  for (const auto& [vm, known] : state.peers) {
    const bool is_remote = !known.failure_domain.empty() &&
                           known.failure_domain != state.failure_domain;
    if (is_remote) {
      domains.insert(known.failure_domain);
    }
  }
  return {domains.begin(), domains.end()};
}

bool IsDomainPresent(const membership_state& state,
                     const failure_domain_id& domain) {
  return domain == state.failure_domain ||
         std::any_of(state.peers.begin(), state.peers.end(),
                     [&domain](const auto& item) {
                       return item.second.failure_domain == domain &&
                              internal::IsPresent(item.second);
                     });
}

std::vector<const target*> TargetsToPoll(const membership_state& state,
                                         const targets_state& targets) {
  std::vector<const target*> polled;
  std::vector<std::pair<std::uint64_t, const target*>> remote;
  for (const target& each : targets.targets) {
    const bool is_local = each.failure_domain == state.failure_domain;
    const bool is_covered =
        !is_local && IsDomainPresent(state, each.failure_domain);
    if (is_covered || !IsResponsible(state, role::kPoll,
                                     {each.failure_domain, each.id.value})) {
      continue;
    }
    if (is_local) {
      polled.push_back(&each);
    } else {
      remote.emplace_back(
          internal::Score(state.self, role::kPoll, each.id.value), &each);
    }
  }
  std::sort(remote.begin(), remote.end());
  remote.resize(std::min(remote.size(), internal::kMaxRemotePolls));
  for (const auto& [score, each] : remote) {
    polled.push_back(each);
  }
  return polled;
}

}  // namespace acaciaferry
