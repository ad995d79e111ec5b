#include "acaciaferry/forwarding/admission/slot_admission.hpp"

#include <rapidcheck.h>

#include <algorithm>
#include <set>

#include "forwarding/admission/slot_pool.hpp"

#include <CppUTest/TestHarness.h>

using namespace acaciaferry;
using namespace acaciaferry::forwarding;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr duration kHold = milliseconds(1'700);
constexpr std::uint32_t kSlots = 340;
// Slots that become free in a millisecond while all are held.
constexpr double kFreedPerMs = 0.2;
constexpr int kSecond = 1'000;

// Starts calls of a workspace at a rate in calls a millisecond.
struct caller_stream {
  std::string workspace;
  double per_ms{};
  bool is_long{};
  duration objective{milliseconds(100)};
  double due{};

  void Step(slot_pool& pool) {
    for (due += per_ms; due >= 1; --due) {
      pool.Start(workspace, is_long, 0, objective);
    }
  }
};

void Run(slot_pool& pool, std::vector<caller_stream> streams, int steps) {
  for (int step = 0; step < steps; ++step) {
    pool.Step();
    for (caller_stream& each : streams) {
      each.Step(pool);
    }
  }
}

}  // namespace

TEST_GROUP(SlotAdmission){};

// Guards against calls that wait or are refused while there are free slots.
TEST(SlotAdmission, FreeSlotsAreGrantedAtOnce) {
  slot_pool pool(kSlots, kHold);
  Run(pool, {{"a", kFreedPerMs / 2}, {"b", kFreedPerMs * 0.4}}, 5 * kSecond);
  for (const slot_call& each : pool.Calls()) {
    CHECK_TRUE(each.granted_at == each.demand.arrived);
  }
}

// Guards against queues that grow at the engines: whatever the load, each call
// that is served gets its slot in time, the others are refused soon, and hardly
// a slot stays free.
TEST(SlotAdmission, OverloadIsServedInTimeOrRefused) {
  for (const double times : {1.0, 2.0, 4.0, 6.0}) {
    slot_pool pool(kSlots, kHold);
    Run(pool, {{"a", kFreedPerMs * 0.9}}, 3 * kSecond);
    const std::uint64_t before = pool.HeldMs();
    Run(pool, {{"a", kFreedPerMs * times}}, 5 * kSecond);
    CHECK_COMPARE(static_cast<double>(pool.HeldMs() - before), >=,
                  0.9 * kSlots * 5 * kSecond);
    for (const slot_call& each : pool.Calls()) {
      if (each.granted_at) {
        CHECK_TRUE(*each.granted_at - each.demand.arrived <= each.objective);
      }
      if (each.refused_at) {
        CHECK_TRUE(*each.refused_at - each.demand.arrived <=
                   each.objective + milliseconds(40));
      }
    }
    // Calm again: what arrives a second after the overload doesn't wait.
    Run(pool, {{"a", kFreedPerMs * 0.5}}, kSecond);
    const std::size_t calm = pool.Calls().size();
    Run(pool, {{"a", kFreedPerMs * 0.5}}, kSecond);
    for (std::size_t call = calm; call < pool.Calls().size(); ++call) {
      CHECK_TRUE(pool.Calls()[call].granted_at.has_value());
    }
  }
}

// Guards against a workspace that takes all slots by repeating its calls at
// once: a small one is served as if it were alone.
TEST(SlotAdmission, AbusiveWorkspaceLeavesSmallOnesTheirShare) {
  slot_pool pool(kSlots, kHold);
  Run(pool, {{"large", kFreedPerMs * 20}}, 3 * kSecond);
  const std::size_t before = pool.Calls().size();
  Run(pool, {{"large", kFreedPerMs * 20}, {"small", kFreedPerMs * 0.1}},
      10 * kSecond);
  std::size_t small = 0;
  for (std::size_t call = before; call < pool.Calls().size(); ++call) {
    small += pool.Calls()[call].demand.workspace.value == "small" ? 1 : 0;
  }
  CHECK_COMPARE(static_cast<double>(pool.Granted("small")), >=,
                0.9 * static_cast<double>(small));
}

// Guards against workspaces of which the one with more load gets more, though
// both want more than their share.
TEST(SlotAdmission, WorkspacesWithMuchLoadGetTheSame) {
  slot_pool pool(kSlots, kHold);
  Run(pool, {{"a", kFreedPerMs * 4}, {"b", kFreedPerMs}}, 10 * kSecond);
  const auto a = static_cast<double>(pool.Granted("a"));
  const auto b = static_cast<double>(pool.Granted("b"));
  CHECK_COMPARE(b, >=, 0.8 * a);
}

