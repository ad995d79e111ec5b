#include "acaciaferry/admission/admission.hpp"

#include <rapidcheck.h>

#include "acaciaferry/admission/queues.hpp"

#include <CppUTest/TestHarness.h>

using namespace acaciaferry;

namespace {

constexpr time_point kStart{std::chrono::hours(1)};

waiting_request Waiting(std::uint64_t n, std::uint32_t priority, int seconds) {
  return {.order = {priority, kStart + std::chrono::seconds(seconds), {1, n}},
          .workspace = {"ws" + std::to_string(n % 3)},
          .workload = {"w" + std::to_string(n % 2)},
          .pool_queue = {{"m"}, n % 5 == 0},
          .cost = 100,
          .run_time = std::chrono::seconds(seconds % 4)};
}

}  // namespace

TEST_GROUP(Admission){};

// Guards against admitting requests that are predicted to be late, and against
// refusals with another outcome than kNotRun or without a retry time.
TEST(Admission, RefusesExactlyWhatCannotMeetItsDeadline) {
  CHECK_TRUE(rc::check([](std::uint16_t wait_ms, std::uint16_t run_ms,
                          std::uint16_t left_ms, bool uses_reported_rates) {
    const admission_prediction prediction{
        .wait = std::chrono::milliseconds(wait_ms),
        .run_time = std::chrono::milliseconds(run_ms),
        .uses_reported_rates = uses_reported_rates};
    const duration left = std::chrono::milliseconds(left_ms);
    const auto refusal = CheckPrediction({.queue_limit = 1}, left, prediction);
    const bool is_surely_late = prediction.wait + prediction.run_time > left;
    RC_ASSERT(!uses_reported_rates || !is_surely_late || refusal.has_value());
    // Without reported rates only a request past its deadline is refused.
    RC_ASSERT(left > duration::zero() || refusal.has_value());
    RC_ASSERT(!refusal || uses_reported_rates || left == duration::zero());
    // RC_ASSERT overloads ||, so that both of its operands are evaluated.
    if (refusal) {
      RC_ASSERT(refusal->retry_after.has_value());
      RC_ASSERT(refusal->code == failure_code::kDeadlineTooShort);
      RC_ASSERT(refusal->result == outcome::kNotRun);
    }
  }));
}

// Guards against an answer that reaches the caller after the caller's timeout,
// as happens to retries with little time left.
TEST(Admission, ShortTimeoutsKeepAMarginOrAreRefused) {
  deployment config;
  config.pools = {{.id = {"m"}}};
  config.workloads = {{.id = {"w"},
                       .pool = {"m"},
                       .max_prompt_tokens = 10,
                       .deadline = std::chrono::seconds(60)}};
  request asked;
  asked.pool = {"m"};
  asked.timeout = std::chrono::milliseconds(50);
  const auto verdict = Admit(config, asked, kStart);
  CHECK_TRUE(std::get<admitted_request>(verdict).deadline ==
             kStart + std::chrono::milliseconds(40));
  asked.timeout = std::chrono::milliseconds(10);
  CHECK_TRUE(std::get<failure>(Admit(config, asked, kStart)).code ==
             failure_code::kDeadlineTooShort);
}

// Guards against a workload with more waiting requests than its queue limit.
TEST(Admission, RefusesWhenTheQueueIsFull) {
  const auto refusal = CheckPrediction({.queue_limit = 4},
                                       std::chrono::hours(1), {.waiting = 4});
  CHECK_TRUE(refusal.has_value());
  CHECK_TRUE(refusal->code == failure_code::kQueueFull);
  CHECK_TRUE(refusal->retry_after.has_value());
}

// Guards against requests that are missing from, or left behind in, one of the
// queues' indexes after insertions and removals in any order.
TEST(Admission, QueuesStayConsistent) {
  CHECK_TRUE(rc::check([](const std::vector<std::uint8_t>& operations) {
    waiting_queues queues;
    std::set<std::uint64_t> model;
    time_point now = kStart;
    for (const std::uint8_t each : operations) {
      const std::uint64_t n = each % 32;
      now += std::chrono::milliseconds(each);
      if (each < 160 && model.insert(n).second) {
        Enqueue(queues, Waiting(n, n % 10, static_cast<int>(n)), now);
      } else if (each >= 160) {
        model.erase(n);
        RemoveWaiting(queues, {1, n}, now);
      }
      double cost = 0;
      std::size_t heads = 0;
      for (const auto& [id, pool_queue] : queues.pool_queues) {
        cost += pool_queue.cost;
        heads += QueueHeads(queues, pool_queue).size();
      }
      RC_ASSERT(queues.requests.size() == model.size());
      RC_ASSERT(queues.by_order.size() == model.size());
      RC_ASSERT(queues.latest_starts.size() == model.size());
      RC_ASSERT(cost == 100.0 * double(model.size()));
      RC_ASSERT((heads == 0) == model.empty());
      RC_ASSERT(CountWaiting(queues, {"w0"}) + CountWaiting(queues, {"w1"}) ==
                model.size());
      RC_ASSERT(PredictWait(queues, Waiting(99, 0, 1)) >= duration::zero());
    }
  }));
}

// Guards against shedding a request that can still meet its deadline, or one
// that comes before the incoming request.
TEST(Admission, ShedsTheLateAndTheLastInOrder) {
  waiting_queues queues;
  for (std::uint64_t n = 0; n < 10; ++n) {
    Enqueue(queues, Waiting(n, n < 5 ? 0 : 5, 10 + static_cast<int>(n)),
            kStart);
  }
  for (const request_id& id :
       RequestsPastLatestStart(queues, kStart + std::chrono::seconds(13))) {
    const waiting_request& late = queues.requests.at(id);
    CHECK_TRUE(late.LatestStart() < kStart + std::chrono::seconds(13));
  }
  CHECK_EQUAL(0U, RequestsPastLatestStart(queues, kStart).size());
  const auto victim = FindVictim(queues, Waiting(20, 3, 100).order);
  CHECK_TRUE(victim == (request_id{1, 9}));
  CHECK_FALSE(FindVictim(queues, Waiting(20, 6, 1).order).has_value());
}

// Guards against a predicted wait that ignores the requests ahead in the queue.
TEST(Admission, PredictedWaitFollowsTheDequeueRate) {
  waiting_queues queues;
  for (std::uint64_t n = 1; n <= 300; ++n) {
    waiting_request each = Waiting(n, 0, 1'000);
    each.pool_queue = {{"m"}, false};
    Enqueue(queues, each, kStart);
  }
  time_point now = kStart;
  for (std::uint64_t n = 1; n <= 100; ++n) {
    now += std::chrono::milliseconds(100);
    RemoveWaiting(queues, {1, n}, now);
    RecordDequeued(queues.pool_queues.at({{"m"}, false}), 100, now);
  }
  waiting_request next = Waiting(301, 0, 1'000);
  next.pool_queue = {{"m"}, false};
  // 200 requests at 10 per second.
  DOUBLES_EQUAL(20, ToSeconds(PredictWait(queues, next)), 2);
}
