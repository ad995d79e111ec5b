#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

#include "acaciaferry/core/name.hpp"
#include "acaciaferry/core/time.hpp"
#include "acaciaferry/forwarding/load/prefill_meter.hpp"
#include "acaciaferry/forwarding/routing_table.hpp"

namespace acaciaferry::forwarding {

/** Identifies a dispatch in the whole fleet. The upper 32 bits identify the
 * process that made it. */
using dispatch_id = std::uint64_t;

/** @return The upper 32 bits of the dispatch ids of a process. */
[[nodiscard]] std::uint64_t ProcessPrefix(std::uint64_t incarnation) noexcept;

/** @return The upper 32 bits of a dispatch id, which identify the process. */
[[nodiscard]] constexpr std::uint64_t ProcessPrefixOf(
    dispatch_id key) noexcept {
  constexpr unsigned kSequenceBits = 32;
  return key >> kSequenceBits;
}

/**
 * @brief The work of one dispatch at one target: a prefill of a prompt or of a
 * part of it, a decode, or a call of a plain service.
 */
struct job {
  dispatch_id key{};
  target_id target;
  /** Time that the target needs for the prefill. */
  duration prefill_time{};
  /** Whether this is one part of a prompt that is split over several targets.
   * Engines prefill the newest part first, and parts before whole prompts. */
  bool is_part{};
  /** When the latency objective of the request is missed. */
  time_point first_event_due{};
  /** Importance of the request relative to a very short one. */
  double weight{};
  /** Whether the target generates the response. */
  bool is_decode{};
  /** Longest acceptable gap between two events; 0 for no limit. */
  duration gap_objective{};
  /** Whether a gap above the objective is predicted already, so that a further
   * one costs nothing. */
  bool gap_exceeded{};
  /** Tokens of the prompt and the expected response that the target keeps in
   * memory. */
  std::uint64_t memory_tokens{};
  /** Context length, in tokens, that adds to the time of each decode step. */
  std::uint64_t context_tokens{};
  /** When the request ends at the latest. */
  time_point deadline{};

  [[nodiscard]] bool operator==(const job&) const = default;
};

/** A prefill that a target has not finished. */
struct pending_prefill {
  dispatch_id key{};
  duration remaining{};
  bool is_part{};
  time_point first_event_due{};
  double weight{};
  /** Whether the current pass includes it. */
  bool in_pass{};
  /** When the target is predicted to finish it: with decodes, at the end of the
   * pass that includes it. */
  time_point done_at{};
};

/** A decode with a limit on the gap between its events. */
struct paced_decode {
  duration gap_objective{};
  double weight{};
};

/**
 * @brief The load of one target according to the dispatches of all VMs.
 */
struct target_load {
  std::uint32_t decodes{};
  std::uint32_t prefill_parts{};
  std::uint64_t memory_tokens{};
  std::uint64_t context_tokens{};
  /** Decodes with a gap objective that is not predicted to be missed already.
   */
  std::vector<paced_decode> paced_decodes;
  /** Whether any decode has begun, so that the engine runs in passes of several
   * steps. */
  bool has_decodes{};
  /** Time until the current pass ends; 0 without decodes. */
  duration pass_remaining{};
  /** Prefills in the order in which the target processes them. */
  std::vector<pending_prefill> prefills;

  /** @return Prefill time that is left after the current pass. */
  [[nodiscard]] duration QueuedPrefill() const noexcept;
};

/** Slots that dispatches hold or wait for. */
struct held_slots {
  std::uint32_t all{};
  /** Those of long prompts; see IsLongPrompt. */
  std::uint32_t by_long_prompts{};
};

/** The slot of a dispatch. */
struct slot_use {
  pool_id pool;
  time_point since{};
};

/** @return Whether a request of this weight is a long prompt. */
[[nodiscard]] bool IsLongPrompt(double weight) noexcept;

/**
 * @brief Tracks the unfinished dispatches of this VM and its peers and predicts
 * the load of each target from them.
 *
 * A dispatch whose end is never reported expires a while after its deadline, or
 * ends when the VM that made it is lost.
 */
class load_ledger {
 public:
  /** @brief Sets the engine properties of a target. Without them, a pass is
   * predicted to take its prefill time only. */
  void SetEngine(const target_id& id, const engine_properties& engine);
  /** @brief Sets the pool of a target, by which its slots are counted. */
  void SetPool(const target_id& id, const pool_id& pool);
  /** @brief Records that a target has sent events of a stream, which engines do
   * at the end of a pass. */
  void RecordPassEnd(const target_id& id, time_point now);
  /** @brief Adds a job. A part is prefilled at once, a whole prompt after
   * everything that is queued. */
  void Add(const job& added, time_point now);
  /** @brief Ends all jobs of a dispatch. */
  void End(dispatch_id key, time_point now);
  /**
   * @brief Ends all jobs of a process.
   * @param prefix The process, as in its dispatch ids; see ProcessPrefixOf.
   */
  void EndProcess(std::uint64_t prefix, time_point now);
  /**
   * @brief Ends the dispatches of a process that are not among its live ones,
   * except those added just now: datagrams may be reordered, so the list may be
   * older than they are.
   * @return How many dispatches were ended.
   */
  std::size_t Reconcile(std::uint64_t prefix,
                        std::span<const dispatch_id> live,
                        time_point now);
  /** @brief Removes a target that has restarted or gone, with its jobs. */
  void RemoveTarget(const target_id& id);
  /** @brief Ends the dispatches that are past their deadline by some seconds.
   */
  void Expire(time_point now);

