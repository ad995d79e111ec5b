#include <algorithm>
#include <array>
#include <string>
#include <vector>

#include <rapidcheck.h>

#include "acaciaferry/membership/roles.hpp"
#include "support/test_network.hpp"

#include <CppUTest/TestHarness.h>

using namespace acaciaferry;
using acaciaferry::test::DocumentText;
using acaciaferry::test::test_network;
using acaciaferry::test::test_node;

namespace {

constexpr std::array kRoles{role::kPoll, role::kReclaim, role::kOrder,
                            role::kSpan};

std::size_t CountResponsible(const test_network& network,
                             role role,
                             const role_key& key) {
  return static_cast<std::size_t>(std::count_if(
      network.nodes.begin(), network.nodes.end(), [&](const test_node& node) {
        return IsResponsible(node.state.membership, role, key);
      }));
}

bool AllOn(const test_network& network, std::uint64_t revision) {
  return std::all_of(network.nodes.begin(), network.nodes.end(),
                     [revision](const test_node& node) {
                       return node.state.config &&
                              node.state.config->revision == revision;
                     });
}

bool NoneReverted(const test_network& network) {
  return std::none_of(network.nodes.begin(), network.nodes.end(),
                      [](const test_node& node) { return node.reverted; });
}

enum class fault {
  kPartition,
  kPause,
  kResume,
  kRestart,
  kRestartWithEarlierClock,
  kPublish
};

// Applies one generated fault and advances the time.
void Apply(test_network& network,
           const std::pair<std::uint8_t, std::uint8_t>& choice,
           std::uint64_t& revision) {
  const std::size_t index = choice.second % network.nodes.size();
  switch (static_cast<fault>(choice.first % 6)) {
    case fault::kPartition: {
      std::vector<bool> side(network.nodes.size());
      for (std::size_t i = 0; i < side.size(); ++i) {
        side[i] = ((choice.second >> (i % 8)) & 1U) != 0;
      }
      network.Partition(std::move(side));
      break;
    }
    case fault::kPause:
      network.nodes[index].paused = true;
      break;
    case fault::kResume:
      network.nodes[index].paused = false;
      break;
    case fault::kRestart:
      network.Restart(index, false);
      break;
    case fault::kRestartWithEarlierClock:
      network.Restart(index, true);
      break;
    case fault::kPublish:
      ++revision;
      network.Publish(revision, DocumentText(revision));
      break;
  }
  network.Run(std::chrono::milliseconds(100 * (1 + choice.second)));
}

}  // namespace

TEST_GROUP(PeerNetwork){};

// Guards against configurations that revert or never arrive. Also guards
// against keys without exactly one responsible VM after the network has healed.
// Losses, partitions, pauses and restarts come in any order.
TEST(PeerNetwork, ConvergesAfterFaults) {
  CHECK_TRUE(rc::check([](const std::vector<
                              std::pair<std::uint8_t, std::uint8_t>>& faults,
                          std::uint64_t seed) {
    test_network network({3, 2, 2}, seed);
    network.fates = {.lost = 20, .duplicated = 20, .delayed = 30};
    std::uint64_t revision = 1;
    network.Publish(revision, DocumentText(revision));
    network.Run(std::chrono::seconds(3));
    for (const auto& choice : faults) {
      Apply(network, choice, revision);
      RC_ASSERT(NoneReverted(network));
    }
    network.Heal();
    network.Run(std::chrono::seconds(15));
    RC_ASSERT(AllOn(network, revision));
    for (const std::string domain : {"d0", "d1", "d2"}) {
      RC_ASSERT(CountResponsible(network, role::kWatch, {{domain}, ""}) == 2U);
      for (const role role : kRoles) {
        for (int key = 0; key < 10; ++key) {
          RC_ASSERT(CountResponsible(network, role,
                                     {{domain}, std::to_string(key)}) == 1U);
        }
      }
    }
  }));
}

// Guards against a key without a responsible VM while VMs on the two sides of a
// partition know different peers.
TEST(PeerNetwork, EveryKeyHasAResponsibleVmDuringFaults) {
  CHECK_TRUE(rc::check([](std::uint8_t sides, std::uint64_t seed) {
    test_network network({3, 2}, seed);
    network.Run(std::chrono::seconds(5));
    std::vector<bool> side(network.nodes.size());
    for (std::size_t i = 0; i < side.size(); ++i) {
      side[i] = ((sides >> i) & 1U) != 0;
    }
    network.Partition(std::move(side));
    for (int second = 0; second < 10; ++second) {
      network.Run(std::chrono::seconds(1));
      for (int key = 0; key < 10; ++key) {
        RC_ASSERT(CountResponsible(network, role::kPoll,
                                   {{"d0"}, std::to_string(key)}) >= 1U);
        RC_ASSERT(CountResponsible(network, role::kPoll,
                                   {{"d1"}, std::to_string(key)}) >= 1U);
      }
    }
  }));
}

