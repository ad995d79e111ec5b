#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "acaciaferry/experiment/hub_fleet.hpp"

#include <CppUTest/TestHarness.h>

using namespace acaciaferry;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t kPrompt = 4'960;
constexpr duration kObjective = milliseconds(250);
constexpr std::size_t kEngines = 78;
constexpr std::uint32_t kSlots = 12;
// Calls a second that the slots bear: each stream holds one for 1.7 s.
constexpr double kCapacityPerS = kEngines * kSlots / 1.7;
// The users' load outside bursts.
constexpr double kUsualPerS = 100;
constexpr int kBurstS = 5;

hub_fleet_plan OverloadedFleet() {
  hub_fleet_plan plan;
  plan.domains = 3;
  plan.vms_per_domain = 20;
  plan.engines_per_domain = kEngines / 3;
  plan.slots = kSlots;
  plan.engine_queues.emplace();
  return plan;
}

// A fleet that has found itself and serves its usual load.
struct overloaded_fleet {
  explicit overloaded_fleet(const hub_fleet_plan& plan = OverloadedFleet())
      : fleet(plan) {
    fleet.Run(seconds(4), 0, 0);
    fleet.Run(seconds(4), kUsualPerS, kPrompt);
    fleet.ResetCounts();
  }

  [[nodiscard]] std::size_t Arrivals() const {
    std::size_t arrivals = 0;
    for (std::size_t engine = 0; engine < kEngines; ++engine) {
      arrivals += fleet.Arrivals(engine).size();
    }
    return arrivals;
  }

  hub_fleet fleet;
};

struct served_calls {
  std::size_t all{};
  std::size_t in_time{};
  std::size_t late{};
  std::size_t refused{};
};

// What became of the calls that started in a time; of one workspace if it is
// given.
served_calls Count(const hub_fleet& fleet,
                   time_point since,
                   time_point until,
                   const std::string& workspace = "") {
  served_calls counted;
  for (const first_try& each : fleet.FirstTries()) {
    if (each.at <= since || each.at > until ||
        (!workspace.empty() && each.workspace != workspace)) {
      continue;
    }
    ++counted.all;
    if (each.first_event) {
      ++(*each.first_event <= kObjective ? counted.in_time : counted.late);
    }
    counted.refused += each.retry_after ? 1 : 0;
  }
  return counted;
}

}  // namespace

TEST_GROUP(SlotOverload){};

// Guards against short prompts beyond the engines' slots that are all sent on,
// queue at the engines and are late, and against engines that reject them.
TEST(SlotOverload, CallsBeyondTheSlotsDontMakeOthersLate) {
  for (const double times : {1.0, 2.0, 4.0, 6.0}) {
    overloaded_fleet loaded;
    hub_fleet& fleet = loaded.fleet;
    const time_point burst = fleet.Now();
    fleet.Run(seconds(kBurstS), kCapacityPerS * times, kPrompt);
    const time_point over = fleet.Now();
    fleet.Run(seconds(4), kUsualPerS, kPrompt);
    const served_calls in_burst = Count(fleet, burst, over);
    CHECK_COMPARE(static_cast<double>(in_burst.in_time), >=,
                  0.9 * kCapacityPerS * kBurstS);
    CHECK_COMPARE(static_cast<double>(fleet.Rejected()), <=,
                  0.02 * static_cast<double>(loaded.Arrivals()));
    // Calm again within a second.
    const served_calls after = Count(fleet, over + seconds(1), fleet.Now());
    const served_calls settled =
        Count(fleet, over + seconds(1), fleet.Now() - seconds(1));
    CHECK_COMPARE(static_cast<double>(settled.in_time), >=,
                  0.98 * static_cast<double>(settled.all));
    LONGS_EQUAL(0, after.refused);
  }
}

