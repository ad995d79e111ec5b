#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

#include "acaciaferry/core/name.hpp"
#include "acaciaferry/core/time.hpp"
#include "acaciaferry/quarantine/request_crash.hpp"

namespace acaciaferry {

/** The process that collected evidence: a VM and its incarnation. */
using evidence_source = std::pair<vm_id, std::uint64_t>;

/**
 * @brief Crash evidence of one process against one request.
 */
struct suspect_report {
  std::uint64_t fingerprint{};
  evidence_source source;
  /** Grows with each change by the source; a higher version replaces a lower
   * one. */
  std::uint64_t version{};
  /** Number of targets that failed while they ran the request; zero clears the
   * evidence. */
  std::uint32_t crashes{};
  /** Sum of the weights of these crashes; see RecordCrash. */
  double weight{};
  /** Time since the last change, as of sending. */
  duration age{};
  /** Whether `listed` has the crashes; not in older releases. */
  bool lists_crashes{};
  /** The crashes one by one, if the source lists them. */
  std::vector<request_crash> listed{};

  [[nodiscard]] bool operator==(const suspect_report&) const = default;
};

/** A peer's suspect reports arrived. */
struct suspect_reports_received {
  std::vector<suspect_report> reports;
};

/**
 * @brief The evidence of one source, as known to this VM.
 */
struct crash_evidence {
  std::uint64_t version{};
  std::uint32_t crashes{};
  double weight{};
  time_point changed_at{};
  /** See suspect_report. */
  bool lists_crashes{};
  std::vector<request_crash> listed{};
};

/**
 * @brief Evidence by fingerprint and source; at most 4,096 fingerprints with
 * at most 64 sources each.
 */
struct quarantine_state {
  std::unordered_map<std::uint64_t, std::map<evidence_source, crash_evidence>>
      suspects;
  /** When this process last let a refused request through as a test. */
  std::unordered_map<std::uint64_t, time_point> tested_at;
  /** The next version for this process's own evidence. */
  std::uint64_t next_version{1};
  /** When expired evidence is removed next. */
  time_point next_expiry{};
};

/**
 * @brief Records that a target failed while it ran a request.
 * @param state The evidence.
 * @param self This process.
 * @param fingerprint The request's fingerprint.
 * @param weight Fraction of this VM's requests on that target that have this
 * fingerprint; above 0, at most 1.
 * @param now The time.
 */
void RecordCrash(quarantine_state& state,
                 const evidence_source& self,
                 std::uint64_t fingerprint,
                 double weight,
                 time_point now);

/**
 * @brief Records that a target went while it ran a request.
 * @param state The evidence.
 * @param self This process.
 * @param fingerprint The request's fingerprint.
 * @param share Fraction of this VM's requests on that target that have this
 * fingerprint; above 0, at most 1.
 * @param crash The target, and when it went.
 */
void RecordCrash(quarantine_state& state,
                 const evidence_source& self,
                 std::uint64_t fingerprint,
                 double share,
                 const request_crash& crash);

/** @brief Clears the evidence against a request that completed. */
void RecordCompletion(quarantine_state& state,
                      const evidence_source& self,
                      std::uint64_t fingerprint,
                      time_point now);

/**
 * @brief Merges a peer's reports; repeated and outdated ones have no effect.
 * @param state The evidence.
 * @param self This process.
 * @param received The peer's reports.
 * @param now The time of arrival.
 * @return Whether any report changed the evidence.
 */
bool MergeSuspects(quarantine_state& state,
                   const evidence_source& self,
                   const suspect_reports_received& received,
                   time_point now);

/** @return Whether a target failed while it ran the request and the request has
 * not completed since. */
[[nodiscard]] bool IsSuspect(const quarantine_state& state,
                             std::uint64_t fingerprint,
                             time_point now);

/** @return Whether a further crash may cause the request to be refused, or it
 * is. */
[[nodiscard]] bool IsSuspectAgain(const quarantine_state& state,
                                  std::uint64_t fingerprint,
                                  time_point now);

/**
 * @brief Returns how long a request is still refused.
 * @return The remaining time, or nothing when the request may run.
 */
[[nodiscard]] std::optional<duration> RemainingQuarantine(
    const quarantine_state& state,
    std::uint64_t fingerprint,
    time_point now);

/**
 * @brief Tells whether a request would be refused if some further targets had
 * gone.
 * @param state The evidence.
 * @param fingerprint The request's fingerprint.
 * @param unsettled Targets that may have gone.
 * @param now The time.
 */
[[nodiscard]] bool WouldBeRefused(const quarantine_state& state,
                                  std::uint64_t fingerprint,
                                  std::span<const request_crash> unsettled,
                                  time_point now);

/**
 * @brief Returns when a refused request may run as a test on this VM, so that
 * one that was blamed for other failures comes back into use.
 * @return The remaining time, not above zero if it may run now; nothing if it
 * has failed all tests, or can't be tested.
 */
[[nodiscard]] std::optional<duration> TimeToTest(const quarantine_state& state,
                                                 const evidence_source& self,
                                                 std::uint64_t fingerprint,
                                                 time_point now);

/** @brief Records that a refused request was let through as a test. */
void RecordTest(quarantine_state& state,
                std::uint64_t fingerprint,
                time_point now);

/**
 * @brief Lists the suspect reports to tell peers: those of refused requests
 * first, then the latest.
 * @param state The evidence.
 * @param limit Maximum number of reports.
 * @param max_age Reports that are older are left out, unless their request is
 * refused.
 * @param now The time of sending.
 */
[[nodiscard]] std::vector<suspect_report> SuspectReportsToTell(
    const quarantine_state& state,
    std::size_t limit,
    duration max_age,
    time_point now);

/** @return The reports of all sources on one request. */
[[nodiscard]] std::vector<suspect_report> SuspectReportsOn(
    const quarantine_state& state,
    std::uint64_t fingerprint,
    time_point now);

/**
 * @brief Lists the suspect reports of all sources for sending to peers.
 * @param state The evidence.
 * @param limit Maximum number of reports.
 * @param now The time of sending.
 * @return The reports, most recent change first.
 */
[[nodiscard]] std::vector<suspect_report> LatestSuspectReports(
    const quarantine_state& state,
    std::size_t limit,
    time_point now);

/** @brief Removes evidence that is older than the quarantine. */
void ExpireSuspects(quarantine_state& state, time_point now);

}  // namespace acaciaferry
