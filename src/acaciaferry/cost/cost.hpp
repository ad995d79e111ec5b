#pragma once

#include <cstdint>
#include <unordered_map>

#include "acaciaferry/core/name.hpp"
#include "acaciaferry/core/request.hpp"
#include "acaciaferry/core/time.hpp"
#include "acaciaferry/deployment/deployment.hpp"
#include "acaciaferry/targets/target.hpp"

namespace acaciaferry {

/**
 * @brief What a request is predicted to use, in tokens.
 */
struct request_cost {
  /** Prompt tokens that no cache holds; at least one. */
  double prefill_tokens{1};
  double decode_tokens{};
  /** Memory that the request may come to hold on its target. */
  double kv_tokens{};

  /** @return The tokens that count against shares and limits. */
  [[nodiscard]] double Total() const noexcept {
    return prefill_tokens + decode_tokens;
  }
};

/**
 * @brief How fast a target works.
 */
struct target_rates {
  double prefill_tokens_per_s{};
  double decode_s_per_token{};
};

/**
 * @brief Decayed sums of what one incarnation of a target did.
 */
struct observed_rates {
  std::uint64_t incarnation{};
  double prefill_tokens{};
  double prefill_seconds{};
  double decode_tokens{};
  double decode_seconds{};
};

/**
 * @brief Decayed means over the requests of one pool.
 */
struct pool_averages {
  /** Output tokens as a fraction of the request's limit. */
  double output_fraction{1};
  /** Time from dispatch to the end, measured over predicted. */
  double run_time_ratio{1};
  /** Seconds that a request holds memory on its target. */
  double residence_s{5};
};

/**
 * @brief Learnt rates; one entry for each listed target and each pool.
 */
struct cost_state {
  std::unordered_map<target_id, observed_rates> targets;
  std::unordered_map<pool_id, pool_averages> pools;
  /** Observations that were not used because no target can behave so. */
  std::uint64_t implausible_observations{};
};

/**
 * @brief Predicts what a request uses.
 * @param state The learnt rates.
 * @param request The request.
 * @param work Its workload.
 * @param cached_tokens Prompt tokens that the target is expected to hold.
 * @return The prediction; every figure is finite and none is negative.
 */
[[nodiscard]] request_cost PredictCost(const cost_state& state,
                                       const request& request,
                                       const workload& work,
                                       double cached_tokens);

/**
 * @brief Estimates how fast a target works from its report and its past.
 * @param state The learnt rates.
 * @param target The target.
 * @return Rates above zero, within fixed bounds.
 */
[[nodiscard]] target_rates EstimateRates(const cost_state& state,
                                         const target& target);

/** @return The learnt means of a pool, or the defaults. */
[[nodiscard]] pool_averages FindPoolAverages(const cost_state& state,
                                             const pool_id& pool);

/**
 * @brief Learns from the time between a dispatch and its first chunk.
 * @param state The learnt rates.
 * @param target The target, in the incarnation that did the work.
 * @param tokens Prefill done in that time: the work ahead and the request's.
 * @param elapsed The time; an implausible one is counted and not used.
 */
void ObserveFirstChunk(cost_state& state,
                       const target& target,
                       double tokens,
                       duration elapsed);

/**
 * @brief Learns from the time between two chunks.
 * @param state The learnt rates.
 * @param target The target, in the incarnation that did the work.
 * @param tokens Tokens of the later chunk.
 * @param elapsed The time; an implausible one is counted and not used.
 */
void ObserveNextChunk(cost_state& state,
                      const target& target,
                      double tokens,
                      duration elapsed);

/**
 * @brief Learns from the end of a request.
 * @param state The learnt rates.
 * @param pool The request's pool.
 * @param output_fraction Output tokens over the request's limit; zero or less
 * when it is not known.
 * @param predicted The predicted time from dispatch to the end.
 * @param actual The measured one, or its lower bound when the request failed.
 */
void ObserveEnd(cost_state& state,
                const pool_id& pool,
                double output_fraction,
                duration predicted,
                duration actual);

/**
 * @brief Lets what was observed of a target fade; called for each new report.
 *
 * Otherwise a target that was once slow and gets no work since would stay slow
 * in the prediction for ever.
 */
void DecayRates(cost_state& state, const target_id& target);

/** @brief Moves a pool's run ratio towards 1; called for each request that was
 * refused because of it, so that refusals alone cannot keep it up. */
void DecayRunRatio(cost_state& state, const pool_id& pool);

/** @brief Forgets every target that the predicate does not name as listed. */
template <typename IsListed>
void EraseUnlistedTargets(cost_state& state, const IsListed& is_listed) {
  std::erase_if(state.targets, [&is_listed](const auto& entry) {
    return !is_listed(entry.first);
  });
}

}  // namespace acaciaferry