// Guards against long prompts that never get a slot between short ones, and
// against short ones that find all slots held by long ones.
TEST(SlotAdmission, NeitherLengthClassIsStarved) {
  {
    slot_pool pool(kSlots, kHold);
    Run(pool,
        {{"a", kFreedPerMs * 6}, {"a", kFreedPerMs * 0.1, true, seconds(3)}},
        10 * kSecond);
    const auto longs = static_cast<double>(std::count_if(
        pool.Calls().begin(), pool.Calls().end(), [](const slot_call& each) {
          return each.demand.is_long && (each.granted_at || each.refused_at);
        }));
    CHECK_COMPARE(static_cast<double>(pool.Granted("a", true)), >=,
                  0.9 * longs);
  }
  {
    slot_pool pool(kSlots, kHold);
    Run(pool,
        {{"a", kFreedPerMs * 0.4}, {"a", kFreedPerMs * 6, true, seconds(3)}},
        10 * kSecond);
    const auto shorts = static_cast<double>(std::count_if(
        pool.Calls().begin(), pool.Calls().end(),
        [](const slot_call& each) { return !each.demand.is_long; }));
    CHECK_COMPARE(static_cast<double>(pool.Granted("a")), >=, 0.8 * shorts);
  }
}

// Guards against a caller that is refused again and again though it returns
// when told, while new ones are served.
TEST(SlotAdmission, CallersThatReturnWhenToldGoFirst) {
  slot_pool pool(kSlots, kHold);
  Run(pool, {{"a", kFreedPerMs * 4}}, 3 * kSecond);
  constexpr int kCallers = 20;
  std::uint64_t fingerprint = 0;
  for (int caller = 0; caller < kCallers; ++caller) {
    std::size_t first = 0;
    do {
      Run(pool, {{"a", kFreedPerMs * 4}}, 5);
      first = pool.Start("a", false, ++fingerprint);
      Run(pool, {{"a", kFreedPerMs * 4}}, 150);
    } while (!pool.Calls()[first].refused_at);
    const slot_call refused = pool.Calls()[first];
    const time_point told = *refused.refused_at + refused.retry_after;
    while (pool.Now() < told) {
      Run(pool, {{"a", kFreedPerMs * 4}}, 1);
    }
    const std::size_t again =
        pool.Start("a", false, refused.demand.fingerprint);
    Run(pool, {{"a", kFreedPerMs * 4}}, 150);
    CHECK_TRUE(pool.Calls()[again].granted_at.has_value());
  }
  LONGS_EQUAL(kCallers, pool.Admission().Counts().admitted_on_return);
}

