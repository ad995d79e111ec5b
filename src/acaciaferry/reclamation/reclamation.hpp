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

/** How long after its deadline a holding is released. */
inline constexpr duration kHoldingGracePeriod = std::chrono::seconds(10);
/** How long an owner must be missing from the VM list before it counts as gone.
 */
inline constexpr duration kOwnerAbsenceTimeout = std::chrono::seconds(30);
/** A VM list proves absence up to an age of kVmListReadIntervals times the
 * interval at which it is read, but at least up to kMinVmListMaxAge. */
inline constexpr duration kMinVmListMaxAge = std::chrono::seconds(5);
inline constexpr int kVmListReadIntervals = 3;
/** Interval between two listings of one target's holdings. */
inline constexpr duration kSweepInterval = std::chrono::seconds(5);

using reclamation_effect = std::variant<list_holdings, release_holding>;
using reclamation_effects = std::vector<reclamation_effect>;

/**
 * @brief An entry VM that owns holdings.
 */
struct owner_record {
  /** Highest incarnation seen in the VM list or in an authenticated heartbeat.
   */
  std::uint64_t incarnation{};
  /** Since when it has been missing from the VM list. */
  std::optional<time_point> absent_since;
};

/**
 * @brief The known owners, and when each target's holdings are listed next.
 */
struct reclamation_state {
  std::map<vm_id, owner_record> owners;
  std::map<target_id, time_point> next_sweep;
  std::optional<time_point> vm_list_at;
  /** Maximum age at which the VM list proves absence. */
  duration vm_list_max_age{kMinVmListMaxAge};
};

/**
 * @brief Updates the owners from a newly read VM list.
 * @param state The known owners.
 * @param vms The complete list.
 * @param time_to_next_read Time until the list is read again; a long list is
 * read rarely.
 * @param now When the list was read.
 */
void ObserveVmList(reclamation_state& state,
                   std::span<const vm_record> vms,
                   duration time_to_next_read,
                   time_point now);

/** @brief Records the incarnation in an authenticated message from a VM. */
void ObserveIncarnation(reclamation_state& state,
                        const vm_id& vm,
                        std::uint64_t incarnation);

/**
 * @brief Records that a VM is alive: this one, or a peer that sends messages.
 * The VM list may not contain it yet, or no longer.
 */
void ObserveAlive(reclamation_state& state,
                  const vm_id& vm,
                  std::uint64_t incarnation);

/**
 * @brief Requests the holdings of the targets that are due.
 * @param state The next sweep times.
 * @param assigned The targets that this VM is responsible for; may be empty.
 * @param now The current time.
 * @param out The effects are appended to it.
 */
void SweepTargets(reclamation_state& state,
                  std::span<const target* const> assigned,
                  time_point now,
                  reclamation_effects& out);

/**
 * @brief Decides whether and why a holding must be released.
 * @param state The known owners.
 * @param value The holding as listed.
 * @param now When it was listed.
 * @return The reason, or nothing while the owner may still use the holding.
 */
[[nodiscard]] std::optional<release_reason> FindReleaseReason(
    const reclamation_state& state,
    const holding& value,
    time_point now);

/**
 * @brief Releases the listed holdings that no live owner uses.
 * @param state The known owners; unknown owners are recorded.
 * @param event The target's list of holdings.
 * @param address The target's address.
 * @param now When it was listed.
 * @param out The effects are appended to it.
 */
void OnHoldingsListed(reclamation_state& state,
                      const holdings_listed& event,
                      const std::string& address,
                      time_point now,
                      reclamation_effects& out);

/** @return When SweepTargets must be called next; nothing without targets. */
[[nodiscard]] std::optional<time_point> NextSweep(
    const reclamation_state& state);

/** @return The name of the reason in metrics. */
[[nodiscard]] std::string_view ToString(release_reason reason) noexcept;

}  // namespace acaciaferry
