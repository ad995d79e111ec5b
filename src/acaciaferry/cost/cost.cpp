#include "acaciaferry/cost/cost.hpp"

#include <algorithm>
#include <cmath>

namespace acaciaferry {
namespace internal {

constexpr double kDefaultPrefillTokensPerS = 10'000;
constexpr double kDefaultDecodeSecondsPerToken = 0.03;
constexpr double kMinPrefillTokensPerS = 10;
constexpr double kMaxPrefillTokensPerS = 1e7;
constexpr double kMinDecodeSecondsPerToken = 1e-5;
constexpr double kMaxDecodeSecondsPerToken = 10;
// Weight of a report when it is combined with observations: it counts as much
// as this many observed tokens.
constexpr double kReportPrefillWeightTokens = 20'000;
constexpr double kReportDecodeWeightTokens = 100;
// Observed sums above this many tokens are scaled down to half of it, so that
// old observations lose weight.
constexpr double kMaxPrefillHistoryTokens = 200'000;
constexpr double kMaxDecodeHistoryTokens = 2'000;
// The estimate differs from the report by at most this factor. Beyond it either
// the report or the observations are wrong, and the bound limits the effect.
constexpr double kMaxDisagreement = 4;
constexpr duration kMaxObservation = std::chrono::hours(1);
// The time of a shorter prefill depends on network delay and the engine's step
// time rather than on its rate.
constexpr double kMinPrefillSampleTokens = 256;
// Weight of a new sample in the averages of a pool.
constexpr double kPoolSampleWeight = 0.05;
// Observations lose half of their weight after about 35 reports.
constexpr double kDecayPerReport = 0.98;
constexpr double kRunTimeRatioDecayPerRefusal = 0.01;
constexpr double kMinRunTimeRatio = 0.5;
constexpr double kMaxRunTimeRatio = 4;

double ReportedOr(double reported, double fallback) noexcept {
  return std::isfinite(reported) && reported > 0 ? reported : fallback;
}

bool IsPlausible(double tokens, duration elapsed) noexcept {
  return std::isfinite(tokens) && tokens > 0 && elapsed > duration::zero() &&
         elapsed <= kMaxObservation;
}

// Observations of an earlier incarnation do not apply to the current one, so
// they are discarded.
observed_rates* RatesOfIncarnation(cost_state& state, const target& target) {
  observed_rates& entry = state.targets[target.id];
  if (entry.incarnation != target.incarnation) {
    entry = {.incarnation = target.incarnation};
  }
  return &entry;
}

void Accumulate(double& tokens,
                double& seconds,
                double max_tokens,
                double more_tokens,
                duration elapsed) noexcept {
  tokens += more_tokens;
  seconds += ToSeconds(elapsed);
  if (tokens > max_tokens) {
    const double keep = max_tokens / 2 / tokens;
    tokens *= keep;
    seconds *= keep;
  }
}

// Tokens per second from the report and the observations, weighted by tokens.
double BlendRate(double reported_rate,
                 double report_weight,
                 double tokens,
                 double seconds) noexcept {
  const double rate =
      (report_weight + tokens) / (report_weight / reported_rate + seconds);
  return std::clamp(rate, reported_rate / kMaxDisagreement,
                    reported_rate * kMaxDisagreement);
}

void UpdateAverage(double& mean, double sample) noexcept {
  mean += kPoolSampleWeight * (sample - mean);
}

}  // namespace internal

request_cost PredictCost(const cost_state& state,
                         const request& request,
                         const workload& work,
                         double cached_tokens) {
  const auto prompt = static_cast<double>(request.prompt_tokens);
  const auto asked = static_cast<double>(request.max_output_tokens > 0
                                             ? request.max_output_tokens
                                             : work.max_output_tokens);
  const double valid_cached =
      std::isfinite(cached_tokens) ? std::clamp(cached_tokens, 0.0, prompt) : 0;
  return {.prefill_tokens = std::max(1.0, prompt - valid_cached),
          .decode_tokens =
              asked * FindPoolAverages(state, request.pool).output_fraction,
          .kv_tokens = prompt + asked};
}

target_rates EstimateRates(const cost_state& state, const target& target) {
  using namespace internal;
  const double reported_prefill = std::clamp(
      ReportedOr(target.report ? target.report->prefill_tokens_per_s : 0,
                 kDefaultPrefillTokensPerS),
      kMinPrefillTokensPerS, kMaxPrefillTokensPerS);
  const double reported_decode = std::clamp(
      ReportedOr(target.report ? target.report->decode_ms_per_token / 1e3 : 0,
                 kDefaultDecodeSecondsPerToken),
      kMinDecodeSecondsPerToken, kMaxDecodeSecondsPerToken);
  const auto found = state.targets.find(target.id);
  if (found == state.targets.end() ||
      found->second.incarnation != target.incarnation) {
    return {reported_prefill, reported_decode};
  }
  const observed_rates& observed = found->second;
  return {BlendRate(reported_prefill, kReportPrefillWeightTokens,
                    observed.prefill_tokens, observed.prefill_seconds),
          1 / BlendRate(1 / reported_decode, kReportDecodeWeightTokens,
                        observed.decode_tokens, observed.decode_seconds)};
}

pool_averages FindPoolAverages(const cost_state& state, const pool_id& pool) {
  const auto found = state.pools.find(pool);
  return found == state.pools.end() ? pool_averages{} : found->second;
}

void ObserveFirstChunk(cost_state& state,
                       const target& target,
                       double tokens,
                       duration elapsed) {
  if (!internal::IsPlausible(tokens, elapsed)) {
    ++state.implausible_observations;
    return;
  }
  if (tokens < internal::kMinPrefillSampleTokens) {
    return;
  }
  observed_rates& entry = *internal::RatesOfIncarnation(state, target);
  internal::Accumulate(entry.prefill_tokens, entry.prefill_seconds,
                       internal::kMaxPrefillHistoryTokens, tokens, elapsed);
}

void ObserveNextChunk(cost_state& state,
                      const target& target,
                      double tokens,
                      duration elapsed) {
  // Chunks that arrive in one read have the same time. Their tokens count;
  // their time was counted with the chunk before.
  const duration checked = std::max(elapsed, duration(elapsed.count() == 0));
  if (!internal::IsPlausible(tokens, checked)) {
    ++state.implausible_observations;
    return;
  }
  observed_rates& entry = *internal::RatesOfIncarnation(state, target);
  internal::Accumulate(entry.decode_tokens, entry.decode_seconds,
                       internal::kMaxDecodeHistoryTokens, tokens, elapsed);
}

void DecayRates(cost_state& state, const target_id& target) {
  const auto found = state.targets.find(target);
  if (found == state.targets.end()) {
    return;
  }
  observed_rates& entry = found->second;
  for (double* const sum : {&entry.prefill_tokens, &entry.prefill_seconds,
                            &entry.decode_tokens, &entry.decode_seconds}) {
    *sum *= internal::kDecayPerReport;
  }
}

void DecayRunRatio(cost_state& state, const pool_id& pool) {
  const auto found = state.pools.find(pool);
  if (found != state.pools.end()) {
    double& ratio = found->second.run_time_ratio;
    ratio += internal::kRunTimeRatioDecayPerRefusal * (1 - ratio);
  }
}

void ObserveEnd(cost_state& state,
                const pool_id& pool,
                double output_fraction,
                duration predicted,
                duration actual) {
  if (predicted <= duration::zero() || !internal::IsPlausible(1, actual)) {
    ++state.implausible_observations;
    return;
  }
  pool_averages& entry = state.pools[pool];
  if (std::isfinite(output_fraction) && output_fraction > 0) {
    internal::UpdateAverage(entry.output_fraction,
                            std::min(1.0, output_fraction));
  }
  internal::UpdateAverage(
      entry.run_time_ratio,
      std::clamp(ToSeconds(actual) / ToSeconds(predicted),
                 internal::kMinRunTimeRatio, internal::kMaxRunTimeRatio));
  internal::UpdateAverage(entry.residence_s, ToSeconds(actual));
}

}  // namespace acaciaferry
