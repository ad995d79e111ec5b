#include "acaciaferry/standin/engine_core.hpp"

#include <string>

#include <CppUTest/TestHarness.h>

#include "acaciaferry/standin/answer.hpp"

using namespace acaciaferry;
using namespace acaciaferry::standin;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t kPromptTokens = 40;
constexpr std::uint64_t kOutputTokens = 5;
constexpr std::string_view kPrompt = "What is in vat 3?";

engine_parameters Parameters() {
  engine_parameters parameters;
  parameters.kv_capacity_tokens = 100;
  parameters.block_tokens = 10;
  parameters.step_tokens = 20;
  return parameters;
}

stream_request Stream(std::string id, time_point now) {
  stream_request request;
  request.id = std::move(id);
  request.owner = "vm1/1";
  request.deadline = now + seconds(10);
  request.prompt_tokens = kPromptTokens;
  request.prompt_hash = HashPrompt(kPrompt);
  request.max_output_tokens = kOutputTokens;
  return request;
}

void RunToTheEnd(engine_core& core, time_point now) {
  while (const auto step = core.BeginStep(now)) {
    core.FinishStep(*step, now);
  }
}

}  // namespace

TEST_GROUP(EngineCore) {
  const time_point start{};
  engine_core core{Parameters()};
};

// Guards against a changed answer function, which callers verify against.
TEST(EngineCore, AnswerIsAFunctionOfThePrompt) {
  CHECK(core.Submit(Stream("s", start), start) == submit_verdict::kAccepted);
  RunToTheEnd(core, start);
  CHECK(core.FindStream("s")->phase == stream_phase::kFinished);
  CHECK_EQUAL(ExpectedAnswer(kPrompt, kOutputTokens),
              core.FindStream("s")->text);
  CHECK_EQUAL(std::string("cacnpemn xxuerdsx yphrkogz omragzex yjlczogs "),
              core.FindStream("s")->text);
}

// Guards against memory that a finished or cancelled stream keeps.
TEST(EngineCore, EndedStreamsFreeTheirMemory) {
  CHECK(core.Submit(Stream("a", start), start) == submit_verdict::kAccepted);
  CHECK(core.Submit(Stream("b", start), start) == submit_verdict::kAccepted);
  CHECK_TRUE(core.BeginStep(start).has_value());
  CHECK_EQUAL(2 * (kPromptTokens + kOutputTokens), core.Load().kv_used_tokens);
  CHECK_TRUE(core.Cancel("b"));
  RunToTheEnd(core, start);
  CHECK_EQUAL(0, core.Load().kv_used_tokens);
}

// Guards reclamation against having nothing to release: a stream whose
// deadline passed without a cancel goes on to hold its memory.
TEST(EngineCore, StreamPastItsDeadlineStaysAllocated) {
  CHECK(core.Submit(Stream("s", start), start) == submit_verdict::kAccepted);
  CHECK_TRUE(core.BeginStep(start).has_value());
  core.Expire(start + seconds(60));
  core.Expire(start + seconds(120));
  POINTERS_EQUAL(nullptr, core.FindStream("s"));
  CHECK_FALSE(core.BeginStep(start + seconds(120)).has_value());
  CHECK_EQUAL(kPromptTokens + kOutputTokens, core.Load().kv_used_tokens);
  core.ReleaseHolding("s");
  CHECK_EQUAL(0, core.Load().kv_used_tokens);
}

// Guards against a finished answer that can no longer be resumed, and against
// one that is kept for ever.
TEST(EngineCore, FinishedAnswerIsKeptForSomeSeconds) {
  CHECK(core.Submit(Stream("s", start), start) == submit_verdict::kAccepted);
  RunToTheEnd(core, start);
  core.Expire(start + seconds(9));
  CHECK_TRUE(core.FindStream("s") != nullptr);
  core.Expire(start + seconds(10));
  POINTERS_EQUAL(nullptr, core.FindStream("s"));
}

