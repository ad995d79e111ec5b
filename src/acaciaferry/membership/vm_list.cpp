#include "acaciaferry/membership/vm_list.hpp"

#include <utility>

namespace acaciaferry {
namespace internal {

bool IsNewer(const vm_record& known, const vm_record& entry) noexcept {
  return entry.incarnation > known.incarnation ||
         (entry.incarnation == known.incarnation && entry.leaving &&
          !known.leaving);
}

}  // namespace internal

std::vector<vm_record> ReplaceVmList(vm_list_state& state,
                                     std::span<const vm_record> vms) {
  std::vector<vm_record> changes;
  std::map<std::string, vm_record> next;
  for (const vm_record& entry : vms) {
    const auto known = state.entries.find(entry.name);
    const bool is_changed =
        known == state.entries.end() || known->second != entry;
    if (!state.entries.empty() && is_changed) {
      changes.push_back(entry);
    }
    next.insert_or_assign(entry.name, entry);
  }
  state.entries = std::move(next);
  return changes;
}

bool MergeVmListChanges(vm_list_state& state,
                        std::span<const vm_record> changes) {
  bool changed = false;
  for (const vm_record& entry : changes) {
    const auto [known, is_new] = state.entries.try_emplace(entry.name, entry);
    const bool is_newer = !is_new && internal::IsNewer(known->second, entry);
    if (is_newer) {
      known->second = entry;
    }
    changed = changed || is_new || is_newer;
  }
  return changed;
}

std::vector<vm_record> VmRecords(const vm_list_state& state) {
  std::vector<vm_record> entries;
  entries.reserve(state.entries.size());
  for (const auto& [name, entry] : state.entries) {
    entries.push_back(entry);
  }
  return entries;
}

}  // namespace acaciaferry
