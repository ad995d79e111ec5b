#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <unordered_map>

#include "acaciaferry/core/name.hpp"
#include "acaciaferry/core/random.hpp"
#include "acaciaferry/core/request.hpp"
#include "acaciaferry/cost/cost.hpp"
#include "acaciaferry/deployment/deployment.hpp"
#include "acaciaferry/routing/dispatch.hpp"
#include "acaciaferry/routing/pool_index.hpp"
#include "acaciaferry/routing/request_mix.hpp"
#include "acaciaferry/targets/state.hpp"

namespace acaciaferry {

/**
 * @brief Routing state: the live targets by pool, the request mix of each
 * pool, and this VM's dispatches.
 */
struct routing_state {
  pool_index index;
  std::unordered_map<pool_id, request_mix> mixes;
  own_dispatches dispatches;
};

/**
 * @brief What the prefix-cache index knows about one prompt.
 */
struct cached_prefix {
  /** Prompt tokens expected in the target's cache, weighted by how certain that
   * is. */
  std::function<double(const target_id&)> expected_tokens;
  /** The target that is expected to have the longest cached prefix. */
  std::optional<target_id> longest_holder;
};

/**
 * @brief A request to be routed.
 */
struct routing_query {
  const acaciaferry::request& request;
  const workload& work;
  /** Targets on which earlier attempts of the request failed. */
  std::span<const target_id> excluded;
  const cached_prefix& cached;
};

/**
 * @brief State of other modules that routing reads.
 */
struct routing_context {
  const targets_state& targets;
  const cost_state& costs;
  const acaciaferry::policy& policy;
  const failure_domain_id& own_domain;
  time_point now;
};

/**
 * @brief A chosen target and the prediction for it.
 */
struct routing_choice {
  target_id target;
  request_cost cost;
  /** Prefill tokens estimated to be ahead of the request. */
  double prefill_ahead_tokens{};
  duration first_token{};
  /** From the dispatch to the end of the answer. */
  duration run_time{};
  /** Whether the target has room now, always true for a service call; if not,
   * the request waits in this VM. */
  bool has_room{};
  /** Whether the request is a completion and the target has recently reported
   * its prefill rate. Otherwise the prediction is a guess and must not cause a
   * refusal. */
  bool uses_reported_rates{};
  double score_s{};
};

/** @return Whether the request's prompt is long enough to delay short ones. */
[[nodiscard]] bool IsLongRequest(const request& request) noexcept;

/** @return Whether the pool has a target that may take new requests. */
[[nodiscard]] bool HasLiveTarget(const routing_state& state,
                                 const pool_id& pool) noexcept;

/**
 * @brief Rebuilds the index after a change of the target table.
 * @param state The routing state.
 * @param targets The target table.
 * @param own_domain This VM's failure domain.
 */
void RebuildPoolIndex(routing_state& state,
                      const targets_state& targets,
                      const failure_domain_id& own_domain);

/**
 * @brief Adds an arrived request to its pool's mix and adjusts the number of
 * short-only members.
 */
void UpdateRequestMix(routing_state& state,
                      const routing_context& context,
                      const request& request,
                      const request_cost& cost);

/**
 * @brief Chooses the best of a few sampled targets.
 * @param state The pool index and this VM's dispatches.
 * @param query The request.
 * @param context The targets, their rates and the policy.
 * @param random Source of the sample.
 * @return The choice, or nothing when every live target is excluded.
 */
[[nodiscard]] std::optional<routing_choice> ChooseTarget(
    const routing_state& state,
    const routing_query& query,
    const routing_context& context,
    random_engine& random);

/** @brief Records an attempt that was started on the chosen target. */
void RecordDispatch(routing_state& state,
                    const attempt_id& attempt,
                    const routing_choice& choice,
                    bool is_long,
                    time_point now);

/**
 * @brief Returns the priority at the engine, from 0 (first) to 9.
 * @param work The workload, which has the base priority.
 * @param prompt_tokens Longer length classes come later.
 * @param policy When long prompts weigh more, their priority is lowered less.
 * @return The priority.
 */
[[nodiscard]] std::uint32_t EnginePriority(const workload& work,
                                           std::uint64_t prompt_tokens,
                                           const policy& policy) noexcept;

}  // namespace acaciaferry
