#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace acaciaferry::standin {

/** @brief A sequence that is being prefilled or decoded. */
struct batch_entry {
  std::string id;
  /** 0 is served first, 9 last. */
  std::uint32_t priority{};
  std::uint64_t prefill_left{};
  std::uint64_t output_left{};
};

/** @brief A part of one sequence's prefill. */
struct prefill_chunk {
  std::string id;
  std::uint64_t tokens{};
};

/** @brief The work of one step. */
struct batch_step {
  std::vector<prefill_chunk> prefills;
  /** Sequences that get one token each. */
  std::vector<std::string> decodes;
  std::uint64_t prefill_tokens{};

  [[nodiscard]] bool IsEmpty() const noexcept {
    return prefills.empty() && decodes.empty();
  }
};

/**
 * @brief Continuous batching with a token budget per step: every decoding
 * sequence gets a token, and the rest of the budget goes to prefill chunks by
 * priority and then by arrival.
 */
class batch_scheduler {
 public:
  /** @param step_tokens Budget of one step. */
  explicit batch_scheduler(std::uint64_t step_tokens)
      : step_tokens_(step_tokens) {}

  void Add(batch_entry entry);
  void Remove(const std::string& id);

  /** @return The next step's work; nothing changes until it is applied. */
  [[nodiscard]] batch_step Plan() const;

  /**
   * @brief Applies a step; sequences that were removed meanwhile are skipped.
   * @param step The plan.
   * @return The sequences that have all their output and were removed.
   */
  std::vector<std::string> Apply(const batch_step& step);

  [[nodiscard]] std::size_t Size() const noexcept { return entries_.size(); }
  [[nodiscard]] bool Contains(const std::string& id) const;
  [[nodiscard]] std::uint64_t QueuedPrefillTokens() const noexcept;

 private:
  [[nodiscard]] batch_entry* Find(const std::string& id);

  const std::uint64_t step_tokens_;
  /** By priority, then by arrival. */
  std::vector<batch_entry> entries_;
};

}  // namespace acaciaferry::standin
