#include "acaciaferry/routing/routing.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>

#include "acaciaferry/routing/load_estimate.hpp"
#include "acaciaferry/routing/sample.hpp"

namespace acaciaferry {
namespace internal {

// Engines prefill in chunks and by priority: a short prompt waits for at most
// about one chunk of a long one.
constexpr double kPrefillChunkTokens = 8'192;
// Prefill time that a target may have queued before further requests wait in
// this VM: enough to keep the engine busy until the next routing decision.
constexpr double kTargetBacklogSeconds = 0.25;
// When a candidate's queue exceeds the shortest of the sample by more than
// this, the prefill time in its score ignores its cached prefix.
constexpr double kClearDifferenceSeconds = 0.5;
// Penalty for a target in another failure domain: its score is multiplied by
// the factor, and the constant is added.
constexpr double kOtherDomainFactor = 1.25;
constexpr double kOtherDomainSeconds = 0.03;
// Fraction of the KV cache to fill; the rest is left for the growth of running
// answers.
constexpr double kKvFillLimit = 0.95;
// Keeps the conversion to integer microseconds from overflowing.
constexpr double kMaxPredictedSeconds = 1e8;

struct candidate {
  const target* candidate_target{};
  target_rates rates;
  load_estimate load;
  double queue_s{};
};

duration ClampedDuration(double value) noexcept {
  return FromSeconds(std::clamp(value, 0.0, kMaxPredictedSeconds));
}

bool IsExcluded(const routing_query& query, const target& candidate_target) {
  return candidate_target.leaving ||
         std::find(query.excluded.begin(), query.excluded.end(),
                   candidate_target.id) != query.excluded.end();
}

// Prefill tokens that the target processes before the request.
double PrefillAhead(const load_estimate& load, bool is_long) noexcept {
  return load.short_prefill_tokens +
         (is_long ? load.long_prefill_tokens
                  : std::min(load.long_prefill_tokens, kPrefillChunkTokens));
}

candidate MakeCandidate(const routing_state& state,
                        const routing_context& context,
                        const target& candidate_target,
                        bool is_long) {
  const target_rates rates = EstimateRates(context.costs, candidate_target);
  const load_estimate load = EstimateLoad(
      candidate_target, DispatchesTo(state.dispatches, candidate_target.id),
      rates, context.now);
  const double queue_s =
      PrefillAhead(load, is_long) / rates.prefill_tokens_per_s +
      ToSeconds(load.overdue);
  return {&candidate_target, rates, load, queue_s};
}

// Seconds until running requests have freed the KV-cache memory that is
// missing.
double MemoryWait(const candidate& option,
                  const request_cost& cost,
                  const pool_averages& pool) noexcept {
  const double missing =
      option.load.kv_used + cost.kv_tokens - option.load.kv_capacity;
  if (option.load.kv_capacity <= 0 || missing <= 0 ||
      option.load.kv_used <= 0) {
    return 0;
  }
  return std::min(1.0, missing / option.load.kv_used) * pool.residence_s;
}

bool HasRoom(const candidate& option,
             const request_cost& cost,
             bool is_long) noexcept {
  const load_estimate& load = option.load;
  const bool fits =
      load.kv_capacity <= 0 || load.running < 1 ||
      load.kv_used + cost.kv_tokens <= load.kv_capacity * kKvFillLimit;
  const bool is_queue_short = option.queue_s <= kTargetBacklogSeconds;
  // Prefilling two long prompts on one engine at the same time completes
  // neither of them earlier than prefilling one after the other.
  return fits && is_queue_short && !(is_long && load.long_prefill_tokens > 0);
}

// Weighted seconds by which the request and the short requests on the target
// delay each other.
double Interference(const candidate& option,
                    const request_cost& cost,
                    const policy& policy,
                    bool is_long) noexcept {
  const double rate = option.rates.prefill_tokens_per_s;
  if (!is_long) {
    return policy.short_weight *
           std::min(option.load.long_prefill_tokens, kPrefillChunkTokens) /
           rate;
  }
  // Each running short request is slowed by the chunks of the long prefill.
  const double slowed = std::min(cost.prefill_tokens, kPrefillChunkTokens) *
                        option.load.running / rate;
  return policy.short_weight * slowed;
}

routing_choice ScoreCandidate(const candidate& option,
                              const routing_query& query,
                              const routing_context& context,
                              double shortest_queue_s,
                              bool is_long) {
  const bool is_clearly_busier =
      option.queue_s > shortest_queue_s + kClearDifferenceSeconds;
  const double cached =
      query.cached.expected_tokens
          ? query.cached.expected_tokens(option.candidate_target->id)
          : 0;
  const request_cost cost =
      PredictCost(context.costs, query.request, query.work, cached);
  const request_cost scored_cost =
      is_clearly_busier
          ? PredictCost(context.costs, query.request, query.work, 0)
          : cost;
  const pool_averages pool =
      FindPoolAverages(context.costs, query.request.pool);
  const double rate = option.rates.prefill_tokens_per_s;
  const double wait = option.queue_s + MemoryWait(option, cost, pool);
  const double first = wait + cost.prefill_tokens / rate;
  const double decode = cost.decode_tokens * option.rates.decode_s_per_token;
  const double own_weight = is_long ? context.policy.long_weight : 1;
  double score = own_weight * (wait + scored_cost.prefill_tokens / rate) +
                 Interference(option, cost, context.policy, is_long);
  if (option.candidate_target->failure_domain != context.own_domain) {
    score = score * kOtherDomainFactor + kOtherDomainSeconds;
  }
  return {.target = option.candidate_target->id,
          .cost = cost,
          .prefill_ahead_tokens = PrefillAhead(option.load, is_long),
          .first_token = ClampedDuration(first),
          // On an idle target the run-time ratio is not applied, so that a pool
          // whose requests once ran late is not refused forever.
          .run_time = ClampedDuration(
              (first + decode) *
              (option.load.running < 1 ? 1 : pool.run_time_ratio)),
          .has_room = query.request.kind == request_kind::kServiceCall ||
                      HasRoom(option, cost, is_long),
          .uses_reported_rates =
              option.load.is_reported &&
              query.request.kind == request_kind::kCompletion &&
              option.candidate_target->report->prefill_tokens_per_s > 0,
          .score_s = score};
}

bool IsBetter(const routing_choice& a, const routing_choice& b) noexcept {
  return a.has_room != b.has_room ? a.has_room : a.score_s < b.score_s;
}

// Used when every sampled target is excluded: takes the first member that is
// not, starting from a random position.
void AddAnyUsable(target_sample& sample,
                  const pool_members& members,
                  const routing_query& query,
                  const routing_context& context,
                  random_engine& random) {
  const std::size_t size = members.short_only_order.size();
  const std::size_t start = DrawBelow(random, size);
  for (std::size_t i = 0; i < size; ++i) {
    const std::size_t position = members.short_only_order[(start + i) % size];
    if (!IsExcluded(query, context.targets.targets[position])) {
      sample = {};
      sample.Add(position);
      return;
    }
  }
}

bool AcceptsRequest(const pool_members& members,
                    std::size_t position,
                    bool is_long) noexcept {
  const auto first = members.short_only_order.begin() +
                     static_cast<std::ptrdiff_t>(is_long ? members.short_only
                                                         : std::size_t{0});
  return std::find(first, members.short_only_order.end(), position) !=
         members.short_only_order.end();
}

// Within one event the index may be older than the target table, so IsExcluded
// also checks whether a member is leaving.
target_sample TakeSample(const pool_members& members,
                         const routing_query& query,
                         const routing_context& context,
                         bool is_long,
                         random_engine& random) {
  target_sample drawn;
  if (query.cached.longest_holder) {
    const auto found = context.targets.index.find(*query.cached.longest_holder);
    if (found != context.targets.index.end() &&
        AcceptsRequest(members, found->second, is_long)) {
      drawn.Add(found->second);
    }
  }
  SampleMembers(drawn, members, is_long, random);
  target_sample usable;
  for (const std::size_t position : drawn.View()) {
    if (!IsExcluded(query, context.targets.targets[position])) {
      usable.Add(position);
    }
  }
  if (usable.size == 0) {
    AddAnyUsable(usable, members, query, context, random);
  }
  return usable;
}

}  // namespace internal

bool IsLongRequest(const request& request) noexcept {
  return IsLong(ClassifyLength(request.prompt_tokens));
}

bool HasLiveTarget(const routing_state& state, const pool_id& pool) noexcept {
  return state.index.pools.contains(pool);
}

void RebuildPoolIndex(routing_state& state,
                      const targets_state& targets,
                      const failure_domain_id& own_domain) {
  state.index = BuildPoolIndex(targets, own_domain);
  for (auto& [pool, members] : state.index.pools) {
    const auto mix = state.mixes.find(pool);
    if (mix != state.mixes.end()) {
      SetShortOnlyShare(members, targets, own_domain, mix->second.share);
    }
  }
}

void UpdateRequestMix(routing_state& state,
                      const routing_context& context,
                      const request& request,
                      const request_cost& cost) {
  const auto found = state.index.pools.find(request.pool);
  if (request.kind != request_kind::kCompletion ||
      found == state.index.pools.end()) {
    return;
  }
  request_mix& mix = state.mixes[request.pool];
  AddToMix(mix, cost.Total(), IsLongRequest(request), context.now);
  pool_members& members = found->second;
  double share = UpdateShortOnlyShare(mix, context.policy.short_only_floor);
  if (context.policy.long_weight > context.policy.short_weight) {
    // The measured share counts tokens, not the time for which long prompts
    // hold memory, and would leave them too few engines.
    share = mix.share = context.policy.short_only_floor;
  }
  const auto size = static_cast<double>(members.short_only_order.size());
  const auto wanted = static_cast<std::size_t>(std::ceil(share * size));
  if (std::min(wanted, members.short_only_order.size() - 1) !=
      members.short_only) {
    SetShortOnlyShare(members, context.targets, context.own_domain, share);
  }
}

std::optional<routing_choice> ChooseTarget(const routing_state& state,
                                           const routing_query& query,
                                           const routing_context& context,
                                           random_engine& random) {
  const auto found = state.index.pools.find(query.request.pool);
  if (found == state.index.pools.end()) {
    return std::nullopt;
  }
  const bool is_long = IsLongRequest(query.request);
  const target_sample sample =
      internal::TakeSample(found->second, query, context, is_long, random);
  std::array<internal::candidate, kSampledTargets> candidates;
  double shortest_queue_s = std::numeric_limits<double>::max();
  for (std::size_t i = 0; i < sample.size; ++i) {
    candidates[i] = internal::MakeCandidate(
        state, context, context.targets.targets[sample.positions[i]], is_long);
    shortest_queue_s = std::min(shortest_queue_s, candidates[i].queue_s);
  }
  std::optional<routing_choice> best;
  for (std::size_t i = 0; i < sample.size; ++i) {
    routing_choice choice = internal::ScoreCandidate(
        candidates[i], query, context, shortest_queue_s, is_long);
    if (!best || internal::IsBetter(choice, *best)) {
      best = std::move(choice);
    }
  }
  return best;
}

void RecordDispatch(routing_state& state,
                    const attempt_id& attempt,
                    const routing_choice& choice,
                    bool is_long,
                    time_point now) {
  state.dispatches[choice.target].push_back(
      {.attempt = attempt,
       .started_at = now,
       .prefill_tokens = choice.cost.prefill_tokens,
       .kv_tokens = choice.cost.kv_tokens,
       .prefill_ahead_tokens = choice.prefill_ahead_tokens,
       .predicted_first_token = choice.first_token,
       .predicted_run_time = choice.run_time,
       .is_long = is_long});
}

std::uint32_t EnginePriority(const workload& work,
                             std::uint64_t prompt_tokens,
                             const policy& policy) noexcept {
  constexpr std::uint32_t kLastPriority = 9;
  const auto rank = static_cast<std::uint32_t>(ClassifyLength(prompt_tokens));
  // Even when long prompts weigh more, they come after the shortest class,
  // whose prefill hardly delays them.
  const std::uint32_t offset =
      policy.long_weight > policy.short_weight ? std::min(rank, 1U) : rank;
  return std::min(kLastPriority, work.priority + offset);
}

}  // namespace acaciaferry