// Guards against callers that get more by returning before the time that they
// were told.
TEST(SlotAdmission, CallersThatReturnEarlyGoLast) {
  slot_pool pool(kSlots, kHold);
  Run(pool, {{"a", kFreedPerMs * 4}}, 5 * kSecond);
  std::size_t first = 0;
  std::uint64_t fingerprint = 0;
  do {
    first = pool.Start("a", false, ++fingerprint);
    Run(pool, {{"a", kFreedPerMs * 4}}, 150);
  } while (!pool.Calls()[first].refused_at ||
           pool.Calls()[first].retry_after < milliseconds(1'000));
  const slot_call refused = pool.Calls()[first];
  const std::size_t early = pool.Start("a", false, fingerprint);
  Run(pool, {{"a", kFreedPerMs * 4}}, 150);
  CHECK_TRUE(pool.Calls()[early].refused_at.has_value());
  CHECK_TRUE(pool.Calls()[early].why == slot_refusal::kReturnedEarly);
  // The time that it was told stays.
  const slot_call& again = pool.Calls()[early];
  CHECK_TRUE(*again.refused_at + again.retry_after ==
             *refused.refused_at + refused.retry_after);
}

// Guards against callers that are refused together and return together: they
// return one after the other as slots become free.
TEST(SlotAdmission, RefusedCallersReturnOneAfterTheOther) {
  slot_pool pool(kSlots, kHold);
  Run(pool, {{"a", kFreedPerMs * 4}}, 5 * kSecond);
  // Until the times of those that were refused before have passed.
  Run(pool, {{"a", kFreedPerMs}}, 4 * kSecond);
  std::vector<time_point> returns;
  for (int call = 0; call < 600; ++call) {
    const slot_call& made = pool.Calls()[pool.Start("a")];
    if (made.refused_at && made.retry_after < seconds(3)) {
      returns.push_back(*made.refused_at + made.retry_after);
    }
  }
  CHECK_TRUE(returns.size() > 100);
  std::sort(returns.begin(), returns.end());
  // In no 100 ms more than slots become free in it, by half.
  for (std::size_t from = 0; from < returns.size(); ++from) {
    const auto to = static_cast<std::size_t>(
        std::count_if(returns.begin(), returns.end(), [&](time_point each) {
          return each >= returns[from] &&
                 each < returns[from] + milliseconds(100);
        }));
    CHECK_COMPARE(static_cast<double>(to), <=, 100 * kFreedPerMs * 1.5);
  }
}

// Guards against memory that grows with the number of refused callers, calls
// that wait and never ask again, and workspaces.
TEST(SlotAdmission, MemoryIsBounded) {
  slot_admission admission(7);
  const time_point now{seconds(10)};
  slot_supply supply{10, {10, 0}, 1, kHold};
  slot_demand demand;
  demand.pool = {"pool"};
  demand.arrived = now;
  for (std::uint64_t call = 1; call < 100'000; ++call) {
    demand.key = call;
    demand.fingerprint = call;
    demand.workspace.value = std::to_string(call % 10'000);
    demand.max_wait = call < 10'000 ? duration(seconds(100'000)) : duration{};
    static_cast<void>(admission.Decide(demand, supply, now));
    if (call == 10'000) {
      CHECK_COMPARE(admission.WaitingCount(), <=, 1'024U);
    }
  }
  CHECK_COMPARE(admission.RememberedCount(), <=, 32'768U);
  admission.Expire(now + seconds(60));
  LONGS_EQUAL(0, admission.RememberedCount());
  LONGS_EQUAL(0, admission.WaitingCount());
}

// Guards against a time that doesn't fit its integer when streams are predicted
// to be very long.
TEST(SlotAdmission, PredictedTimesAreBounded) {
  slot_admission admission(7);
  const time_point now{seconds(10)};
  const slot_supply supply{1, {1'000'000, 0}, 1, std::chrono::hours(24 * 365)};
  slot_demand demand;
  demand.key = 1;
  demand.pool = {"pool"};
  demand.arrived = now;
  demand.longest_return = seconds(3);
  const auto verdict = admission.Decide(demand, supply, now);
  const auto* refused = std::get_if<slot_refused>(&verdict);
  CHECK_TRUE(refused != nullptr);
  CHECK_TRUE(refused->predicted == std::chrono::hours(1));
  CHECK_TRUE(refused->retry_after == demand.longest_return);
}

// Guards against a caller that is forgotten before those that were refused
// earlier, since it had been refused and admitted once before them.
TEST(SlotAdmission, CallerThatIsRefusedAgainIsEvictedAsTheNewest) {
  constexpr std::uint64_t kRemembered = 32'768;
  slot_admission admission(7);
  slot_supply supply{10, {10, 0}, 1, kHold};
  time_point now{seconds(10)};
  slot_demand demand;
  demand.pool = {"pool"};
  demand.longest_return = seconds(1);
  const auto decide = [&](std::uint64_t fingerprint) {
    ++demand.key;
    demand.fingerprint = fingerprint;
    demand.arrived = now;
    return admission.Decide(demand, supply, now);
  };
  CHECK_TRUE(std::holds_alternative<slot_refused>(decide(1)));
  now += seconds(1);
  supply.held.all = 0;
  CHECK_TRUE(std::holds_alternative<slot_granted>(decide(1)));
  admission.RecordPlaced(demand, {}, now);
  LONGS_EQUAL(1, admission.Counts().admitted_on_return);
  supply.held.all = 10;
  CHECK_TRUE(std::holds_alternative<slot_refused>(decide(2)));
  CHECK_TRUE(std::holds_alternative<slot_refused>(decide(1)));
  // The last one evicts the oldest, which is 2.
  for (std::uint64_t call = 3; call <= kRemembered + 1; ++call) {
    static_cast<void>(decide(call));
  }
  LONGS_EQUAL(kRemembered, admission.RememberedCount());
  const auto verdict = decide(1);
  CHECK_TRUE(std::get<slot_refused>(verdict).why ==
             slot_refusal::kReturnedEarly);
}

// Guards against more calls than slots, slots that stay free while calls wait,
// and calls without a verdict, for any order of arrivals.
TEST(SlotAdmission, AnyOrderOfArrivalsKeepsTheSlots) {
  CHECK_TRUE(rc::check([] {
    const auto slots = *rc::gen::inRange(1U, 40U);
    const auto hold = milliseconds(*rc::gen::inRange(10, 500));
    slot_pool pool(slots, hold);
    const auto arrivals =
        *rc::gen::container<std::vector<int>>(200, rc::gen::inRange(0, 64));
    for (const int arrival : arrivals) {
      // Two workspaces, both classes, some fingerprints, pauses of up to 3 ms.
      pool.Start(arrival % 2 == 0 ? "a" : "b", arrival % 8 == 3,
                 static_cast<std::uint64_t>(arrival % 16),
                 milliseconds(arrival % 3 == 0 ? 20 : 200));
      RC_ASSERT(pool.Held() <= slots);
      for (int pause = arrival / 16; pause > 0; --pause) {
        pool.Step();
        RC_ASSERT(pool.Held() <= slots);
      }
    }
    for (int step = 0; step < 2'000; ++step) {
      pool.Step();
      RC_ASSERT(pool.Held() <= slots);
    }
    RC_ASSERT(pool.Unsettled() == 0);
    for (const slot_call& each : pool.Calls()) {
      RC_ASSERT(each.granted_at.has_value() != each.refused_at.has_value());
      if (each.refused_at) {
        RC_ASSERT(each.retry_after >= duration{});
        RC_ASSERT(each.retry_after <= each.demand.longest_return);
      }
    }
  }));
}
