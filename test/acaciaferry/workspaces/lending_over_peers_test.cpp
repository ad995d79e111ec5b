#include <rapidcheck.h>

#include <algorithm>
#include <cstdint>
#include <vector>

#include "support/test_network.hpp"

#include <CppUTest/TestHarness.h>

using namespace acaciaferry;
using namespace std::chrono_literals;

namespace {

constexpr double kLimit = 6'000;
constexpr double kBurstSeconds = 2;
const workspace_id kWorkspace{"lab"};

// Two failure domains whose VMs share one workspace's limit.
class lending_network {
 public:
  explicit lending_network(std::uint64_t seed) : network({4, 2}, seed) {
    deployment config;
    config.revision = 1;
    config.policy.entry_vms = network.nodes.size();
    config.workspaces = {{.id = kWorkspace, .tokens_per_second = kLimit}};
    for (test::test_node& node : network.nodes) {
      network.Post(node, deployment_received{config});
    }
    network.Run(5s);
  }

  // Takes tokens as a request does. Returns the tokens that were granted.
  double Ask(std::size_t vm, double tokens) {
    test::test_node& node = network.nodes[vm];
    network.Post(node, timer_expired{});
    return ConsumeTokens(node.state.workspaces, kWorkspace, tokens,
                         network.TimeOf(node))
               ? 0
               : tokens;
  }

  [[nodiscard]] double ShareOf(std::size_t vm) const {
    return network.nodes[vm].state.workspaces.accounts.at(kWorkspace).share;
  }

  test::test_network network;
};

}  // namespace

TEST_GROUP(LendingOverPeers){};

// Guards against a busy VM that cannot use the shares of idle VMs of its
// failure domain, and against loans that outlast the demand.
TEST(LendingOverPeers, BusyVmBorrowsFromItsFailureDomain) {
  lending_network fleet(3);
  const double own = kLimit / 6;
  for (int step = 0; step < 200; ++step) {
    fleet.Ask(0, 400);
    fleet.network.Run(100ms);
  }
  // The three peers keep a tenth of their shares; with a demand of 4,000 the
  // shortfall is 3,000 tokens per second.
  CHECK_TRUE(fleet.ShareOf(0) > 3 * own);
  CHECK_TRUE(fleet.ShareOf(1) < own);
  DOUBLES_EQUAL(own, fleet.ShareOf(4), 1e-9);
  fleet.network.Run(60s);
  for (std::size_t vm = 0; vm < fleet.network.nodes.size(); ++vm) {
    DOUBLES_EQUAL(own, fleet.ShareOf(vm), 1e-9);
  }
}

// Guards against spending above the limit through loans when messages are lost,
// late or repeated, or when VMs are paused or partitioned.
TEST(LendingOverPeers, FleetNeverSpendsMoreThanTheLimit) {
  CHECK_TRUE(rc::check([] {
    lending_network fleet(*rc::gen::inRange<std::uint64_t>(0, 1'000'000));
    test::test_network& network = fleet.network;
    network.fates = {*rc::gen::inRange(0U, 60U), *rc::gen::inRange(0U, 50U),
                     *rc::gen::inRange(0U, 80U)};
    const std::size_t vms = network.nodes.size();
    const double largest = 500;
    double granted = 0;
    int steps = 0;
    const auto phases = *rc::gen::inRange(1, 5);
    for (int phase = 0; phase < phases; ++phase) {
      const auto busy = *rc::gen::inRange<std::size_t>(0, vms);
      const auto paused = *rc::gen::inRange<std::size_t>(0, 3 * vms);
      std::vector<bool> side(vms);
      for (std::size_t vm = 0; vm < vms; ++vm) {
        side[vm] = *rc::gen::inRange(0, 6) == 0;
        network.nodes[vm].paused = vm == paused;
      }
      network.Partition(side);
      for (int step = 0; step < 100; ++step, ++steps) {
        for (const std::size_t vm : {busy, (busy + phase) % vms}) {
          granted += network.nodes[vm].paused ? 0 : fleet.Ask(vm, largest);
        }
        network.Run(100ms);
      }
    }
    // Each VM may start with a full bucket and overdraw it once by one request.
    const double bound = kLimit * (0.1 * steps + kBurstSeconds) +
                         static_cast<double>(vms) * largest;
    RC_LOG() << "granted " << granted << " of " << bound << "\n";
    RC_ASSERT(granted <= bound);
  }));
}
