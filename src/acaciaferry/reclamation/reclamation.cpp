#include "acaciaferry/reclamation/reclamation.hpp"

#include <algorithm>
#include <unordered_set>

namespace acaciaferry {
namespace internal {

// Records of VMs that have been absent for longer are erased: all deadlines and
// grace periods are shorter, so no target has a holding of theirs.
constexpr duration kOwnerRecordLifetime = std::chrono::hours(2);

bool IsVmListFresh(const reclamation_state& state, time_point now) noexcept {
  return state.vm_list_at && now - *state.vm_list_at <= state.vm_list_max_age;
}

// An unknown owner may be too new for the VM list, so its absence counts from
// when it was first seen.
void RecordOwner(reclamation_state& state, const vm_id& owner, time_point now) {
  const auto [record, is_new] = state.owners.try_emplace(owner);
  if (is_new) {
    record->second.absent_since = now;
  }
}

}  // namespace internal

void ObserveVmList(reclamation_state& state,
                   std::span<const vm_record> vms,
                   duration time_to_next_read,
                   time_point now) {
  // Only consecutive fresh lists prove absence.
  const bool has_gap = !internal::IsVmListFresh(state, now);
  std::unordered_set<vm_id> listed;
  for (const vm_record& entry : vms) {
    if (entry.role != vm_role::kEntry) {
      continue;
    }
    listed.insert({entry.name});
    owner_record& record = state.owners[{entry.name}];
    record.incarnation = std::max(record.incarnation, entry.incarnation);
    record.absent_since.reset();
  }
  for (auto& [vm, record] : state.owners) {
    const bool is_newly_absent = !listed.contains(vm) && !record.absent_since;
    if (is_newly_absent || (record.absent_since && has_gap)) {
      record.absent_since = now;
    }
  }
  std::erase_if(state.owners, [now](const auto& each) {
    const auto& absent_since = each.second.absent_since;
    return absent_since && now - *absent_since > internal::kOwnerRecordLifetime;
  });
  state.vm_list_at = now;
  state.vm_list_max_age =
      std::max(kMinVmListMaxAge, kVmListReadIntervals * time_to_next_read);
}

void ObserveIncarnation(reclamation_state& state,
                        const vm_id& vm,
                        std::uint64_t incarnation) {
  owner_record& record = state.owners[vm];
  record.incarnation = std::max(record.incarnation, incarnation);
}

void ObserveAlive(reclamation_state& state,
                  const vm_id& vm,
                  std::uint64_t incarnation) {
  ObserveIncarnation(state, vm, incarnation);
  state.owners[vm].absent_since.reset();
}

void SweepTargets(reclamation_state& state,
                  std::span<const target* const> assigned,
                  time_point now,
                  reclamation_effects& out) {
  std::map<target_id, time_point> next;
  for (const target* const each : assigned) {
    const auto known = state.next_sweep.find(each->id);
    time_point at = known == state.next_sweep.end() ? now : known->second;
    if (at <= now) {
      out.push_back(list_holdings{each->id, each->address});
      at = now + kSweepInterval;
    }
    next.emplace(each->id, at);
  }
  state.next_sweep = std::move(next);
}

std::optional<release_reason> FindReleaseReason(const reclamation_state& state,
                                                const holding& value,
                                                time_point now) {
  if (value.remaining <= -kHoldingGracePeriod) {
    return release_reason::kDeadlinePassed;
  }
  const auto found = state.owners.find(value.owner);
  if (found == state.owners.end()) {
    return std::nullopt;
  }
  const owner_record& owner = found->second;
  if (value.owner_incarnation < owner.incarnation) {
    return release_reason::kOwnerSuperseded;
  }
  // Absence is measured up to the last list, not up to now: a list that is read
  // rarely proves nothing about the time after it was read.
  const bool is_gone =
      owner.absent_since && internal::IsVmListFresh(state, now) &&
      *state.vm_list_at - *owner.absent_since >= kOwnerAbsenceTimeout;
  if (is_gone) {
    return release_reason::kOwnerGone;
  }
  return std::nullopt;
}

void OnHoldingsListed(reclamation_state& state,
                      const holdings_listed& event,
                      const std::string& address,
                      time_point now,
                      reclamation_effects& out) {
  for (const holding& each : event.holdings) {
    internal::RecordOwner(state, each.owner, now);
    if (const auto reason = FindReleaseReason(state, each, now)) {
      out.push_back(release_holding{event.target, address, each.id, *reason});
    }
  }
}

std::optional<time_point> NextSweep(const reclamation_state& state) {
  std::optional<time_point> next;
  for (const auto& [target, at] : state.next_sweep) {
    next = next ? std::min(*next, at) : at;
  }
  return next;
}

std::string_view ToString(release_reason reason) noexcept {
  switch (reason) {
    case release_reason::kDeadlinePassed:
      return "deadline_passed";
    case release_reason::kOwnerSuperseded:
      return "owner_superseded";
    case release_reason::kOwnerGone:
      return "owner_gone";
  }
  return "unknown";
}

}  // namespace acaciaferry
