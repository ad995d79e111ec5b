#pragma once

#include <cstddef>
#include <span>
#include <unordered_map>
#include <vector>

#include "acaciaferry/core/name.hpp"
#include "acaciaferry/targets/state.hpp"

namespace acaciaferry {

/**
 * @brief The live targets of one pool, as positions in the target table.
 */
struct pool_members {
  /** In the order in which targets become short-only; the same on all VMs. */
  std::vector<std::size_t> short_only_order;
  /** The leading part of the order that takes no long prompts. */
  std::size_t short_only{};
  /** The members by failure domain (own, other) and use. */
  std::vector<std::size_t> own_short_only;
  std::vector<std::size_t> own_unrestricted;
  std::vector<std::size_t> other_short_only;
  std::vector<std::size_t> other_unrestricted;
};

/**
 * @brief Live targets by pool, rebuilt when the target table changes.
 */
struct pool_index {
  std::unordered_map<pool_id, pool_members> pools;
};

/**
 * @brief Indexes the live targets.
 *
 * The order within a pool depends on the targets' ids and failure domains
 * only, and takes failure domains in turn, so that every VM with the same list
 * has the same order and each failure domain has its part of every prefix.
 *
 * @param targets The target table; positions refer to it.
 * @param own This VM's failure domain.
 * @return The index, with no short-only members.
 */
[[nodiscard]] pool_index BuildPoolIndex(const targets_state& targets,
                                        const failure_domain_id& own);

/**
 * @brief Sets how many members of a pool take no long prompts.
 * @param members The pool's members.
 * @param targets The target table that the index was built from.
 * @param own This VM's failure domain.
 * @param share Fraction of the members, 0 to 1; one member always takes long
 * prompts.
 */
void SetShortOnlyShare(pool_members& members,
                       const targets_state& targets,
                       const failure_domain_id& own,
                       double share);

}  // namespace acaciaferry
