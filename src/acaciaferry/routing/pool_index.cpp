#include "acaciaferry/routing/pool_index.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>
#include <tuple>
#include <utility>

namespace acaciaferry {
namespace internal {

std::uint64_t Hash(const std::string& text) noexcept {
  return XXH3_64bits(text.data(), text.size());
}

// Sort key of a pool member; the fields are compared in this order.
struct ranked_member {
  std::size_t rank_in_domain{};
  std::uint64_t domain_hash{};
  std::uint64_t target_hash{};
  std::size_t position{};

  [[nodiscard]] auto operator<=>(const ranked_member&) const = default;
};

void RankMembers(const targets_state& targets, pool_members& members) {
  std::map<failure_domain_id, std::vector<ranked_member>> domains;
  for (const std::size_t position : members.short_only_order) {
    const target& each = targets.targets[position];
    domains[each.failure_domain].push_back(
        {0, Hash(each.failure_domain.value), Hash(each.id.value), position});
  }
  std::vector<ranked_member> all;
  for (auto& [domain, list] : domains) {
    std::sort(list.begin(), list.end());
    for (std::size_t i = 0; i < list.size(); ++i) {
      list[i].rank_in_domain = i;
      all.push_back(list[i]);
    }
  }
  std::sort(all.begin(), all.end());
  std::transform(all.begin(), all.end(), members.short_only_order.begin(),
                 [](const ranked_member& each) { return each.position; });
}

}  // namespace internal

pool_index BuildPoolIndex(const targets_state& targets,
                          const failure_domain_id& own) {
  pool_index index;
  for (std::size_t i = 0; i < targets.targets.size(); ++i) {
    if (!targets.targets[i].leaving) {
      index.pools[targets.targets[i].pool].short_only_order.push_back(i);
    }
  }
  for (auto& [pool, members] : index.pools) {
    internal::RankMembers(targets, members);
    SetShortOnlyShare(members, targets, own, 0);
  }
  return index;
}

void SetShortOnlyShare(pool_members& members,
                       const targets_state& targets,
                       const failure_domain_id& own,
                       double share) {
  const std::size_t size = members.short_only_order.size();
  const auto wanted = static_cast<std::size_t>(
      std::ceil(std::clamp(share, 0.0, 1.0) * static_cast<double>(size)));
  members.short_only = size == 0 ? 0 : std::min(wanted, size - 1);
  for (auto* const list :
       {&members.own_short_only, &members.own_unrestricted,
        &members.other_short_only, &members.other_unrestricted}) {
    list->clear();
  }
  for (std::size_t i = 0; i < size; ++i) {
    const std::size_t position = members.short_only_order[i];
    const bool is_own = targets.targets[position].failure_domain == own;
    const bool is_short_only = i < members.short_only;
    auto& list = is_own ? (is_short_only ? members.own_short_only
                                         : members.own_unrestricted)
                        : (is_short_only ? members.other_short_only
                                         : members.other_unrestricted);
    list.push_back(position);
  }
}

}  // namespace acaciaferry
