#include "acaciaferry/cost/cost.hpp"

#include <cmath>
#include <cstdint>
#include <limits>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace acaciaferry;

namespace {

target Engine(double prefill, double decode_ms) {
  target result;
  result.id.value = "e1";
  result.incarnation = 1;
  result.report = load_report{.prefill_tokens_per_s = prefill,
                              .decode_ms_per_token = decode_ms};
  return result;
}

}  // namespace

TEST_GROUP(Cost){};

// Guards against one implausible report or measurement that makes a prediction
// infinite, negative or zero permanently.
TEST(Cost, RatesStayWithinBoundsWhateverIsObserved) {
  CHECK_TRUE(rc::check(
      [](const std::vector<std::tuple<double, std::int64_t, bool>>& observed,
         double prefill, double decode) {
        cost_state state;
        const target engine = Engine(prefill, decode);
        for (const auto& [tokens, microseconds, is_first] : observed) {
          const duration elapsed(microseconds);
          is_first ? ObserveFirstChunk(state, engine, tokens, elapsed)
                   : ObserveNextChunk(state, engine, tokens, elapsed);
          ObserveEnd(state, {"m"}, tokens, elapsed, duration(1'000));
        }
        const target_rates rates = EstimateRates(state, engine);
        RC_ASSERT(std::isfinite(rates.prefill_tokens_per_s));
        RC_ASSERT(rates.prefill_tokens_per_s > 0);
        RC_ASSERT(std::isfinite(rates.decode_s_per_token));
        RC_ASSERT(rates.decode_s_per_token > 0);
        const pool_averages pool = FindPoolAverages(state, {"m"});
        RC_ASSERT(pool.output_fraction >= 0 && pool.output_fraction <= 1);
        RC_ASSERT(pool.run_time_ratio >= 0.5 && pool.run_time_ratio <= 4);
        RC_ASSERT(std::isfinite(pool.residence_s) && pool.residence_s > 0);
      }));
}

// Guards against predictions that keep following a wrong or missing report
// although observations show another rate.
TEST(Cost, LearnsTheRateThatTheTargetShows) {
  for (const double reported : {0.0, 5'000.0, 20'000.0}) {
    cost_state state;
    const target engine = Engine(reported, 30);
    for (int i = 0; i < 200; ++i) {
      ObserveFirstChunk(state, engine, 8'000, std::chrono::seconds(1));
      ObserveNextChunk(state, engine, 1, std::chrono::milliseconds(60));
    }
    const target_rates rates = EstimateRates(state, engine);
    CHECK_TRUE(std::abs(rates.prefill_tokens_per_s / 8'000 - 1) < 0.2);
    CHECK_TRUE(std::abs(rates.decode_s_per_token / 0.06 - 1) < 0.2);
  }
}

// Guards against observations of one incarnation being used for the next, and
// against a target that was slow once and is avoided forever.
TEST(Cost, DropsSupersededIncarnationsAndDecaysOldWork) {
  cost_state state;
  target engine = Engine(10'000, 30);
  for (int i = 0; i < 100; ++i) {
    ObserveFirstChunk(state, engine, 10'000, std::chrono::seconds(4));
  }
  CHECK_TRUE(EstimateRates(state, engine).prefill_tokens_per_s < 4'000);
  target restarted = engine;
  restarted.incarnation = 2;
  DOUBLES_EQUAL(10'000, EstimateRates(state, restarted).prefill_tokens_per_s,
                1e-6);
  for (int i = 0; i < 500; ++i) {
    DecayRates(state, engine.id);
  }
  DOUBLES_EQUAL(10'000, EstimateRates(state, engine).prefill_tokens_per_s, 10);
}

// Guards against implausible measurements, as after a clock step, that are used
// or not counted.
TEST(Cost, CountsImplausibleMeasurements) {
  cost_state state;
  const target engine = Engine(10'000, 30);
  ObserveFirstChunk(state, engine, 8'000, duration(-5));
  ObserveNextChunk(state, engine, std::nan(""), duration(5));
  ObserveEnd(state, {"m"}, 1, duration(0), duration(5));
  CHECK_EQUAL(3U, state.implausible_observations);
  CHECK_TRUE(state.targets.empty());
  CHECK_TRUE(state.pools.empty());
}

// Guards against a cached prefix that is longer than the prompt, or not a
// number, and makes the cost zero or negative.
TEST(Cost, CachedPrefixNeverExceedsThePrompt) {
  CHECK_TRUE(rc::check([](std::uint32_t prompt, double cached) {
    request asked;
    asked.prompt_tokens = prompt;
    asked.max_output_tokens = 10;
    const request_cost cost = PredictCost({}, asked, {}, cached);
    RC_ASSERT(cost.prefill_tokens >= 1);
    RC_ASSERT(cost.prefill_tokens <= std::max(1.0, double{1} * prompt));
    RC_ASSERT(cost.kv_tokens == double{1} * prompt + 10);
  }));
}
