#pragma once

#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

#include "acaciaferry/core/name.hpp"
#include "acaciaferry/core/time.hpp"
#include "acaciaferry/targets/target.hpp"

namespace acaciaferry {

/** The platform's VM list arrived. */
struct vm_list_received {
  std::vector<vm_record> vms;
  /** Time until this VM reads the list again, unless that fails. */
  duration time_to_next_read{};
};

/** A load report arrived, directly from the target or relayed by a peer. */
struct load_report_received {
  load_report report;
};

/**
 * @brief All known targets, ordered by id.
 */
struct targets_state {
  std::vector<target> targets;
  std::unordered_map<target_id, std::size_t> index;
};

/** Whether a load report was applied, or why not. */
enum class report_verdict {
  kAccepted,
  kUnknownTarget,
  kSupersededIncarnation,
  kOldSequence,
  kImplausible,
};

/**
 * @brief Replaces the targets by those in the VM list. Targets that remain keep
 * their report and leaving state, unless they have not reported yet and the
 * listed incarnation differs.
 * @param state The table.
 * @param vms The platform's VM list.
 */
void ApplyVmList(targets_state& state, std::span<const vm_record> vms);

/**
 * @brief Applies a load report.
 * @param state The table.
 * @param report The report.
 * @param now When it arrived.
 * @return Whether the report was applied, or why not.
 */
[[nodiscard]] report_verdict ApplyLoadReport(targets_state& state,
                                             const load_report& report,
                                             time_point now);

/**
 * @brief Marks a target as leaving, as announced by a peer or the VM list.
 * @param state The table.
 * @param id The target.
 * @param incarnation The incarnation that is leaving; one earlier than the
 * known one has no effect.
 * @return Whether the target's state changed.
 */
bool MarkLeaving(targets_state& state,
                 const target_id& id,
                 std::uint64_t incarnation);

/** @brief Marks the state of all targets as stale, after this process was
 * paused. */
void MarkStale(targets_state& state) noexcept;

/** @return The target with that id, or null. */
[[nodiscard]] const target* FindTarget(const targets_state& state,
                                       const target_id& id) noexcept;

/**
 * @brief Lists the targets of a pool that may take new requests.
 * @param state The table.
 * @param pool The pool.
 * @return Pointers into the table, in id order.
 */
[[nodiscard]] std::vector<const target*> LiveTargets(const targets_state& state,
                                                     const pool_id& pool);

}  // namespace acaciaferry
