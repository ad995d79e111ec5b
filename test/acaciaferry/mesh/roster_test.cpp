#include "acaciaferry/mesh/roster.hpp"

#include <algorithm>
#include <set>

#include <CppUTest/TestHarness.h>

using namespace acaciaferry;
using namespace acaciaferry::mesh;
using std::chrono::milliseconds;

namespace {

time_point At(int ms) {
  return time_point(milliseconds(ms));
}

heartbeat From(const char* vm,
               std::uint64_t incarnation = 1,
               std::uint64_t last_change_revision = 0) {
  return {{vm},
          {std::string(1, vm[0])},
          incarnation,
          std::string(vm) + ":1",
          std::string(vm) + ":2",
          last_change_revision,
          false,
          {}};
}

bool Contains(const std::vector<std::string>& addresses, const char* wanted) {
  return std::find(addresses.begin(), addresses.end(), wanted) !=
         addresses.end();
}

}  // namespace

TEST_GROUP(Roster){};

// Guards against a part of a partitioned fleet that takes itself for the whole.
TEST(Roster, CountsTheVmsThatAreHeard) {
  roster made("self:1", {"s"}, {}, 7);
  made.OnHeartbeat(From("a"), At(0));
  made.OnHeartbeat(From("b"), At(0));
  LONGS_EQUAL(3, made.HeardVmCount(At(500)));
  made.OnHeartbeat(From("a"), At(1'000));
  LONGS_EQUAL(2, made.HeardVmCount(At(1'500)));
  LONGS_EQUAL(3, made.PeakVmCount());
}

// Guards against live VMs of a large fleet that take each other for lost, and
// then don't hear of each other's dispatches.
TEST(Roster, EveryVmOfALargeFleetGetsHeartbeatsInTime) {
  roster made("self:1", {"s"}, {}, 7);
  for (int i = 0; i < 80; ++i) {
    made.OnHeartbeat(From(("vm" + std::to_string(i)).c_str()), At(0));
  }
  constexpr auto kLivenessTimeout = milliseconds(4'000);
  std::map<std::string, duration> unheard;
  for (int round = 0; round < 200; ++round) {
    for (const std::string& each : made.LiveAddresses()) {
      unheard[each] += kHeartbeatInterval;
    }
    for (const std::string& each : made.HeartbeatRecipients(At(0))) {
      unheard[each] = {};
    }
    for (const auto& [address, time] : unheard) {
      CHECK_TRUE(time < kLivenessTimeout);
    }
  }
}

// Guards against a VM that restarts in a partition and takes the VMs that it
// hears for the whole fleet: each part would use up what all VMs share.
TEST(Roster, RestartedVmsLearnTheSizeOfTheFleet) {
  roster made("self:1", {"s"}, {}, 7);
  heartbeat peer = From("a");
  peer.peak_vm_count = 81;
  made.OnHeartbeat(peer, At(0));
  LONGS_EQUAL(81, made.PeakVmCount());
  LONGS_EQUAL(2, made.HeardVmCount(At(100)));
  LONGS_EQUAL(2, made.OwnPeakVmCount());
  made.Expire(At(60'000));
  LONGS_EQUAL(81, made.PeakVmCount());
}

// Guards against a view that counts as newer because its revisions are of an
// earlier era, and against a configuration that peers know and nobody fetches.
TEST(Roster, RevisionsOfDifferentErasDoNotCompare) {
  const view_position own{2, 20, 9};
  CHECK_FALSE(IsNewer({1, 31, 9}, own));
  CHECK_FALSE(IsNewer({0, 31, 0}, own));
  CHECK_FALSE(IsNewer(own, own));
  CHECK_TRUE(IsNewer({2, 21, 9}, own));
  CHECK_TRUE(IsNewer({3, 4, 9}, own));
  CHECK_TRUE(IsNewer({1, 31, 12}, own));
  CHECK_TRUE(IsNewer({0, 31, 0}, {0, 30, 0}));
  roster made("self:1", {"s"}, {}, 7);
  heartbeat behind = From("a", 1, 31);
  behind.view_era = 1;
  behind.configuration_version = 9;
  made.OnHeartbeat(behind, At(0));
  CHECK_TRUE(made.FindNewer(own) == nullptr);
  heartbeat later = From("b", 1, 25);
  later.view_era = 2;
  later.configuration_version = 9;
  made.OnHeartbeat(later, At(0));
  STRCMP_EQUAL("b", made.FindNewer(own)->last_heartbeat.vm.value.c_str());
  behind.configuration_version = 12;
  made.OnHeartbeat(behind, At(0));
  STRCMP_EQUAL("a", made.FindNewer(own)->last_heartbeat.vm.value.c_str());
}

// Guards against replies to addresses of VMs that have moved or gone.
TEST(Roster, KnowsTheAddressesOfLiveVms) {
  roster made("self:1", {"s"}, {}, 7);
  made.OnHeartbeat(From("a"), At(0));
  CHECK_TRUE(made.IsLive("a:1"));
  heartbeat moved = From("a", 2);
  moved.datagram_address = "a:9";
  made.OnHeartbeat(moved, At(100));
  CHECK_FALSE(made.IsLive("a:1"));
  CHECK_TRUE(made.IsLive("a:9"));
  made.Expire(At(9'000));
  CHECK_FALSE(made.IsLive("a:9"));
}

// Guards against VMs that never discover each other: the seeds are contacted
// first, then the VMs that they know.
TEST(Roster, FindsVmsThroughSeeds) {
  roster made("self:1", {"s"}, {"seed:1", "self:1"}, 7);
  LONGS_EQUAL(1, made.HeartbeatRecipients(At(0)).size());
  heartbeat seed = From("seed");
  seed.known_peers = {"other:1", "self:1"};
  CHECK_TRUE(made.OnHeartbeat(seed, At(0)).is_new);
  const auto targets = made.HeartbeatRecipients(At(0));
  CHECK_TRUE(Contains(targets, "other:1"));
  CHECK_FALSE(Contains(targets, "self:1"));
}

// Guards against VMs that start together and choose targets for a second
// without knowing each other's dispatches.
TEST(Roster, GreetsNewVmsAtOnce) {
  roster made("self:1", {"s"}, {"seed:1"}, 7);
  heartbeat seed = From("seed");
  seed.known_peers = {"other:1", "self:1"};
  const auto addresses_to_greet =
      made.OnHeartbeat(seed, At(0)).addresses_to_greet;
  LONGS_EQUAL(2, addresses_to_greet.size());
  CHECK_TRUE(Contains(addresses_to_greet, "seed:1"));
  CHECK_TRUE(Contains(addresses_to_greet, "other:1"));
  // A VM is greeted once; further heartbeats follow at their interval.
  LONGS_EQUAL(0, made.OnHeartbeat(seed, At(10)).addresses_to_greet.size());
  LONGS_EQUAL(
      1, made.OnHeartbeat(From("other"), At(20)).addresses_to_greet.size());
  CHECK_TRUE(made.IsLive("other:1"));
  CHECK_FALSE(made.IsLive("stranger:1"));
}

// Guards against a failure domain in which no VM, or every VM, watches the
// configuration service for the others.
TEST(Roster, RanksTheVmsOfItsFailureDomain) {
  roster made("s5:1", {"s"}, {}, 7);
  CHECK_TRUE(made.IsAmongFirst(1));
  made.OnHeartbeat(From("s1"), At(0));
  CHECK_FALSE(made.IsAmongFirst(1));
  CHECK_TRUE(made.IsAmongFirst(2));
  made.OnHeartbeat(From("a1"), At(0));
  made.OnHeartbeat(From("s9"), At(0));
  CHECK_TRUE(made.IsAmongFirst(2));
  heartbeat leaving = From("s1");
  leaving.leaving = true;
  made.OnHeartbeat(leaving, At(10));
  CHECK_TRUE(made.IsAmongFirst(1));
}

// Guards against a delayed heartbeat of an earlier process that replaces the
// newer one, and against jobs of the earlier process that are never dropped.
TEST(Roster, NewerIncarnationsReplaceOlderOnes) {
  roster made("self:1", {"s"}, {}, 7);
  made.OnHeartbeat(From("a", 5), At(0));
  CHECK_FALSE(
      made.OnHeartbeat(From("a", 4), At(1)).replaced_incarnation.has_value());
  LONGS_EQUAL(5, *made.OnHeartbeat(From("a", 6), At(2)).replaced_incarnation);
}

// Guards against a shared limit that grows for each VM when VMs can't hear each
// other.
TEST(Roster, CutOffVmsKeepTheirShare) {
  roster made("self:1", {"s"}, {}, 7);
  CHECK_TRUE(made.PeakVmCount() > 1);
  made.OnHeartbeat(From("a"), At(0));
  made.OnHeartbeat(From("b"), At(0));
  LONGS_EQUAL(3, made.PeakVmCount());
  LONGS_EQUAL(2, made.Expire(At(5'000)).size());
  LONGS_EQUAL(3, made.PeakVmCount());
  LONGS_EQUAL(0, made.LiveAddresses().size());
}

// Guards against fetching the view of a peer that knows nothing newer.
TEST(Roster, NamesThePeerWithTheNewestView) {
  roster made("self:1", {"s"}, {}, 7);
  made.OnHeartbeat(From("a", 1, 5), At(0));
  made.OnHeartbeat(From("b", 1, 9), At(0));
  CHECK_TRUE(made.FindNewer({0, 9, 0}) == nullptr);
  STRCMP_EQUAL("b", made.FindNewer({0, 4, 0})->last_heartbeat.vm.value.c_str());
}

// Guards against waiting for every target of a domain that is cut off, and
// against considering all targets unreachable when this VM is cut off.
TEST(Roster, DetectsDomainsThatAreCutOff) {
  roster made("self:1", {"s"}, {}, 7);
  made.OnHeartbeat(From("a1"), At(0));
  made.OnHeartbeat(From("b1"), At(0));
  made.OnHeartbeat(From("a2"), At(1'200));
  const auto silent = made.CutOffDomains(At(1'200));
  LONGS_EQUAL(1, silent.size());
  STRCMP_EQUAL("b", silent[0].value.c_str());
  LONGS_EQUAL(0, made.CutOffDomains(At(3'000)).size());
}

// Guards against a domain that counts as reachable because its VMs have
// expired, and against one that counts as cut off forever.
TEST(Roster, RemembersACutOffDomainAfterItsVmsHaveExpired) {
  roster made("self:1", {"s"}, {}, 7);
  made.OnHeartbeat(From("b1"), At(0));
  made.OnHeartbeat(From("a1"), At(6'000));
  made.Expire(At(6'000));
  LONGS_EQUAL(1, made.CutOffDomains(At(6'000)).size());
  made.OnHeartbeat(From("a1"), At(11'000));
  LONGS_EQUAL(0, made.CutOffDomains(At(11'000)).size());
}

// Guards against abandoning the targets of a domain whose VMs restart, and
// those of this VM's own domain.
TEST(Roster, RestartedDomainsAreNotCutOff) {
  roster made("self:1", {"s"}, {}, 7);
  heartbeat leaving = From("b1");
  leaving.leaving = true;
  made.OnHeartbeat(From("b1"), At(0));
  made.OnHeartbeat(leaving, At(500));
  made.OnHeartbeat(From("s2"), At(0));
  made.OnHeartbeat(From("a1"), At(3'000));
  LONGS_EQUAL(0, made.CutOffDomains(At(3'000)).size());
}

// Guards against a number of messages that grows with the square of the fleet's
// size.
TEST(Roster, LimitsTheHeartbeatsOfALargeFleet) {
  roster made("self:1", {"s"}, {}, 7);
  for (int i = 0; i < 200; ++i) {
    made.OnHeartbeat(From(("vm" + std::to_string(i)).c_str()), At(0));
  }
  LONGS_EQUAL(24, made.HeartbeatRecipients(At(0)).size());
}

namespace {

constexpr std::uint32_t kCapacity = 120;

// A VM of a large fleet that reaches targets or doesn't.
heartbeat Large(const char* vm, bool tunnels) {
  heartbeat made = From(vm);
  made.capacity = kCapacity;
  made.peak_vm_count = 81;
  made.plans = true;
  made.tunnels = tunnels;
  return made;
}

}  // namespace

// Guards against a VM that knows no tunnel since the VMs that it hears reach no
// targets either.
TEST(Roster, TunnelsThatOthersNameAreUsedWhileTheyAreNamed) {
  roster made("s1:1", {"s"}, {}, 7, kCapacity);
  heartbeat hub = Large("s2", false);
  hub.known_tunnels = {"s3:1", "s1:1", "s4:1"};
  made.OnHeartbeat(hub, At(0));
  CHECK_TRUE((made.Tunnels(At(0)) == std::vector<std::string>{"s3:1", "s4:1"}));
  // What is heard of a VM itself goes first.
  made.OnHeartbeat(Large("s4", false), At(100));
  made.OnHeartbeat(Large("a1", true), At(100));
  CHECK_TRUE(
      (made.Tunnels(At(100)) == std::vector<std::string>{"a1:1", "s3:1"}));
  CHECK_FALSE(Contains(made.Tunnels(At(3'000)), "s3:1"));
  hub.known_tunnels.clear();
  made.OnHeartbeat(hub, At(200));
  CHECK_FALSE(Contains(made.Tunnels(At(200)), "s3:1"));
}

// Guards against one tunnel that all VMs of a failure domain are told to use,
// and against tunnels between failure domains while there are nearer ones.
TEST(Roster, TunnelsAreNamedInTurnTheNearestFirst) {
  roster made("s1:1", {"s"}, {}, 7, kCapacity);
  for (const char* vm : {"s2", "s3", "s4", "s5", "s6", "s7", "s8", "a1"}) {
    made.OnHeartbeat(Large(vm, true), At(0));
  }
  made.OnHeartbeat(Large("s9", false), At(0));
  CHECK_TRUE(made.ReachesNoTargets("s9:1"));
  CHECK_FALSE(made.ReachesNoTargets("s2:1"));
  std::set<std::string> named;
  for (const char* recipient : {"s9:1", "s10:1", "s11:1", "s12:1", "s13:1",
                                "s14:1", "s15:1", "s16:1"}) {
    for (const std::string& each : made.TunnelsToName(recipient, At(0))) {
      named.insert(each);
    }
  }
  LONGS_EQUAL(kMaxKnownTunnels, made.TunnelsToName("s9:1", At(0)).size());
  CHECK_COMPARE(named.size(), >, kMaxKnownTunnels);
  CHECK_FALSE(named.contains("a1:1"));
  CHECK_FALSE(named.contains("s9:1"));
  CHECK_FALSE(Contains(made.TunnelsToName("s2:1", At(0)), "s2:1"));
}
