#pragma once

#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

#include "acaciaferry/core/name.hpp"
#include "acaciaferry/core/time.hpp"
#include "acaciaferry/targets/target.hpp"

namespace acaciaferry {

/** The platform's list of VMs arrived. */
struct vm_list_received {
  std::vector<vm_record> vms;
  /** Time until this VM reads the list again, if the reading succeeds. */
  duration time_to_next_read{};
};

/** A load report arrived, from the target itself or through a peer. */
struct load_report_received {
  load_report report;
};

/**
 * @brief Every target that this VM knows, ordered by id.
 */
struct targets_state {
  std::vector<target> targets;
  std::unordered_map<target_id, std::size_t> index;
};

/** Why a load report changed nothing. */
enum class report_verdict {
  kAccepted,
  kUnknownTarget,
  kSupersededIncarnation,
  kOldSequence,
  kImplausible,
};

/**
 * @brief Replaces the set of targets by those of the list, keeping the reports
 * and the leaving state of incarnations that are still there.
 * @param state The table.
 * @param vms The platform's list.
 */
void ApplyVmList(targets_state& state, std::span<const vm_record> vms);

/**
 * @brief Applies a load report.
 * @param state The table.
 * @param report The report.
 * @param now When it arrived.
 * @return Whether it was used, or why not.
 */
[[nodiscard]] report_verdict ApplyLoadReport(targets_state& state,
                                             const load_report& report,
                                             time_point now);

/**
 * @brief Notes that a peer or the list said that a target is leaving.
 * @param state The table.
 * @param id The target.
 * @param incarnation The process that is leaving; an earlier one than the
 * known one changes nothing.
 * @return Whether this was news.
 */
bool MarkLeaving(targets_state& state,
                 const target_id& id,
                 std::uint64_t incarnation);

/** @brief Marks the knowledge of every target as stale after a pause. */
void MarkStale(targets_state& state) noexcept;

/** @return The target of that id, or null. */
[[nodiscard]] const target* FindTarget(const targets_state& state,
                                       const target_id& id) noexcept;

/**
 * @brief Lists the targets of a pool that may take new work.
 * @param state The table.
 * @param pool The pool.
 * @return Pointers into the table, in id order.
 */
[[nodiscard]] std::vector<const target*> LiveTargets(const targets_state& state,
                                                     const pool_id& pool);

}  // namespace acaciaferry