  /**
   * @brief Predicts the load of a target.
   * @param id The target.
   * @param now The time.
   */
  [[nodiscard]] target_load Load(const target_id& id, time_point now) const;

  /**
   * @brief Measures how busy some targets are with prefill.
   * @return Prefill time that was dispatched to them in the last two seconds
   * and not given up, as a share of their time.
   */
  [[nodiscard]] double Utilization(std::span<const target* const> targets,
                                   time_point now) const {
    return prefill_meter_.Utilization(targets, now);
  }

  [[nodiscard]] std::size_t JobCount() const noexcept { return jobs_; }

  /** @return The slots that are held in a pool. */
  [[nodiscard]] held_slots SlotsOfPool(const pool_id& pool) const;
  /** @return The slots that are held at a target. */
  [[nodiscard]] held_slots SlotsOfTarget(const target_id& id) const;
  /** @return The slot that a dispatch holds or waits for. */
  [[nodiscard]] std::optional<slot_use> SlotOf(dispatch_id key) const;
  /** @return The pool of a target; null if it isn't known. */
  [[nodiscard]] const pool_id* PoolOf(const target_id& id) const;

  /** @return The dispatches of a process. */
  [[nodiscard]] std::vector<dispatch_id> DispatchesOf(
      std::uint64_t prefix) const;
  /** @return The given dispatches that this ledger doesn't contain. */
  [[nodiscard]] std::vector<dispatch_id> FindUnknown(
      std::span<const dispatch_id> keys) const;
  /** @return The jobs of some dispatches, with the prefill time that is left.
   */
  [[nodiscard]] std::vector<job> JobsOf(std::span<const dispatch_id> keys,
                                        time_point now) const;

 private:
  struct queue {
    std::vector<job> jobs;
    /** In processing order. */
    std::vector<pending_prefill> prefills;
    /** Time up to which `prefills` is simulated while there are no decodes. */
    time_point advanced_to{};
    /** Bounds of the current pass; unused while there are no decodes. */
    time_point pass_started{};
    time_point pass_ends{};
    bool runs_passes{};
    engine_properties engine;
    held_slots slots;
  };

  [[nodiscard]] static bool IsPrefilling(const queue& target_queue,
                                         dispatch_id key);
  [[nodiscard]] static bool HasDecodes(const queue& target_queue);
  [[nodiscard]] static std::vector<pending_prefill>::iterator InsertPosition(
      queue& target_queue,
      bool is_part);
  static void MarkExceededGaps(queue& target_queue);
  /** @return Prefill time of a dispatch that a target has not done. */
  [[nodiscard]] static duration UnreadPrefill(const queue& target_queue,
                                              dispatch_id key);
  [[nodiscard]] static duration RemainingPrefill(const queue& target_queue,
                                                 const job& wanted);
  static void RemovePrefills(queue& target_queue,
                             dispatch_id key,
                             time_point now);
  static duration PassTimeOf(const queue& target_queue);
  static void StartPass(queue& target_queue, time_point now);
  static void AdvancePasses(queue& target_queue, time_point now);
  static void AdvancePrefills(queue& target_queue, time_point now);
  static void Advance(queue& target_queue, time_point now);
  void CountSlot(const target_id& id, queue& target_queue, const job& added);
  /** @brief Subtracts slots of a target that are no longer held. */
  void FreeSlots(const target_id& id, queue& target_queue, held_slots freed);

  std::unordered_map<target_id, queue> queues_;
  std::unordered_map<target_id, engine_properties> engines_;
  std::unordered_map<target_id, pool_id> pools_;
  std::unordered_map<pool_id, held_slots> slots_by_pool_;
  struct dispatch {
    std::vector<target_id> targets;
    time_point added{};
    time_point deadline{};
  };

  std::unordered_map<dispatch_id, dispatch> dispatches_;
  std::size_t jobs_{};
  prefill_meter prefill_meter_;
};

/**
 * @brief Predicts how long one engine takes to prefill a whole prompt.
 *
 * The tokens at the engine's rate, plus attention over the pairs of a token and
 * an earlier one: n / rate + prefill_ms_per_m_pairs * n^2 / 2 / 10^6.
 */
[[nodiscard]] duration PrefillTime(const engine_properties& engine,
                                   std::uint64_t prompt_tokens) noexcept;

/**
 * @brief Predicts the length of a pass of an engine with decodes, without
 * prefill.
 * @param decodes Number of decodes in the pass.
 * @param context_tokens Sum of their context lengths.
 */
[[nodiscard]] duration PassTime(const engine_properties& engine,
                                std::uint32_t decodes,
                                std::uint64_t context_tokens) noexcept;

}  // namespace acaciaferry::forwarding
