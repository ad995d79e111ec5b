#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <utility>
#include <vector>

#include "acaciaferry/experiment/hub_fleet.hpp"

#include <CppUTest/TestHarness.h>

using namespace acaciaferry;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t kShortPrompt = 5'000;
// Time that a fleet which starts together takes to find itself.
constexpr duration kStartTime = seconds(4);
// The users' bounds, contact_ms.
constexpr duration kContactTime = seconds(4);
constexpr duration kPartitionTime = seconds(10);
constexpr duration kRestTime = seconds(4);

// VMs that are partitioned from all engines, by index.
using selection = std::vector<bool>;

struct outcome_of_tries {
  std::size_t tries{};
  std::size_t served{};

  [[nodiscard]] std::size_t Failed() const { return tries - served; }
  [[nodiscard]] double Share() const {
    return tries == 0
               ? 1
               : static_cast<double>(served) / static_cast<double>(tries);
  }
};

struct partition_result {
  outcome_of_tries partitioned;
  outcome_of_tries others;

  // The users' rule RECOVER.
  [[nodiscard]] bool IsRecovered() const {
    constexpr std::size_t kToleratedFailures = 10;
    constexpr std::size_t kTriesPerToleratedFailure = 50;
    return partitioned.Share() >= others.Share() * 2 / 3 ||
           partitioned.Failed() <=
               kToleratedFailures +
                   partitioned.tries / kTriesPerToleratedFailure;
  }
};

// A fleet of the size at which the users saw partitioned VMs serve almost
// nobody, or of their large one.
struct test_fleet {
  explicit test_fleet(const hub_fleet_plan& plan)
      : random(plan.seed), fleet(plan) {
    fleet.Run(kStartTime, 0, 0);
  }
  test_fleet(std::size_t domains,
             std::size_t vms_per_domain,
             std::uint64_t seed)
      : test_fleet(PlanOf(domains, vms_per_domain, seed)) {}

  static hub_fleet_plan PlanOf(std::size_t domains,
                               std::size_t vms_per_domain,
                               std::uint64_t seed) {
    hub_fleet_plan plan;
    plan.domains = domains;
    plan.vms_per_domain = vms_per_domain;
    plan.engines_per_domain = domains == 3 ? 15 : 22;
    plan.large_vms_per_domain = 2;
    plan.callers_leave = true;
    plan.seed = seed;
    return plan;
  }

  [[nodiscard]] double CallsPerS() const {
    return fleet.VmCount() > 100 ? 200 : 93;
  }

  // Each VM with the given probability.
  [[nodiscard]] selection Draw(std::uint64_t percent) {
    selection drawn(fleet.VmCount());
    for (auto&& vm : drawn) {
      vm = DrawBelow(random, std::uint64_t{100}) < percent;
    }
    return drawn;
  }

  partition_result Partition(const selection& partitioned,
                             partition_kind kind) {
    const std::size_t before = fleet.FirstTries().size();
    const time_point begun = fleet.Now();
    fleet.SetPartition([&](std::size_t vm) { return partitioned[vm]; }, kind);
    fleet.Run(kPartitionTime, CallsPerS(), kShortPrompt);
    const time_point ended = fleet.Now();
    fleet.SetPartition({}, kind);
    fleet.Run(kRestTime, CallsPerS(), kShortPrompt);
    partition_result result;
    const auto& tries = fleet.FirstTries();
    for (std::size_t index = before; index < tries.size(); ++index) {
      const first_try& each = tries[index];
      if (each.at >= begun + kContactTime && each.at < ended) {
        outcome_of_tries& counted =
            partitioned[each.vm] ? result.partitioned : result.others;
        ++counted.tries;
        counted.served += each.served ? 1 : 0;
      }
    }
    return result;
  }

  random_engine random;
  hub_fleet fleet;
};

constexpr partition_kind kKinds[] = {
    partition_kind::kSilent, partition_kind::kReset, partition_kind::kRefuse};

constexpr std::uint64_t kFleetsPerLargeOne = 16;

// Three partitions each. PARTITIONED_FLEETS sets another number.
std::uint64_t FleetsToPlay() {
  constexpr std::uint64_t kFleets = 16;
  const char* const wanted = std::getenv("PARTITIONED_FLEETS");
  return wanted == nullptr ? kFleets : std::strtoull(wanted, nullptr, 10);
}

std::string Describe(std::uint64_t seed,
                     std::uint64_t percent,
                     const partition_result& result) {
  return "seed " + std::to_string(seed) + ", " + std::to_string(percent) +
         " of 100 partitioned: " + std::to_string(result.partitioned.served) +
         " of " + std::to_string(result.partitioned.tries) +
         " served, others " + std::to_string(result.others.served) + " of " +
         std::to_string(result.others.tries);
}

}  // namespace

TEST_GROUP(PartitionedFleet){};

// Guards against VMs that know no tunnel since both hubs of their failure
// domain are partitioned from the engines as well.
TEST(PartitionedFleet, VmsWhoseHubsArePartitionedTooAreServed) {
  for (const auto& [domains, vms] :
       {std::pair<std::size_t, std::size_t>{3, 27}, {5, 59}}) {
    for (const partition_kind kind : kKinds) {
      test_fleet played(domains, vms, 1);
      selection partitioned = played.Draw(50);
      for (std::size_t vm = 0; vm < partitioned.size(); ++vm) {
        partitioned[vm] = partitioned[vm] || played.fleet.IsHub(vm);
      }
      const partition_result result = played.Partition(partitioned, kind);
      CHECK_COMPARE(result.partitioned.tries, >, 50U);
      CHECK_COMPARE(result.partitioned.Share(), >=, 0.9);
      CHECK_COMPARE(result.others.Share(), >=, 0.9);
    }
  }
}

// Guards against VMs that find no tunnel while the hubs of their failure domain
// are of a release that names none.
TEST(PartitionedFleet, MembersOfOldHubsFindTunnels) {
  hub_fleet_plan plan = test_fleet::PlanOf(3, 27, 1);
  plan.large_vms_name_no_tunnels = true;
  for (const partition_kind kind : kKinds) {
    test_fleet played(plan);
    selection partitioned = played.Draw(50);
    for (std::size_t vm = 0; vm < partitioned.size(); ++vm) {
      partitioned[vm] = played.fleet.DomainOf(vm) == 0 &&
                        (partitioned[vm] || played.fleet.IsHub(vm));
    }
    const partition_result result = played.Partition(partitioned, kind);
    CHECK_COMPARE(result.partitioned.tries, >, 50U);
    CHECK_COMPARE(result.partitioned.Share(), >=, 0.9);
    CHECK_COMPARE(result.others.Share(), >=, 0.9);
  }
}

// Guards against drawn partitions, one after the other, in which the callers of
// partitioned VMs are served far worse than the others.
TEST(PartitionedFleet, DrawnPartitionsKeepTheRuleOfRecovery) {
  const std::uint64_t fleets = FleetsToPlay();
  for (std::uint64_t seed = 1; seed <= fleets; ++seed) {
    const bool is_large = seed % kFleetsPerLargeOne == 0;
    test_fleet played(is_large ? 5 : 3, is_large ? 59 : 27, seed);
    for (const partition_kind kind : kKinds) {
      const std::uint64_t percent =
          20 + DrawBelow(played.random, std::uint64_t{70});
      const partition_result result =
          played.Partition(played.Draw(percent), kind);
      CHECK_TEXT(result.IsRecovered(), Describe(seed, percent, result).c_str());
    }
  }
}
