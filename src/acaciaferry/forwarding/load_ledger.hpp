#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

#include "acaciaferry/core/name.hpp"
#include "acaciaferry/core/time.hpp"
#include "acaciaferry/forwarding/routing_table.hpp"

namespace acaciaferry::forwarding {

/** Identifies a dispatch in the whole fleet: the upper half is the salt of the
 * process that made it. */
using dispatch_id = std::uint64_t;

/** @return The salt of a process's dispatches. */
[[nodiscard]] std::uint64_t ProcessPrefix(std::uint64_t incarnation) noexcept;

/** @return The part of a key that all dispatches of one process share. */
[[nodiscard]] constexpr std::uint64_t ProcessPrefixOf(
    dispatch_id key) noexcept {
  constexpr unsigned kSequenceBits = 32;
  return key >> kSequenceBits;
}

/**
 * @brief What one dispatch does at one target: a read of a prompt or of a part
 * of it, a writer, or a call of a plain service.
 */
struct job {
  dispatch_id key{};
  target_id target;
  /** Time that the target reads for it. */
  duration prefill_time{};
  /** Whether it is a part of a prompt that several targets read: engines read
   * the newest part first, and parts ahead of whole prompts. */
  bool is_part{};
  /** When the first event of the request is late. */
  time_point first_event_due{};
  /** What the request is worth, in units of a short one. */
  double weight{};
  /** Whether the target writes the answer. */
  bool is_decode{};
  /** Longest pause between two events that is on time; 0 for no bound. */
  duration gap_objective{};
  /** Whether a pause over the bound is expected already, so that a further one
   * does no harm. */
  bool gap_exceeded{};
  /** Prompt and expected answer that the target holds. */
  std::uint64_t memory_tokens{};
  /** Context, in tokens, that each step of the writer costs. */
  std::uint64_t context_tokens{};
  /** When the request ends at the latest. */
  time_point deadline{};

  [[nodiscard]] bool operator==(const job&) const = default;
};

/** A read that a target has not finished. */
struct pending_prefill {
  dispatch_id key{};
  duration remaining{};
  bool is_part{};
  time_point first_event_due{};
  double weight{};
  /** Whether the pass that runs reads it. */
  bool in_pass{};
  /** When the target is expected to finish it; beside writers, when the pass
   * that reads it ends. */
  time_point done_at{};
};

/** A writer whose events have to follow each other within a bound. */
struct paced_decode {
  duration gap_objective{};
  double weight{};
};

/**
 * @brief The load of one target as dispatches of all VMs tell it.
 */
struct target_load {
  std::uint32_t decodes{};
  std::uint32_t prefill_parts{};
  std::uint64_t memory_tokens{};
  std::uint64_t context_tokens{};
  /** Writers that have a bound on pauses. */
  std::vector<paced_decode> paced_decodes;
  /** Whether some writer has begun, so that passes are long. */
  bool has_decodes{};
  /** Time until the pass that runs ends; 0 without writers. */
  duration pass_remaining{};
  /** Reads in the order in which the target works on them. */
  std::vector<pending_prefill> prefills;

  /** @return Time that the target still reads after the pass that runs. */
  [[nodiscard]] duration QueuedPrefill() const noexcept;
};

/**
 * @brief The dispatches that are not known to have ended, of this VM and of its
 * peers. A dispatch whose end is never told is dropped a while after its
 * latest end, or with the VM that made it.
 */
class load_ledger {
 public:
  /** @brief Tells what the engine of a target is like; without it, passes take
   * the time of their reads only. */
  void SetEngine(const target_id& id, const engine_properties& engine);
  /** @brief Notes that a target has sent events of a stream, which it does at
   * the end of a pass. */
  void RecordPassEnd(const target_id& id, time_point now);
  /** @brief Adds a job. A part is read at once, a whole prompt after all that
   * the target reads. */
  void Add(const job& added, time_point now);
  /** @brief Ends all jobs of a dispatch. */
  void End(dispatch_id key, time_point now);
  /** @brief Ends all jobs of a VM's process.
   * @param salt As in the keys of its jobs; see SaltOf. */
  void EndProcess(std::uint64_t prefix, time_point now);
  /** @brief Ends the dispatches of a VM's process that are not among those
   * given, but for the newest, which may have overtaken the list.
   * @return How many dispatches were ended. */
  std::size_t Reconcile(std::uint64_t prefix,
                        std::span<const dispatch_id> live,
                        time_point now);
  /** @brief Forgets everything about a target that has restarted or gone. */
  void RemoveTarget(const target_id& id);
  /** @brief Drops the jobs that are overdue. */
  void Expire(time_point now);

