#include <algorithm>
#include <cstddef>
#include <string>
#include <vector>

#include "acaciaferry/experiment/hub_fleet.hpp"
#include "acaciaferry/forwarding/evacuation/evacuate.hpp"

#include <CppUTest/TestHarness.h>

using namespace acaciaferry;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t kShortPrompt = 5'000;
// On several engines, since its answer would be late from one.
constexpr std::uint64_t kLongPrompt = 190'000;
// More than one engine's memory, so that others reserve some.
constexpr std::uint64_t kSpannedPrompt = 300'000;
constexpr std::size_t kDomains = 3;
constexpr std::size_t kEnginesPerDomain = 15;
// Time that a fleet which starts together takes to find itself.
constexpr duration kStartTime = seconds(4);
// VMs hear of an evacuation within this time of each other.
constexpr duration kSpread = milliseconds(1'000);
// The longest answers, and what their engines need before.
constexpr duration kAnswerTime = seconds(8);

struct evacuated_fleet {
  explicit evacuated_fleet(std::size_t vms_per_domain, std::uint64_t seed = 1)
      : fleet(PlanOf(vms_per_domain, seed)) {
    fleet.Run(kStartTime, 0, 0);
  }

  static hub_fleet_plan PlanOf(std::size_t vms_per_domain, std::uint64_t seed) {
    hub_fleet_plan plan;
    plan.domains = kDomains;
    plan.vms_per_domain = vms_per_domain;
    plan.engines_per_domain = kEnginesPerDomain;
    plan.large_vms_per_domain = 2;
    plan.seed = seed;
    return plan;
  }

  void Evacuate(const std::vector<std::size_t>& domains,
                double calls_per_s,
                std::uint64_t prompt_tokens) {
    fleet.SetEvacuated(domains, kSpread);
    fleet.Run(kSpread + milliseconds(1), calls_per_s, prompt_tokens);
    fleet.ResetCounts();
  }

  // Requests that engines of a failure domain got since the last reset.
  [[nodiscard]] std::size_t ArrivalsIn(std::size_t domain) const {
    std::size_t count = 0;
    for (std::size_t engine = 0; engine < kEnginesPerDomain; ++engine) {
      count += fleet.Arrivals(domain * kEnginesPerDomain + engine).size();
    }
    return count;
  }

  // Attempts of all VMs that use engines of a failure domain.
  [[nodiscard]] std::size_t RunningIn(std::size_t domain) const {
    std::size_t count = 0;
    for (std::size_t vm = 0; vm < fleet.VmCount(); ++vm) {
      if (fleet.IsRunning(vm)) {
        count += forwarding::CountAttemptsIn(
            fleet.StateOf(vm), {"domain-" + std::to_string(domain)});
      }
    }
    return count;
  }

  [[nodiscard]] std::size_t Unserved(std::size_t first) const {
    const auto& tries = fleet.FirstTries();
    return static_cast<std::size_t>(std::count_if(
        tries.begin() + static_cast<std::ptrdiff_t>(first), tries.end(),
        [](const first_try& each) { return !each.served; }));
  }

  // VMs of a failure domain that are its hubs.
  [[nodiscard]] std::vector<std::size_t> HubsOfDomain(
      std::size_t domain) const {
    std::vector<std::size_t> hubs;
    for (std::size_t vm = 0; vm < fleet.VmCount(); ++vm) {
      if (fleet.IsRunning(vm) && fleet.DomainOf(vm) == domain &&
          fleet.IsHub(vm)) {
        hubs.push_back(vm);
      }
    }
    return hubs;
  }

  hub_fleet fleet;
};

}  // namespace

TEST_GROUP(EvacuatedFleet){};

// Guards against a VM, or a planner that has not heard of it yet, that sends
// requests to an evacuated failure domain, against calls that are lost when
// they move, and against streams that are broken off.
TEST(EvacuatedFleet, AllArrivalsMoveAway) {
  for (const std::size_t vms_per_domain : {1U, 27U}) {
    for (const std::uint64_t seed : {1U, 2U, 3U}) {
      evacuated_fleet run(vms_per_domain, seed);
      run.fleet.Run(seconds(3), 90, kShortPrompt);
      CHECK_TRUE(run.ArrivalsIn(1) > 0);
      CHECK_TRUE(run.RunningIn(1) > 0);
      run.Evacuate({1}, 90, kShortPrompt);
      run.fleet.Run(seconds(4), 90, kShortPrompt);
      LONGS_EQUAL(0, run.ArrivalsIn(1));
      LONGS_EQUAL(0, run.RunningIn(1));
      run.fleet.Run(kAnswerTime, 0, 0);
      LONGS_EQUAL(0, run.fleet.BrokenOff());
      LONGS_EQUAL(0, run.fleet.Refusals());
      LONGS_EQUAL(0, run.Unserved(0));
      // Taken back, it gets its share again.
      run.Evacuate({}, 90, kShortPrompt);
      run.fleet.Run(seconds(4), 90, kShortPrompt);
      CHECK_TRUE(run.ArrivalsIn(1) > 0);
    }
  }
}

// Guards against evacuated engines that read a part of a long prompt, or hold
// memory for one.
TEST(EvacuatedFleet, LongPromptsGetNoHelpFromThere) {
  for (const std::size_t vms_per_domain : {1U, 27U}) {
    for (const std::uint64_t tokens : {kLongPrompt, kSpannedPrompt}) {
      evacuated_fleet run(vms_per_domain);
      run.fleet.Run(seconds(3), 4, tokens);
      CHECK_TRUE(run.ArrivalsIn(2) > 0);
      run.Evacuate({2}, 4, tokens);
      run.fleet.Run(seconds(6), 4, tokens);
      LONGS_EQUAL(0, run.ArrivalsIn(2));
      CHECK_TRUE(run.ArrivalsIn(0) > 0);
      LONGS_EQUAL(0, run.fleet.BrokenOff());
      run.fleet.Run(kAnswerTime, 0, 0);
      LONGS_EQUAL(0, run.RunningIn(2));
    }
  }
}

