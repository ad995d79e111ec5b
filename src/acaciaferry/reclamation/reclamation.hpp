#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string_view>
#include <variant>
#include <vector>

#include "acaciaferry/core/name.hpp"
#include "acaciaferry/core/time.hpp"
#include "acaciaferry/reclamation/holding.hpp"
#include "acaciaferry/targets/target.hpp"

namespace acaciaferry {

/** What a holding may outlive its deadline by. */
inline constexpr duration kHoldingGracePeriod = std::chrono::seconds(10);
/** How long the list of VMs must not name an owner before it counts as gone. */
inline constexpr duration kOwnerAbsenceTimeout = std::chrono::seconds(30);
/** An older list of VMs proves no absence, unless this VM reads the list less
 * often: then it is one that is older than kFreshReadings readings. */
inline constexpr duration kMinVmListMaxAge = std::chrono::seconds(5);
inline constexpr int kVmListReadIntervals = 3;
/** Pause between two listings of one target. */
inline constexpr duration kSweepInterval = std::chrono::seconds(5);

using reclamation_effect = std::variant<list_holdings, release_holding>;
using reclamation_effects = std::vector<reclamation_effect>;

/**
 * @brief What is known of an entry VM that owns holdings.
 */
struct owner_record {
  /** Highest incarnation in the list of VMs or an authenticated heartbeat. */
  std::uint64_t incarnation{};
  /** Since when the list has not named it. */
  std::optional<time_point> absent_since;
};

/**
 * @brief Owners, and when each target is listed next.
 */
struct reclamation_state {
  std::map<vm_id, owner_record> owners;
  std::map<target_id, time_point> next_sweep;
  std::optional<time_point> vm_list_at;
  /** Age up to which that list is fresh. */
  duration vm_list_max_age{kMinVmListMaxAge};
};

/**
 * @brief Takes the entry VMs of a fresh list of VMs.
 * @param state What is known of the owners.
 * @param vms The whole list.
 * @param time_to_next_read Time until the list is read again; a long list is
 * read seldom.
 * @param now When the list was read.
 */
void ObserveVmList(reclamation_state& state,
                   std::span<const vm_record> vms,
                   duration time_to_next_read,
                   time_point now);

/** @brief Takes an incarnation from an authenticated message of its VM. */
void ObserveIncarnation(reclamation_state& state,
                        const vm_id& vm,
                        std::uint64_t incarnation);

/**
 * @brief Takes a VM that is known to be alive: this one, or a peer that is
 * heard. The list of VMs may not name it yet, or not any more.
 */
void ObserveAlive(reclamation_state& state,
                  const vm_id& vm,
                  std::uint64_t incarnation);

/**
 * @brief Lists the targets that are due.
 * @param state Sweep times.
 * @param responsible The targets that this VM sweeps; empty for none.
 * @param now The current time.
 * @param out Receives the effects.
 */
void SweepTargets(reclamation_state& state,
                  std::span<const target* const> assigned,
                  time_point now,
                  reclamation_effects& out);

/**
 * @brief Decides whether a holding must be released.
 * @param state What is known of the owners.
 * @param value The holding as listed.
 * @param now When it was listed.
 * @return The reason, or nothing while its owner may still use it.
 */
[[nodiscard]] std::optional<release_reason> FindReleaseReason(
    const reclamation_state& state,
    const holding& value,
    time_point now);

/**
 * @brief Releases what a target holds for nobody.
 * @param state What is known of the owners; unknown owners are recorded.
 * @param event The target's list.
 * @param address The target's address.
 * @param now When it was listed.
 * @param out Receives the effects.
 */
void OnHoldingsListed(reclamation_state& state,
                      const holdings_listed& event,
                      const std::string& address,
                      time_point now,
                      reclamation_effects& out);

/** @return When SweepTargets must run next; nothing without targets. */
[[nodiscard]] std::optional<time_point> NextSweep(
    const reclamation_state& state);

/** @return The name of the reason as metrics print it. */
[[nodiscard]] std::string_view ToString(release_reason reason) noexcept;

}  // namespace acaciaferry
