#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

#include "acaciaferry/core/name.hpp"
#include "acaciaferry/core/time.hpp"
#include "acaciaferry/quarantine/quarantine.hpp"

namespace acaciaferry {

/** Hash of the id of a part of prompts, the same on all VMs. */
using prompt_part = std::uint64_t;

/**
 * @brief A request whose target crashed before the request's first event.
 */
struct part_crash {
  /** The process that saw the crash, and its number for it. */
  evidence_source source;
  std::uint64_t sequence{};
  target_id target;
  time_point at{};
  /** The parts of the request's prompt that other requests may share. */
  std::vector<prompt_part> parts;

  [[nodiscard]] bool operator==(const part_crash&) const = default;
};

/** Crashes that a peer has seen or heard of. */
struct part_crashes_received {
  std::vector<part_crash> crashes;
};

/** A part on which some target has begun an answer, which clears it. */
struct begun_part {
  prompt_part part{};
  /** Time since the answer began, as of sending. */
  duration age{};

  [[nodiscard]] bool operator==(const begun_part&) const = default;
};

/** Parts on which a peer's targets have begun answers. */
struct begun_parts_received {
  std::vector<begun_part> parts;
};

/**
 * @brief Evidence for parts of prompts that crash each target that begins to
 * write an answer on them.
 */
struct part_quarantine {
  struct answer_begun {
    time_point at{};
    /** Whether this VM's own request began. */
    bool own{};
    /** When this VM last told its peers. */
    time_point told_at{};
  };

  /** Latest crashes, at most 256. */
  std::vector<part_crash> crashes;
  /** When an answer last began on a part; at most 4,096 parts. */
  std::unordered_map<prompt_part, answer_begun> begun;
  /** Groups of parts, each sorted; a request with all parts of a group is
   * refused. Several parts form a group if the crashes don't tell them apart.
   */
  std::vector<std::vector<prompt_part>> refused;
  /** When a request with a refused part was last let through as a test. */
  time_point tested_at{};
  std::uint64_t next_sequence{1};
  time_point next_expiry{};
};

/** What a change of the evidence has changed. */
struct part_verdicts {
  /** Groups that are refused from now on. */
  std::vector<std::vector<prompt_part>> added;
  /** Groups that are not refused any more. */
  std::vector<std::vector<prompt_part>> dropped;
  /** Parts of received crashes on which this VM's own requests have begun; the
   * peers need to know. */
  std::vector<begun_part> to_tell;
  /** Own crashes that the peers need to know. */
  std::vector<part_crash> crashes_to_tell;
};

/**
 * @brief Records that a target crashed before a request's first event.
 * @param state The evidence.
 * @param self This process.
 * @param target The target.
 * @param parts Shared parts of the request's prompt.
 * @param now The time.
 */
part_verdicts RecordPartCrash(part_quarantine& state,
                              const evidence_source& self,
                              const target_id& target,
                              std::span<const prompt_part> parts,
                              time_point now);

/** @brief Records the first event of an own request with these parts. */
part_verdicts RecordAnswerBegun(part_quarantine& state,
                                std::span<const prompt_part> parts,
                                time_point now);

/** @brief Merges a peer's crashes; known and expired ones have no effect. */
part_verdicts MergePartCrashes(part_quarantine& state,
                               const evidence_source& self,
                               const part_crashes_received& received,
                               time_point now);

/** @brief Merges what a peer has told of begun answers. */
part_verdicts MergeBegunParts(part_quarantine& state,
                              const begun_parts_received& received,
                              time_point now);

/** @return Whether a request with these parts is refused. */
[[nodiscard]] bool HasRefusedParts(const part_quarantine& state,
                                   std::span<const prompt_part> parts);

/**
 * @brief Decides whether a request with refused parts runs as a test. One of
 * the VMs that saw the crashes lets one through every three minutes, so that a
 * part which was blamed for other failures comes back into use.
 * @return Whether the request runs.
 */
[[nodiscard]] bool TryTestParts(part_quarantine& state,
                                const evidence_source& self,
                                std::span<const prompt_part> parts,
                                time_point now);

/** The most crashes that are sent at a time; two datagrams of short parts. */
inline constexpr std::size_t kMaxPartCrashesSent = 16;

/** @return Crashes to tell a VM that joins: first those that explain a refusal,
 * then the latest; at most kMaxPartCrashesSent. */
[[nodiscard]] std::vector<part_crash> PartCrashesToTell(
    const part_quarantine& state);

/** @return The same of the crashes that this process has seen itself and that
 * are younger than `max_age`. */
[[nodiscard]] std::vector<part_crash> OwnPartCrashes(
    const part_quarantine& state,
    const evidence_source& self,
    duration max_age,
    time_point now);

/** @brief Forgets what is older than the quarantine of ten minutes. */
part_verdicts ExpireParts(part_quarantine& state, time_point now);

}  // namespace acaciaferry