// Guards against VMs that place their own calls there while their planner is
// gone, and against VMs and planners that forget it when they start again.
TEST(EvacuatedFleet, ItHoldsWhenPlannersDieAndVmsStart) {
  evacuated_fleet run(27);
  run.fleet.Run(seconds(2), 90, kShortPrompt);
  run.Evacuate({0}, 90, kShortPrompt);
  const auto hubs = run.HubsOfDomain(1);
  LONGS_EQUAL(2, hubs.size());
  run.fleet.Stop(hubs.front());
  run.fleet.Run(seconds(3), 90, kShortPrompt);
  LONGS_EQUAL(0, run.ArrivalsIn(0));
  for (const std::size_t hub : run.HubsOfDomain(1)) {
    run.fleet.Stop(hub);
  }
  run.fleet.Run(seconds(3), 90, kShortPrompt);
  LONGS_EQUAL(0, run.ArrivalsIn(0));
  for (std::size_t vm = 0; vm < run.fleet.VmCount(); ++vm) {
    if (!run.fleet.IsRunning(vm)) {
      run.fleet.Start(vm);
    }
  }
  run.fleet.Run(seconds(4), 90, kShortPrompt);
  LONGS_EQUAL(0, run.ArrivalsIn(0));
}

// Guards against a failure domain that is cut off from the others and uses the
// targets that only it can't give up.
TEST(EvacuatedFleet, ItHoldsWhenADomainIsCutOff) {
  evacuated_fleet run(27);
  run.fleet.Run(seconds(2), 90, kShortPrompt);
  run.fleet.SetCutOff(1);
  run.fleet.Run(seconds(4), 90, kShortPrompt);
  run.Evacuate({1}, 90, kShortPrompt);
  run.fleet.Run(seconds(5), 90, kShortPrompt);
  LONGS_EQUAL(0, run.ArrivalsIn(1));
  LONGS_EQUAL(0, run.fleet.Refusals(failure_code::kPoolEvacuated));
  run.fleet.SetCutOff(std::nullopt);
  run.fleet.Run(seconds(5), 90, kShortPrompt);
  LONGS_EQUAL(0, run.ArrivalsIn(1));
}

// Guards against two evacuations that disturb each other, and against an end of
// one that ends both.
TEST(EvacuatedFleet, TwoDomainsAtOnce) {
  for (const std::size_t vms_per_domain : {1U, 27U}) {
    evacuated_fleet run(vms_per_domain);
    run.fleet.Run(seconds(2), 50, kShortPrompt);
    run.Evacuate({0}, 50, kShortPrompt);
    run.Evacuate({0, 2}, 50, kShortPrompt);
    run.fleet.Run(seconds(4), 50, kShortPrompt);
    LONGS_EQUAL(0, run.ArrivalsIn(0));
    LONGS_EQUAL(0, run.ArrivalsIn(2));
    LONGS_EQUAL(0, run.fleet.Refusals());
    run.Evacuate({2}, 50, kShortPrompt);
    run.fleet.Run(seconds(4), 50, kShortPrompt);
    CHECK_TRUE(run.ArrivalsIn(0) > 0);
    LONGS_EQUAL(0, run.ArrivalsIn(2));
    // Ordered again while the end is still spreading.
    run.fleet.SetEvacuated({}, kSpread);
    run.fleet.Run(kSpread / 2, 50, kShortPrompt);
    run.Evacuate({2}, 50, kShortPrompt);
    run.fleet.Run(kSpread, 50, kShortPrompt);
    run.Evacuate({2}, 50, kShortPrompt);
    run.fleet.Run(seconds(4), 50, kShortPrompt);
    LONGS_EQUAL(0, run.ArrivalsIn(2));
    LONGS_EQUAL(0, run.fleet.BrokenOff());
  }
}

// Guards against calls that wait, or run anywhere, while no target of their
// pool is left.
TEST(EvacuatedFleet, AllDomainsOfAPool) {
  for (const std::size_t vms_per_domain : {1U, 27U}) {
    evacuated_fleet run(vms_per_domain);
    run.fleet.Run(seconds(2), 90, kShortPrompt);
    run.Evacuate({0, 1, 2}, 90, kShortPrompt);
    // Calls that are asking a planner are refused, or placed, within this time.
    run.fleet.Run(milliseconds(100), 0, 0);
    run.fleet.ResetCounts();
    const std::size_t first = run.fleet.FirstTries().size();
    run.fleet.Run(seconds(3), 90, kShortPrompt);
    for (std::size_t domain = 0; domain < kDomains; ++domain) {
      LONGS_EQUAL(0, run.ArrivalsIn(domain));
      LONGS_EQUAL(0, run.RunningIn(domain));
    }
    LONGS_EQUAL(0, run.fleet.BrokenOff());
    run.fleet.Run(milliseconds(100), 0, 0);
    LONGS_EQUAL(run.fleet.Calls(),
                run.fleet.Refusals(failure_code::kPoolEvacuated));
    CHECK_TRUE(run.fleet.FirstTries().size() > first);
    run.Evacuate({}, 90, kShortPrompt);
    const std::size_t second = run.fleet.FirstTries().size();
    run.fleet.Run(seconds(3), 90, kShortPrompt);
    run.fleet.Run(kAnswerTime, 0, 0);
    LONGS_EQUAL(0, run.Unserved(second));
  }
}
