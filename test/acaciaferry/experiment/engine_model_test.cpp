#include "acaciaferry/experiment/engine_model.hpp"

#include <algorithm>
#include <vector>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace acaciaferry;

namespace {

engine_stream Stream(std::uint64_t number,
                     std::uint64_t prompt,
                     std::uint32_t priority = 0) {
  return {.id = {{1, number}, 1},
          .prompt_tokens = prompt,
          .output_tokens = 20,
          .max_output_tokens = 40,
          .priority = priority,
          .blocks = {}};
}

std::vector<engine_output> RunToEnd(engine_model& engine) {
  std::vector<engine_output> outputs;
  while (engine.BeginStep()) {
    engine.EndStep(outputs);
  }
  return outputs;
}

std::size_t FirstOutputOf(const std::vector<engine_output>& outputs,
                          std::uint64_t number) {
  const auto found = std::find_if(outputs.begin(), outputs.end(),
                                  [number](const engine_output& each) {
                                    return each.id.request.sequence == number;
                                  });
  return static_cast<std::size_t>(found - outputs.begin());
}

}  // namespace

TEST_GROUP(EngineModel){};

// Guards against leaks of KV memory and against tokens computed twice or never:
// after any order of submissions, steps and cancellations no memory is
// reserved, and without cache hits each token of an uncancelled stream was
// computed once.
TEST(EngineModel, ReleasesMemoryAndComputesEachTokenOnce) {
  CHECK_TRUE(rc::check([] {
    const engine_parameters parameters;
    engine_model engine(parameters, 1);
    std::vector<engine_output> outputs;
    std::uint64_t prompts = 0;
    std::uint64_t answers = 0;
    const auto count = *rc::gen::inRange<std::uint64_t>(1, 40);
    for (std::uint64_t i = 0; i < count; ++i) {
      const auto prompt = *rc::gen::inRange<std::uint64_t>(1, 390'000);
      RC_ASSERT(engine.Submit(
          Stream(i, prompt, *rc::gen::inRange<std::uint32_t>(0, 10))));
      RC_ASSERT(engine.ReservedKvTokens() <= parameters.kv_capacity_tokens);
      if (*rc::gen::inRange(0, 4) == 0) {
        // The stream is still queued, so that none of its tokens are computed.
        RC_ASSERT(engine.Cancel({{1, i}, 1}));
        continue;
      }
      prompts += prompt;
      answers += 20;
      if (engine.BeginStep()) {
        RC_ASSERT(engine.ReservedKvTokens() + engine.CachedTokens() <=
                  parameters.kv_capacity_tokens);
        engine.EndStep(outputs);
      }
    }
    RunToEnd(engine);
    RC_ASSERT(engine.ReservedKvTokens() == 0U);
    RC_ASSERT(engine.PrefilledTokens() == prompts);
    RC_ASSERT(engine.GeneratedTokens() == answers);
  }));
}

// Guards against memory that a cancellation during a step does not release.
TEST(EngineModel, CancellingARunningStreamReleasesItsMemory) {
  engine_model engine({}, 1);
  std::vector<engine_output> outputs;
  CHECK_TRUE(engine.Submit(Stream(1, 100'000)));
  CHECK_TRUE(engine.BeginStep().has_value());
  CHECK_EQUAL(100'040U, engine.ReservedKvTokens());
  CHECK_TRUE(engine.Cancel({{1, 1}, 1}));
  engine.EndStep(outputs);
  CHECK_EQUAL(0U, engine.ReservedKvTokens());
  CHECK_FALSE(engine.BeginStep().has_value());
}

// Guards against a model that ignores priorities, with which policies that set
// them would show no difference: a short stream overtakes a running long
// prefill only when its priority is better.
TEST(EngineModel, BetterPriorityOvertakesARunningPrefill) {
  for (const std::uint32_t long_priority : {0U, 5U}) {
    engine_model engine({}, 1);
    std::vector<engine_output> outputs;
    CHECK_TRUE(engine.Submit(Stream(1, 100'000, long_priority)));
    CHECK_TRUE(engine.BeginStep().has_value());
    engine.EndStep(outputs);
    CHECK_TRUE(engine.Submit(Stream(2, 1'000, 0)));
    outputs = RunToEnd(engine);
    const bool short_first =
        FirstOutputOf(outputs, 2) < FirstOutputOf(outputs, 1);
    CHECK_EQUAL(long_priority == 5, short_first);
  }
}

// Guards against an engine that exceeds its token budget per step and so has
// more capacity than the offered loads assume.
TEST(EngineModel, StepsStayWithinTheTokenBudget) {
  engine_model engine({}, 1);
  std::vector<engine_output> outputs;
  for (std::uint64_t i = 0; i < 8; ++i) {
    CHECK_TRUE(engine.Submit(Stream(i, 5'000)));
  }
  std::uint64_t before = 0;
  while (engine.BeginStep()) {
    engine.EndStep(outputs);
    const std::uint64_t after =
        engine.PrefilledTokens() + engine.GeneratedTokens();
    // The step that completes a prefill also yields the first output token.
    const std::uint64_t first_tokens = 8;
    CHECK_TRUE(after - before <=
               engine_parameters{}.step_token_budget + first_tokens);
    before = after;
  }
  CHECK_EQUAL(8U * 5'020U, before);
}

// Guards against cache hits for prefixes that were never computed, against
// prefixes that are never found again, and against a cache that takes memory
// from running streams.
TEST(EngineModel, RepeatedPrefixIsNotComputedAgain) {
  const std::vector<std::uint64_t> blocks{11, 12, 13, 14};
  engine_model engine({}, 1);
  engine_stream first = Stream(1, 4 * 2048 + 100);
  first.blocks = blocks;
  CHECK_TRUE(engine.Submit(first));
  RunToEnd(engine);
  const std::uint64_t computed = engine.PrefilledTokens();
  CHECK_EQUAL(4U * 2048U, engine.CachedTokens());
  first.id.request.sequence = 2;
  CHECK_TRUE(engine.Submit(first));
  RunToEnd(engine);
  CHECK_EQUAL(100U, engine.PrefilledTokens() - computed);
  CHECK_TRUE(engine.Submit(Stream(3, 398'000)));
  CHECK_TRUE(engine.BeginStep().has_value());
  CHECK_EQUAL(0U, engine.CachedTokens());
}

// Guards against a reader that mistakes a truncated event list for a complete
// one: the list states the sequence number from which it is complete.
TEST(EngineModel, DroppedCacheEventsAreVisibleToReaders) {
  prefix_store store(3);
  store.Add(std::vector<std::uint64_t>{1, 2, 3, 4}, 10);
  const cache_changes changes = store.ChangesAfter(0);
  CHECK_EQUAL(2U, changes.oldest_sequence);
  CHECK_EQUAL(3U, changes.events.size());
  store.Shrink(3);
  CHECK_FALSE(store.ChangesAfter(4).events.front().added);
}
