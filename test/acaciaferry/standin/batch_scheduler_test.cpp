#include "acaciaferry/standin/batch_scheduler.hpp"

#include <CppUTest/TestHarness.h>

using namespace acaciaferry::standin;

namespace {

batch_entry Entry(std::string id,
                  std::uint32_t priority,
                  std::uint64_t prefill,
                  std::uint64_t output) {
  return {std::move(id), priority, prefill, output};
}

}  // namespace

TEST_GROUP(BatchScheduler){};

// Guards against a long prefill that takes the whole step from streams that
// are being decoded.
TEST(BatchScheduler, DecodingGoesOnDuringALongPrefill) {
  batch_scheduler batch(100);
  batch.Add(Entry("short", 5, 10, 3));
  batch.Apply(batch.Plan());
  batch.Add(Entry("long", 0, 1'000, 1));
  const batch_step step = batch.Plan();
  CHECK_EQUAL(1, step.decodes.size());
  CHECK_EQUAL(std::string("short"), step.decodes[0]);
  CHECK_EQUAL(99, step.prefill_tokens);
}

// Guards against ignored priorities and against overtaking within one.
TEST(BatchScheduler, PrefillGoesByPriorityThenArrival) {
  batch_scheduler batch(100);
  batch.Add(Entry("late", 5, 80, 1));
  batch.Add(Entry("later", 5, 80, 1));
  batch.Add(Entry("first", 0, 60, 1));
  const batch_step step = batch.Plan();
  CHECK_EQUAL(2, step.prefills.size());
  CHECK_EQUAL(std::string("first"), step.prefills[0].id);
  CHECK_EQUAL(60, step.prefills[0].tokens);
  CHECK_EQUAL(std::string("late"), step.prefills[1].id);
  CHECK_EQUAL(40, step.prefills[1].tokens);
}

// Guards against answers with too few or too many tokens.
TEST(BatchScheduler, EachSequenceGetsItsOutput) {
  batch_scheduler batch(7);
  batch.Add(Entry("a", 5, 20, 4));
  batch.Add(Entry("b", 5, 3, 1));
  std::size_t tokens_of_a = 0;
  std::size_t tokens_of_b = 0;
  int steps = 0;
  while (batch.Size() > 0 && steps < 100) {
    const batch_step step = batch.Plan();
    for (const std::string& id : step.decodes) {
      ++(id == "a" ? tokens_of_a : tokens_of_b);
    }
    batch.Apply(step);
    ++steps;
  }
  CHECK_EQUAL(0, batch.Size());
  CHECK_EQUAL(4, tokens_of_a);
  CHECK_EQUAL(1, tokens_of_b);
  CHECK_EQUAL(0, batch.QueuedPrefillTokens());
}

// Guards against a step that was planned before a cancellation and revives
// the sequence.
TEST(BatchScheduler, RemovedSequenceIsNotAppliedTo) {
  batch_scheduler batch(100);
  batch.Add(Entry("gone", 5, 10, 1));
  const batch_step step = batch.Plan();
  batch.Remove("gone");
  CHECK_TRUE(batch.Apply(step).empty());
  CHECK_EQUAL(0, batch.Size());
}
