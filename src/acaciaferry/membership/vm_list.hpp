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
 * @brief The platform's list as it was read last, with what peers read since.
 */
struct vm_list_state {
  std::map<std::string, vm_record> entries;
};

/**
 * @brief Replaces the list by one that this VM read.
 * @return The entries that are new or changed; none for the first list.
 */
[[nodiscard]] std::vector<vm_record> ReplaceList(vm_list_state& state,
                                                std::span<const vm_record> vms);

/**
 * @brief Adds what a peer read.
 *
 * Only later incarnations and leaving are taken: the peer's copy may be older
 * than ours. An entry that has gone disappears with our own next read.
 *
 * @return Whether the list changed.
 */
bool MergeChanges(vm_list_state& state, std::span<const vm_record> changes);

/** @return All entries, by name. */
[[nodiscard]] std::vector<vm_record> Entries(const vm_list_state& state);

}  // namespace acaciaferry