// Guards against prompts that need a span but run without one.
TEST(EngineCore, PromptLargerThanTheMemoryNeedsAReservation) {
  stream_request large = Stream("s", start);
  large.prompt_tokens = 250;
  CHECK(core.Submit(large, start) == submit_verdict::kNeverFits);
  large.span = {"r0", "r1", "r2"};
  CHECK(core.Submit(large, start) == submit_verdict::kUnknownReservation);
  holding reservation;
  reservation.id = "r1";
  reservation.kind = holding_kind::kReservation;
  reservation.tokens = 90;
  reservation.lease = seconds(5);
  reservation.lease_end = start + seconds(5);
  CHECK_TRUE(core.Memory().Allocate(reservation));
  CHECK(core.Submit(large, start) == submit_verdict::kAccepted);
  RunToTheEnd(core, start);
  CHECK_EQUAL(ExpectedAnswer(kPrompt, kOutputTokens),
              core.FindStream("s")->text);
  CHECK_EQUAL(90, core.Load().kv_used_tokens);
}

// Guards against a stream that goes on in memory that was freed.
TEST(EngineCore, LapsedReservationAbortsItsStream) {
  holding reservation;
  reservation.id = "r";
  reservation.kind = holding_kind::kReservation;
  reservation.tokens = 90;
  reservation.lease = seconds(5);
  reservation.lease_end = start + seconds(5);
  CHECK_TRUE(core.Memory().Allocate(reservation));
  stream_request spanned = Stream("s", start);
  spanned.span = {"r"};
  CHECK(core.Submit(spanned, start) == submit_verdict::kAccepted);
  CHECK_TRUE(core.BeginStep(start).has_value());
  core.Expire(start + seconds(5));
  CHECK(core.FindStream("s")->phase == stream_phase::kAborted);
  CHECK_EQUAL(0, core.Load().kv_used_tokens);
}

// Guards against a prefix cache that saves no work.
TEST(EngineCore, CachedPrefixIsNotPrefilledAgain) {
  stream_request first = Stream("a", start);
  first.blocks = {1, 2, 3, 4};
  CHECK(core.Submit(first, start) == submit_verdict::kAccepted);
  RunToTheEnd(core, start);
  stream_request second = Stream("b", start);
  second.blocks = {1, 2, 9, 9};
  CHECK(core.Submit(second, start) == submit_verdict::kAccepted);
  RunToTheEnd(core, start);
  CHECK_EQUAL(20, core.Totals().cached_prompt_tokens);
}

// Guards against an order of a superseded issuer that takes effect.
TEST(EngineCore, OldFencingNumberIsRefusedWhereChecked) {
  order load;
  load.fencing = 5;
  load.model = "new";
  CHECK(core.Apply(load) == order_verdict::kDone);
  load.fencing = 4;
  load.model = "old";
  CHECK(core.Apply(load) == order_verdict::kOldFencing);
  CHECK_EQUAL(0, core.Load().models.count("old"));
  engine_parameters lenient = Parameters();
  lenient.checks_fencing = false;
  engine_core unfenced(lenient);
  load.fencing = 5;
  CHECK(unfenced.Apply(load) == order_verdict::kDone);
  load.fencing = 4;
  CHECK(unfenced.Apply(load) == order_verdict::kDone);
  CHECK_EQUAL(5, unfenced.Load().fencing);
}

// Guards against requests for a model that are refused although a version of
// it is loaded, or served although none is.
TEST(EngineCore, LoadedVersionServesItsModel) {
  order load;
  load.fencing = 1;
  load.model = "batch-model@v1";
  CHECK(core.Apply(load) == order_verdict::kDone);
  stream_request request = Stream("s", start);
  request.model = "batch-model";
  CHECK(core.Submit(request, start) == submit_verdict::kAccepted);
  request.id = "t";
  request.model = "batch";
  CHECK(core.Submit(request, start) == submit_verdict::kUnknownModel);
  load.action = order_action::kUnload;
  CHECK(core.Apply(load) == order_verdict::kDone);
  request.model = "batch-model";
  CHECK(core.Submit(request, start) == submit_verdict::kUnknownModel);
}