// Guards against a workspace that takes all slots by repeating refused calls at
// once: a small one beside it is served at least half as often as alone.
TEST(SlotOverload, AbusiveWorkspaceLeavesSmallOnesTheirShare) {
  constexpr std::size_t kAbusiveCallers = 1'236;
  constexpr duration kStep = milliseconds(2);
  // An abusive caller repeats its call after so many steps, a small one starts
  // one.
  constexpr std::size_t kRepeatSteps = 10;
  constexpr std::size_t kSmallSteps = 30;
  constexpr std::size_t kStartSteps = 500;
  constexpr std::size_t kSteps = 3'000;
  double alone = 0;
  for (const bool is_alone : {true, false}) {
    overloaded_fleet loaded;
    hub_fleet& fleet = loaded.fleet;
    // The call that each abusive caller has under way.
    std::vector<std::size_t> under_way;
    const auto send = [&](std::size_t caller) {
      fleet.SendCall((caller * 7 + fleet.FirstTries().size()) % fleet.VmCount(),
                     "large", 1'000'000 + caller, kPrompt);
      return fleet.FirstTries().size() - 1;
    };
    const time_point since = fleet.Now() + kStartSteps * kStep;
    for (std::size_t step = 0; step < kSteps; ++step) {
      fleet.Run(kStep, 0, 0);
      while (!is_alone && under_way.size() < kAbusiveCallers &&
             under_way.size() * kStartSteps < kAbusiveCallers * step) {
        under_way.push_back(send(under_way.size()));
      }
      for (std::size_t caller = step % kRepeatSteps; caller < under_way.size();
           caller += kRepeatSteps) {
        const first_try& last = fleet.FirstTries()[under_way[caller]];
        if (last.retry_after || last.served) {
          under_way[caller] = send(caller);
        }
      }
      if (step % kSmallSteps == 0) {
        fleet.SendCall(step / kSmallSteps * 11 % fleet.VmCount(), "small",
                       2'000'000 + step, kPrompt);
      }
    }
    fleet.Run(seconds(1), 0, 0);
    const auto small =
        static_cast<double>(Count(fleet, since, fleet.Now(), "small").in_time);
    if (is_alone) {
      alone = small;
      CHECK_TRUE(alone > 0);
    } else {
      CHECK_COMPARE(small, >=, alone / 2);
    }
  }
}

// Guards against a caller that is refused again and again though it returns
// when told, and against callers that all return at the same time.
TEST(SlotOverload, CallersThatReturnWhenToldAreServed) {
  constexpr std::size_t kCallers = 60;
  constexpr int kMaxReturns = 3;
  constexpr duration kStep = milliseconds(10);
  overloaded_fleet loaded;
  hub_fleet& fleet = loaded.fleet;
  fleet.Run(seconds(2), 4 * kCapacityPerS, kPrompt);
  struct returning_caller {
    std::size_t call{};
    std::size_t vm{};
    time_point returns_at{time_point::max()};
    int returns{};
  };
  std::vector<returning_caller> callers;
  const auto send = [&](returning_caller& caller, std::size_t index) {
    fleet.SendCall(caller.vm, "", 3'000'000 + index, kPrompt);
    caller.call = fleet.FirstTries().size() - 1;
    caller.returns_at = time_point::max();
  };
  std::set<time_point> told;
  // Callers honour at most a third of 10 s, so each returns three times.
  for (int step = 0; step < 1'300; ++step) {
    fleet.Run(kStep, 4 * kCapacityPerS, kPrompt);
    if (callers.size() < kCallers) {
      callers.push_back({0, callers.size() % fleet.VmCount(), {}, 0});
      send(callers.back(), callers.size() - 1);
    }
    for (std::size_t index = 0; index < callers.size(); ++index) {
      returning_caller& each = callers[index];
      const first_try& last = fleet.FirstTries()[each.call];
      if (each.returns_at == time_point::max() && last.retry_after &&
          each.returns < kMaxReturns) {
        each.returns_at = fleet.Now() + *last.retry_after;
        told.insert(each.returns_at);
      } else if (each.returns_at <= fleet.Now()) {
        ++each.returns;
        send(each, index);
      }
    }
  }
  std::size_t served = 0;
  for (const returning_caller& each : callers) {
    served += fleet.FirstTries()[each.call].first_event ? 1 : 0;
  }
  CHECK_COMPARE(static_cast<double>(served), >=, 0.9 * kCallers);
  CHECK_COMPARE(told.size(), >, 1U);
}
