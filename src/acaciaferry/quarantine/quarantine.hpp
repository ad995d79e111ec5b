#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "acaciaferry/core/name.hpp"
#include "acaciaferry/core/time.hpp"

namespace acaciaferry {

/** A process that collects evidence: a VM and its incarnation. */
using evidence_source = std::pair<vm_id, std::uint64_t>;

/**
 * @brief What one process knows against one request.
 */
struct suspect_report {
  std::uint64_t fingerprint{};
  evidence_source source;
  /** Grows with each change by the source; a higher one replaces a lower. */
  std::uint64_t version{};
  /** Targets that failed while they ran the request; zero clears it. */
  std::uint32_t crashes{};
  /** Sum over the crashes of 1 / requests in flight on that target. */
  double weight{};
  /** Time since the last change, at the moment of sending. */
  duration age{};

  [[nodiscard]] bool operator==(const suspect_report&) const = default;
};

/** A peer told its suspects. */
struct suspect_reports_received {
  std::vector<suspect_report> reports;
};

/**
 * @brief The evidence of one source, as this VM has it.
 */
struct crash_evidence {
  std::uint64_t version{};
  std::uint32_t crashes{};
  double weight{};
  time_point changed_at{};
};

/**
 * @brief Evidence by fingerprint and source; at most 4,096 fingerprints with
 * at most 64 sources each.
 */
struct quarantine_state {
  std::unordered_map<std::uint64_t, std::map<evidence_source, crash_evidence>>
      suspects;
  /** Higher than every version that this process has used. */
  std::uint64_t next_version{1};
  /** When old evidence is next looked for. */
  time_point next_expiry{};
};

/**
 * @brief Records that a target failed while it ran a request.
 * @param state The evidence.
 * @param self This process.
 * @param fingerprint The request.
 * @param weight Share of the request, with its copies, in the requests of
 * this VM on that target; above 0, at most 1.
 * @param now The time.
 */
void RecordCrash(quarantine_state& state,
                 const evidence_source& self,
                 std::uint64_t fingerprint,
                 double weight,
                 time_point now);

/** @brief Clears a request that completed. */
void RecordCompletion(quarantine_state& state,
                      const evidence_source& self,
                      std::uint64_t fingerprint,
                      time_point now);

/**
 * @brief Merges what a peer knows; repeated and reordered reports change
 * nothing.
 * @param state The evidence.
 * @param self This process.
 * @param heard The peer's reports.
 * @param now The time of arrival.
 * @return Whether any report was new.
 */
bool MergeSuspects(quarantine_state& state,
                   const evidence_source& self,
                   const suspect_reports_received& received,
                   time_point now);

/** @return Whether any target failed on the request and it has not completed
 * since. */
[[nodiscard]] bool IsSuspect(const quarantine_state& state,
                             std::uint64_t fingerprint,
                             time_point now);

/**
 * @brief Tells whether a request is refused.
 * @return The time until it is accepted again, or nothing when it may run.
 */
[[nodiscard]] std::optional<duration> RemainingQuarantine(
    const quarantine_state& state,
    std::uint64_t fingerprint,
    time_point now);

/**
 * @brief Lists suspects to tell peers, those of all sources.
 * @param state The evidence.
 * @param limit Largest number of reports.
 * @param now The time of sending.
 * @return The latest changes first.
 */
[[nodiscard]] std::vector<suspect_report> LatestSuspectReports(
    const quarantine_state& state,
    std::size_t limit,
    time_point now);

/** @brief Forgets evidence that is older than the quarantine. */
void ExpireSuspects(quarantine_state& state, time_point now);

}  // namespace acaciaferry
