#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>

#include "acaciaferry/core/name.hpp"
#include "acaciaferry/core/time.hpp"
#include "acaciaferry/forwarding/admission/decayed_count.hpp"
#include "acaciaferry/forwarding/load_ledger.hpp"

namespace acaciaferry::forwarding {

/** Prompts whose callers expect the same of a pool. */
struct prompt_kind {
  pool_id pool;
  duration latency_objective{};
  duration gap_objective{};

  [[nodiscard]] auto operator<=>(const prompt_kind&) const = default;
};

/**
 * @brief Decides which prompts are refused while the engines' prefill time is
 * short, so that it is left to prompts that are worth more per second of it.
 *
 * Engine time has a price that rises with the utilization. A long prompt that
 * is not worth the price of its prefill is refused with a fixed probability.
 * One that is longer than the mean of its kind is priced like the mean: prefill
 * time grows with the square of the length and worth with the length, so that
 * the longest prompts of a kind would be refused most of the time otherwise.
 */
class prompt_price {
 public:
  /** @brief Records a prompt that has been placed or refused. */
  void Record(const engine_properties& engine,
              const prompt_kind& kind,
              std::uint64_t prompt_tokens,
              time_point now);

  /**
   * @return Whether a prompt is refused for its price.
   * @param key The dispatch that its next attempt will be. Further calls for
   * the same dispatch draw the same lot.
   * @param utilization Share of the engines' time that is in use for prefill.
   */
  [[nodiscard]] bool Refuses(const engine_properties& engine,
                             const prompt_kind& kind,
                             std::uint64_t prompt_tokens,
                             dispatch_id key,
                             double utilization,
                             time_point now) const;

  /** @return Number of kinds whose mean length is known. */
  [[nodiscard]] std::size_t KindCount() const noexcept { return kinds_.size(); }

 private:
  static constexpr double kLengthWindowS = 30;

  struct recent_lengths {
    decayed_count prompts{kLengthWindowS};
    decayed_count tokens{kLengthWindowS};
  };

  /** @return Whether a kind is known or may be added; makes room if it can. */
  [[nodiscard]] bool HasRoomFor(const prompt_kind& kind, time_point now);
  /** @return The length by which a prompt is priced. */
  [[nodiscard]] std::uint64_t PricedTokens(const prompt_kind& kind,
                                           std::uint64_t prompt_tokens,
                                           time_point now) const;

  std::map<prompt_kind, recent_lengths> kinds_;
};

}  // namespace acaciaferry::forwarding
