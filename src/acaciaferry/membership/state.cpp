#include "acaciaferry/membership/state.hpp"

#include <algorithm>

namespace acaciaferry {
namespace internal {

// A peer that the VM list does not name is removed after this time without a
// message or summary of it.
constexpr duration kForgetAfter = std::chrono::minutes(1);

void StartIncarnation(peer& value, std::uint64_t incarnation) {
  if (value.incarnation == incarnation) {
    return;
  }
  value.incarnation = incarnation;
  value.sequence = 0;
  value.leaving = false;
}

// A lower incarnation means a late message of an earlier process, unless the VM
// list names it: then the VM restarted after its clock was set back.
bool IsSuperseded(const peer& known, std::uint64_t incarnation) noexcept {
  return incarnation < known.incarnation &&
         incarnation != known.listed_incarnation;
}

peer* FindOrAdd(membership_state& state, const vm_id& vm) {
  const auto found = state.peers.find(vm);
  if (found != state.peers.end()) {
    return &found->second;
  }
  if (vm == state.self || state.peers.size() >= kMaxPeers) {
    return nullptr;
  }
  peer& added = state.peers[vm];
  added.vm = vm;
  return &added;
}

void MarkHeard(peer& value, time_point heard_at) {
  value.heard_at = value.phase == peer_phase::kUnheard
                       ? heard_at
                       : std::max(value.heard_at, heard_at);
  value.phase = peer_phase::kAlive;
  value.stale = false;
}

void ApplyListed(peer& known, const vm_record& entry) {
  known.listed = true;
  known.listed_incarnation = entry.incarnation;
  known.address = entry.address;
  known.failure_domain = entry.failure_domain;
  known.region = entry.region;
  if (entry.incarnation > known.incarnation) {
    StartIncarnation(known, entry.incarnation);
  }
  known.leaving = known.leaving ||
                  (entry.leaving && entry.incarnation == known.incarnation);
}

peer_phase PhaseAfter(duration silence, duration tolerance) noexcept {
  if (silence >= kDeadAfter + tolerance) {
    return peer_phase::kDead;
  }
  return silence >= kSuspectAfter + tolerance ? peer_phase::kSuspected
                                              : peer_phase::kAlive;
}

void MarkStale(membership_state& state, time_point now) {
  state.stale_until = now + kPauseThreshold;
  for (auto& [vm, known] : state.peers) {
    const bool was_present = known.phase == peer_phase::kAlive ||
                             known.phase == peer_phase::kSuspected;
    if (was_present) {
      // This process was paused, not the peer: the peer is at most suspected
      // now and has time to be heard again.
      known.heard_at = now - kSuspectAfter;
      known.stale = true;
    }
  }
}

}  // namespace internal

void ApplyPeerList(membership_state& state, std::span<const vm_record> vms) {
  for (auto& [vm, known] : state.peers) {
    known.listed = false;
  }
  for (const vm_record& entry : vms) {
    if (entry.role != vm_role::kEntry) {
      continue;
    }
    if (peer* const known = internal::FindOrAdd(state, {entry.name})) {
      internal::ApplyListed(*known, entry);
    }
  }
}

peer_verdict AcceptMessage(membership_state& state,
                           const peer_message& message,
                           time_point now) {
  if (message.vm == state.self) {
    return peer_verdict::kOwnName;
  }
  peer* const known = internal::FindOrAdd(state, message.vm);
  if (known == nullptr) {
    return peer_verdict::kTooManyPeers;
  }
  if (internal::IsSuperseded(*known, message.incarnation)) {
    return peer_verdict::kSupersededIncarnation;
  }
  const bool same_process = message.incarnation == known->incarnation;
  if (same_process && message.sequence <= known->sequence) {
    return peer_verdict::kReplayed;
  }
  internal::StartIncarnation(*known, message.incarnation);
  known->sequence = message.sequence;
  internal::MarkHeard(*known, now);
  return peer_verdict::kAccepted;
}

bool ApplyMemberSummary(membership_state& state,
                        const failure_domain_id& domain,
                        const member_summary& member,
                        time_point now) {
  peer* const known = internal::FindOrAdd(state, member.vm);
  if (known == nullptr || internal::IsSuperseded(*known, member.incarnation)) {
    return false;
  }
  const bool is_changed = known->incarnation != member.incarnation ||
                          known->callers_address != member.callers_address;
  internal::StartIncarnation(*known, member.incarnation);
  if (!known->listed) {
    known->failure_domain = domain;
  }
  known->callers_address = member.callers_address;
  known->leaving = known->leaving || member.leaving;
  internal::MarkHeard(*known, now - member.age);
  return is_changed;
}

bool UpdatePeerPhases(membership_state& state, time_point now) {
  const bool was_paused = state.last_phase_update &&
                          now - *state.last_phase_update > kPauseThreshold;
  state.last_phase_update = now;
  if (was_paused) {
    internal::MarkStale(state, now);
  }
  // A summary may be lost, so remote VMs get two additional intervals.
  const duration remote_tolerance = 2 * state.summary_interval;
  std::erase_if(state.peers, [&](const auto& item) {
    const peer& known = item.second;
    return !known.listed && known.heard_at + internal::kForgetAfter < now;
  });
  for (auto& [vm, known] : state.peers) {
    if (known.phase == peer_phase::kUnheard) {
      continue;
    }
    const bool is_local = known.failure_domain == state.failure_domain;
    known.phase = internal::PhaseAfter(
        now - known.heard_at, is_local ? duration{} : remote_tolerance);
  }
  return was_paused;
}

}  // namespace acaciaferry