// Guards against a revision that is not passed on by the only VM that can reach
// the configuration service.
TEST(PeerNetwork, RevisionReachesAllFromOneReader) {
  test_network network({3, 2, 2}, 7);
  network.Publish(1, DocumentText(1));
  network.Run(std::chrono::seconds(5));
  for (std::size_t i = 1; i < network.nodes.size(); ++i) {
    network.nodes[i].reads_service = false;
  }
  // Lets the only reader poll whether or not it has the watch role.
  network.nodes[0].state.config.reset();
  network.Publish(2, DocumentText(2));
  network.Run(std::chrono::seconds(7));
  CHECK_TRUE(AllOn(network, 2));
}

// Guards against a replayed message that changes the state of a peer.
TEST(PeerNetwork, DuplicatesAreCountedAndChangeNothing) {
  test_network network({2}, 7);
  network.fates.duplicated = 100;
  network.Run(std::chrono::seconds(5));
  CHECK_TRUE(network.nodes[0].verdicts[peer_verdict::kReplayed] > 0);
  CHECK_EQUAL(network.nodes[0].verdicts[peer_verdict::kAccepted],
              network.nodes[0].verdicts[peer_verdict::kReplayed]);
}

// Guards against a leaving target that gets work again because of a late report
// or list that has it as serving.
TEST(PeerNetwork, LeavingReachesAllAndIsSticky) {
  test_network network({2, 2, 2}, 7);
  network.vms.push_back({.name = "t",
                         .address = "t:1",
                         .failure_domain = {"d0"},
                         .role = vm_role::kEngine,
                         .incarnation = 5});
  network.Run(std::chrono::seconds(3));
  load_report leaving{.target = {"t"}, .incarnation = 5, .sequence = 2};
  leaving.phase = target_phase::kLeaving;
  network.Post(network.nodes[0], load_report_received{leaving});
  network.Run(std::chrono::milliseconds(400));
  const auto count_leaving = [&network] {
    return std::count_if(
        network.nodes.begin(), network.nodes.end(), [](const test_node& node) {
          return FindTarget(node.state.targets, {"t"})->leaving;
        });
  };
  CHECK_EQUAL(6, count_leaving());
  leaving.phase = target_phase::kServing;
  leaving.sequence = 3;
  for (test_node& node : network.nodes) {
    network.Post(node, load_report_received{leaving});
  }
  network.Run(std::chrono::seconds(3));
  CHECK_EQUAL(6, count_leaving());
}

// Guards against a process that takes over the roles of its peers after a pause
// because it did not hear them meanwhile.
TEST(PeerNetwork, PauseMakesPeersStale) {
  test_network network({3}, 7);
  network.Run(std::chrono::seconds(3));
  test_node& paused = network.nodes[0];
  paused.paused = true;
  network.Run(std::chrono::seconds(30));
  paused.paused = false;
  network.Post(paused, timer_expired{});
  for (const auto& [vm, known] : paused.state.membership.peers) {
    CHECK_TRUE(known.stale);
    CHECK_TRUE(known.phase == peer_phase::kSuspected);
  }
  network.Run(std::chrono::seconds(3));
  for (const auto& [vm, known] : paused.state.membership.peers) {
    CHECK_FALSE(known.stale);
    CHECK_TRUE(known.phase == peer_phase::kAlive);
  }
}

// Guards against targets that no VM polls after a partition, and against a VM
// that polls the whole fleet.
TEST(PeerNetwork, PollsAreSharedAndBounded) {
  test_network network({3, 2}, 7);
  for (int i = 0; i < 60; ++i) {
    network.vms.push_back({.name = "t" + std::to_string(i),
                           .address = "t:1",
                           .failure_domain = {i < 20 ? "d0" : "d1"},
                           .role = vm_role::kEngine});
  }
  network.Run(std::chrono::seconds(5));
  const auto polls = [](const test_node& node) {
    return TargetsToPoll(node.state.membership, node.state.targets).size();
  };
  std::size_t all = 0;
  for (const test_node& node : network.nodes) {
    all += polls(node);
  }
  CHECK_EQUAL(60U, all);
  network.Partition({true, false, false, false, false});
  network.Run(std::chrono::seconds(20));
  // Its own failure domain's 20 and at most 8 of the others.
  CHECK_EQUAL(28U, polls(network.nodes[0]));
}

// Guards against list changes that stay with the VM that read the list, and
// against an outdated copy of the list that makes a leaving target serve again.
TEST(PeerNetwork, ListChangesReachTheFailureDomain) {
  test_network network({3}, 7);
  network.Run(std::chrono::milliseconds(3'100));
  vm_record added{.name = "t",
                  .address = "t:1",
                  .failure_domain = {"d0"},
                  .role = vm_role::kEngine,
                  .leaving = true,
                  .incarnation = 5};
  std::vector<vm_record> read = network.vms;
  read.push_back(added);
  network.Post(network.nodes[0], vm_list_received{read});
  network.Run(std::chrono::milliseconds(300));
  const auto is_leaving = [&network](std::size_t index) {
    const target* const known =
        FindTarget(network.nodes[index].state.targets, {"t"});
    return known != nullptr && known->leaving;
  };
  CHECK_TRUE(is_leaving(1));
  added.leaving = false;
  read.back() = added;
  network.Post(network.nodes[2], vm_list_received{read});
  network.Run(std::chrono::milliseconds(300));
  CHECK_TRUE(is_leaving(1));
  CHECK_TRUE(is_leaving(2));
}
