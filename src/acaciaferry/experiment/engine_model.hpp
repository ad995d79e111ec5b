#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "acaciaferry/core/request_id.hpp"
#include "acaciaferry/core/time.hpp"
#include "acaciaferry/experiment/parameters.hpp"
#include "acaciaferry/experiment/prefix_store.hpp"
#include "acaciaferry/targets/target.hpp"

namespace acaciaferry {

/**
 * @brief A stream that an engine runs or queues.
 */
struct engine_stream {
  attempt_id id;
  std::uint64_t prompt_tokens{};
  /** Actual length of the answer; the entry VMs do not know it. */
  std::uint64_t output_tokens{};
  std::uint64_t max_output_tokens{};
  /** 0 runs first, larger numbers later. */
  std::uint32_t priority{};
  std::span<const std::uint64_t> blocks;

  std::uint64_t arrival{};
  std::uint64_t prefilled_tokens{};
  std::uint64_t generated_tokens{};
  std::uint64_t emitted_tokens{};
  /** Tokens of the current step: prefill tokens, or 1 while decoding. */
  std::uint64_t planned_tokens{};

  [[nodiscard]] bool IsPrefilling() const noexcept {
    return prefilled_tokens < prompt_tokens;
  }
  [[nodiscard]] std::uint64_t RequiredKvTokens() const noexcept {
    return prompt_tokens + max_output_tokens;
  }
};

/** A chunk of an answer. */
struct engine_output {
  attempt_id id;
  std::uint64_t offset{};
  std::uint64_t tokens{};
  bool is_last{};
};

/**
 * @brief A model of an engine in virtual time: continuous batching with a token
 * budget per step, chunked prefill, priorities, limited KV memory and a bounded
 * prefix cache.
 *
 * A running stream reserves KV memory for its prompt and its longest answer.
 * Streams start in the order of priority and arrival; one that does not fit
 * blocks those behind it. A running stream is never preempted, but its prefill
 * waits while streams before it use up the budget of the step.
 */
class engine_model {
 public:
  engine_model(const engine_parameters& parameters, std::uint64_t incarnation);

  /** @return Whether the stream was accepted; a rejected one did not run. */
  [[nodiscard]] bool Submit(engine_stream stream);

  /** @return Whether the stream was found; its memory is released. */
  bool Cancel(const attempt_id& id);

  /** @return Tokens that a stream has put out so far, or nothing when the
   * stream is unknown. */
  [[nodiscard]] std::optional<std::uint64_t> Generated(
      const attempt_id& id) const;

  /** @return Whether the engine runs or queues the stream. */
  [[nodiscard]] bool Contains(const attempt_id& id) const;

  /**
   * @brief Starts waiting streams and plans a step.
   * @return The step's duration, or nothing when there is no work.
   */
  [[nodiscard]] std::optional<duration> BeginStep();

  /**
   * @brief Completes the step that `BeginStep` planned.
   * @param out Receives the chunks of answers that are ready.
   */
  void EndStep(std::vector<engine_output>& out);

  /** @return A load report of the current state. */
  [[nodiscard]] load_report Report();

  /** @return Ids of all streams, running ones first. */
  [[nodiscard]] std::vector<attempt_id> StreamIds() const;

  /** @return KV tokens reserved by running streams. */
  [[nodiscard]] std::uint64_t ReservedKvTokens() const noexcept {
    return reserved_kv_tokens_;
  }
  /** @return KV tokens of cached prefixes. */
  [[nodiscard]] std::uint64_t CachedTokens() const noexcept {
    return cache_.BlockCount() * parameters_.block_tokens;
  }
  /** @return Prompt tokens computed, without those taken from the cache. */
  [[nodiscard]] std::uint64_t PrefilledTokens() const noexcept {
    return prefilled_;
  }
  /** @return Tokens generated. */
  [[nodiscard]] std::uint64_t GeneratedTokens() const noexcept {
    return generated_;
  }
  /** @return The retained cache events after a sequence number. */
  [[nodiscard]] cache_changes CacheChangesAfter(std::uint64_t sequence) const {
    return cache_.ChangesAfter(sequence);
  }

 private:
  void AdmitWaiting();
  [[nodiscard]] std::size_t MaxCachedBlocks() const noexcept;
  [[nodiscard]] double PlanStep();
  void Emit(engine_stream& stream, std::vector<engine_output>& out) const;

  engine_parameters parameters_;
  std::uint64_t incarnation_;
  std::uint64_t arrivals_{};
  std::uint64_t reports_{};
  std::uint64_t reserved_kv_tokens_{};
  std::uint64_t prefilled_{};
  std::uint64_t generated_{};
  double last_step_ms_{};
  /** Both vectors are sorted by priority, then arrival. */
  std::vector<engine_stream> running_;
  std::vector<engine_stream> waiting_;
  prefix_store cache_;
};

/**
 * @brief Engine time of a request when every step is full and no block is
 * cached.
 * @return Seconds.
 */
[[nodiscard]] double EngineSeconds(const engine_parameters& parameters,
                                   std::uint64_t prompt_tokens,
                                   std::uint64_t output_tokens) noexcept;

}  // namespace acaciaferry
