#pragma once

#include <map>
#include <span>
#include <string>
#include <vector>

#include "acaciaferry/membership/message.hpp"
#include "acaciaferry/membership/state.hpp"
#include "acaciaferry/targets/target.hpp"

namespace acaciaferry {

/**
 * @brief The platform's VM list as last read, merged with changes from peers.
 */
struct vm_list_state {
  std::map<std::string, vm_record> entries;
};

/**
 * @brief Replaces the list by one that this VM read from the platform.
 * @return The new or changed entries; none for the first list.
 */
[[nodiscard]] std::vector<vm_record> ReplaceVmList(
    vm_list_state& state,
    std::span<const vm_record> vms);

/**
 * @brief Merges entries that a peer read.
 *
 * An existing entry is replaced only by a later incarnation, or when it starts
 * leaving: the peer's copy may be older. An entry is removed only by
 * ReplaceVmList.
 *
 * @return Whether the list changed.
 */
bool MergeVmListChanges(vm_list_state& state,
                        std::span<const vm_record> changes);

/** @return All entries in the order of their names. */
[[nodiscard]] std::vector<vm_record> VmRecords(const vm_list_state& state);

}  // namespace acaciaferry
