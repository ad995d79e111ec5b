#pragma once

#include <cstddef>
#include <span>
#include <unordered_map>
#include <vector>

#include "acaciaferry/core/name.hpp"
#include "acaciaferry/targets/state.hpp"

namespace acaciaferry {

/**
 * @brief The live targets of one pool, as indices into the target table.
 */
struct pool_members {
  /** All members, in the order in which they become short-only; the same on all
   * VMs. */
  std::vector<std::size_t> short_only_order;
  /** How many members at the front of the order accept only short prompts. */
  std::size_t short_only{};
  /** The members by failure domain (this VM's or another) and by whether they
   * accept long prompts. */
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
 * The order within a pool depends only on the targets' ids and failure domains
 * and alternates between failure domains. So all VMs with the same VM list
 * compute the same order, and each failure domain is represented in every
 * prefix of it.
 *
 * @param targets The target table that the indices refer to.
 * @param own This VM's failure domain.
 * @return The index, with no short-only members.
 */
[[nodiscard]] pool_index BuildPoolIndex(const targets_state& targets,
                                        const failure_domain_id& own);

/**
 * @brief Sets how many members of a pool accept only short prompts.
 * @param members The pool's members.
 * @param targets The target table that the index was built from.
 * @param own This VM's failure domain.
 * @param share Fraction of the members, 0 to 1; at least one member always
 * accepts long prompts.
 */
void SetShortOnlyShare(pool_members& members,
                       const targets_state& targets,
                       const failure_domain_id& own,
                       double share);

}  // namespace acaciaferry