  /**
   * @brief Describes a target's load.
   * @param id The target.
   * @param now The time.
   */
  [[nodiscard]] target_load Load(const target_id& id, time_point now) const;

  /**
   * @brief Tells how busy targets are with reading.
   * @param targets How many targets there are.
   * @return Reading that was dispatched in the last two seconds, as a share of
   * what the targets can read in that time.
   */
  [[nodiscard]] double Utilization(std::size_t targets, time_point now) const;

  [[nodiscard]] std::size_t JobCount() const noexcept { return jobs_; }

  /** @return The dispatches of a process. */
  [[nodiscard]] std::vector<dispatch_id> DispatchesOf(
      std::uint64_t prefix) const;
  /** @return Those of the given dispatches that are not known. */
  [[nodiscard]] std::vector<dispatch_id> FindUnknown(
      std::span<const dispatch_id> keys) const;
  /** @return The jobs of some dispatches with what is left to read. */
  [[nodiscard]] std::vector<job> JobsOf(std::span<const dispatch_id> keys,
                                        time_point now) const;

 private:
  struct queue {
    std::vector<job> jobs;
    /** In the order of work. */
    std::vector<pending_prefill> prefills;
    /** Up to when the reads are worked off while there are no writers. */
    time_point advanced_to{};
    /** Of the pass that runs; without meaning while there are no writers. */
    time_point pass_started{};
    time_point pass_ends{};
    bool runs_passes{};
    engine_properties engine;
  };

  [[nodiscard]] static bool IsPrefilling(const queue& target_queue,
                                         dispatch_id key);
  [[nodiscard]] static bool HasDecodes(const queue& target_queue);
  [[nodiscard]] static std::vector<pending_prefill>::iterator InsertPosition(
      queue& target_queue,
      bool is_part);
  static void MarkExceededGaps(queue& target_queue);
  [[nodiscard]] static duration RemainingPrefill(const queue& target_queue,
                                                 const job& of);
  static void RemovePrefills(queue& target_queue,
                             dispatch_id key,
                             time_point now);
  static duration PassTimeOf(const queue& target_queue);
  static void StartPass(queue& target_queue, time_point now);
  static void AdvancePasses(queue& target_queue, time_point now);
  static void AdvancePrefills(queue& target_queue, time_point now);
  static void Advance(queue& target_queue, time_point now);

  std::unordered_map<target_id, queue> queues_;
  std::unordered_map<target_id, engine_properties> engines_;
  struct dispatch {
    std::vector<target_id> targets;
    time_point added{};
    time_point deadline{};
  };

  std::unordered_map<dispatch_id, dispatch> dispatches_;
  std::size_t jobs_{};
  /** Time and length of the last reads. */
  std::deque<std::pair<time_point, duration>> recent_prefills_;
  duration recent_prefill_time_{};
};

/**
 * @brief Predicts how long one engine reads a whole prompt.
 *
 * Tokens at the engine's rate, and the pairs of a token with any earlier one:
 * n / rate + pairs_per_m * n^2 / 2 / 10^6.
 */
[[nodiscard]] duration PrefillTime(const engine_properties& engine,
                                   std::uint64_t prompt_tokens) noexcept;

/**
 * @brief Predicts the length of a pass of an engine with writers, without
 * reading.
 * @param writers Number of writers, the new one included.
 * @param context_tokens Sum of the context of the writers.
 */
[[nodiscard]] duration PassTime(const engine_properties& engine,
                                std::uint32_t decodes,
                                std::uint64_t context_tokens) noexcept;

}  // namespace acaciaferry::forwarding
