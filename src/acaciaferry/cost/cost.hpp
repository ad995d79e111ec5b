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
 * @brief Predicted cost of a request, in tokens.
 */
struct request_cost {
  /** Prompt tokens that are not cached; at least one. */
  double prefill_tokens{1};
  double decode_tokens{};
  /** KV-cache memory that the request may hold on its target at most. */
  double kv_tokens{};

  /** @return The tokens that count towards workspace limits and shares. */
  [[nodiscard]] double Total() const noexcept {
    return prefill_tokens + decode_tokens;
  }
};

/**
 * @brief Processing rates of a target.
 */
struct target_rates {
  double prefill_tokens_per_s{};
  double decode_s_per_token{};
};

/**
 * @brief Decayed sums of the work observed on one incarnation of a target.
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
  /** Output tokens as a fraction of the request's output limit. */
  double output_fraction{1};
  /** Ratio of the measured to the predicted time from dispatch to the end of
   * the answer. */
  double run_time_ratio{1};
  /** Seconds for which a request holds memory on its target. */
  double residence_s{5};
};

/**
 * @brief Observed rates by target and averages by pool.
 */
struct cost_state {
  std::unordered_map<target_id, observed_rates> targets;
  std::unordered_map<pool_id, pool_averages> pools;
  /** Number of observations that were discarded as implausible. */
  std::uint64_t implausible_observations{};
};

/**
 * @brief Predicts the cost of a request.
 * @param state The observations.
 * @param request The request.
 * @param work Its workload.
 * @param cached_tokens Prompt tokens that the target is expected to have
 * cached.
 * @return The prediction; all values are finite and none is negative.
 */
[[nodiscard]] request_cost PredictCost(const cost_state& state,
                                       const request& request,
                                       const workload& work,
                                       double cached_tokens);

/**
 * @brief Estimates a target's rates from its report and from observations.
 * @param state The observations.
 * @param target The target.
 * @return Positive rates within fixed bounds.
 */
[[nodiscard]] target_rates EstimateRates(const cost_state& state,
                                         const target& target);

/** @return The averages of a pool, or the defaults. */
[[nodiscard]] pool_averages FindPoolAverages(const cost_state& state,
                                             const pool_id& pool);

/**
 * @brief Updates the prefill rate from the time between a dispatch and its
 * first chunk.
 * @param state The observations.
 * @param target The target, with the incarnation that did the work.
 * @param tokens Prefill tokens processed in that time: those ahead of the
 * request and its own.
 * @param elapsed The time; an implausible one is only counted.
 */
void ObserveFirstChunk(cost_state& state,
                       const target& target,
                       double tokens,
                       duration elapsed);

/**
 * @brief Updates the decode rate from the time between two chunks.
 * @param state The observations.
 * @param target The target, with the incarnation that did the work.
 * @param tokens Tokens of the later of the two chunks.
 * @param elapsed The time; an implausible one is only counted.
 */
void ObserveNextChunk(cost_state& state,
                      const target& target,
                      double tokens,
                      duration elapsed);

/**
 * @brief Updates a pool's averages when a request has ended.
 * @param state The observations.
 * @param pool The request's pool.
 * @param output_fraction Output tokens divided by the request's output limit;
 * zero or less when unknown.
 * @param predicted The predicted time from dispatch to the end of the answer.
 * @param actual The measured time, or a lower bound of it when the request
 * failed.
 */
void ObserveEnd(cost_state& state,
                const pool_id& pool,
                double output_fraction,
                duration predicted,
                duration actual);

/**
 * @brief Decays the observations of a target; called for each new report.
 *
 * Otherwise a target that was slow once and has received no requests since
 * would be predicted to be slow forever.
 */
void DecayRates(cost_state& state, const target_id& target);

/** @brief Moves a pool's run-time ratio towards 1. Called for each request that
 * was refused because of it: refused requests yield no new measurements, so
 * the ratio would never fall again. */
void DecayRunRatio(cost_state& state, const pool_id& pool);

/** @brief Erases the observations of targets for which the predicate is false.
 */
template <typename IsListed>
void EraseUnlistedTargets(cost_state& state, const IsListed& is_listed) {
  std::erase_if(state.targets, [&is_listed](const auto& entry) {
    return !is_listed(entry.first);
  });
}

}  // namespace acaciaferry
