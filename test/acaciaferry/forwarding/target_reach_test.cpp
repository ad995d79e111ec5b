#include "acaciaferry/forwarding/target_reach.hpp"

#include <CppUTest/TestHarness.h>

using namespace acaciaferry;
using namespace acaciaferry::forwarding;
using std::chrono::milliseconds;

namespace {

time_point At(int ms) {
  return time_point(milliseconds(ms));
}

const pool_id kPool{"pool"};

target_reach::trial Trial(const std::string& target,
                          int started_ms,
                          const pool_id& pool = kPool,
                          std::size_t pool_size = 20) {
  return {{target}, pool, pool_size, At(started_ms)};
}

// Three targets are not reached; connecting begins 600 ms before it fails.
target_reach OutOfReachAt(int ms) {
  target_reach reach;
  CHECK_FALSE(reach.RecordUnreachable(Trial("e0", ms - 600), At(ms)));
  CHECK_FALSE(reach.RecordUnreachable(Trial("e1", ms - 600), At(ms)));
  CHECK_TRUE(reach.RecordUnreachable(Trial("e2", ms - 600), At(ms)));
  return reach;
}

}  // namespace

TEST_GROUP(TargetReach){};

// Guards against a VM that takes single targets that crashed for a partition.
TEST(TargetReach, SingleTargetsSayNothing) {
  target_reach reach;
  for (int ms = 1'000; ms < 2'000; ms += 100) {
    CHECK_FALSE(reach.RecordUnreachable(Trial("e0", ms - 600), At(ms)));
    CHECK_FALSE(reach.RecordUnreachable(Trial("e1", ms - 600), At(ms)));
  }
  CHECK_FALSE(reach.IsOutOfReach(kPool));
}

// Guards against a VM that takes the crash of many targets for a partition
// although it reaches others.
TEST(TargetReach, AConnectionToAnyTargetShowsThatTheVmReachesThem) {
  target_reach reach;
  for (int i = 0; i < 10; ++i) {
    CHECK_FALSE(reach.RecordUnreachable(Trial("e" + std::to_string(i), i * 100),
                                        At(i * 100 + 600)));
    reach.RecordReached(kPool, At(i * 100 + 601));
  }
  CHECK_FALSE(reach.IsOutOfReach(kPool));
}

// Guards against failures of the past that count as one partition.
TEST(TargetReach, FailuresFarApartSayNothing) {
  target_reach reach;
  for (int i = 0; i < 10; ++i) {
    CHECK_FALSE(reach.RecordUnreachable(
        Trial("e" + std::to_string(i), i * 2'000 + 4'000),
        At(i * 2'000 + 4'600)));
  }
}

// Guards against a VM that goes on through other VMs after the partition has
// healed because some of the targets that it probes have crashed.
TEST(TargetReach, ProbesThatReachTargetsShowTheReturn) {
  target_reach reach = OutOfReachAt(1'000);
  CHECK_TRUE(reach.NextProbe().has_value());
  CHECK_FALSE(reach.RecordProbe(kPool, true, At(1'500)));
  CHECK_FALSE(reach.RecordProbe(kPool, false, At(2'000)));
  CHECK_TRUE(reach.RecordProbe(kPool, true, At(2'500)));
  CHECK_FALSE(reach.IsOutOfReach(kPool));
  CHECK_FALSE(reach.NextProbe().has_value());
}

// Guards against failures that are forgotten because an earlier one is old.
TEST(TargetReach, FailuresCountForThreeSecondsEach) {
  target_reach reach;
  CHECK_FALSE(reach.RecordUnreachable(Trial("e0", 0), At(1'000)));
  CHECK_FALSE(reach.RecordUnreachable(Trial("e1", 0), At(3'900)));
  CHECK_FALSE(reach.RecordUnreachable(Trial("e2", 0), At(4'100)));
  CHECK_TRUE(reach.RecordUnreachable(Trial("e3", 0), At(4'200)));
}

// Guards against all connections through one VM, and through one that has gone.
TEST(TargetReach, TunnelsTakeTurnsUnlessTheyAreBroken) {
  target_reach reach = OutOfReachAt(1'000);
  STRCMP_EQUAL("", reach.NextTunnel(kPool, At(1'000)).c_str());
  reach.SetTunnels({"a:1", "b:1"});
  const std::string first = reach.NextTunnel(kPool, At(1'000));
  const std::string second = reach.NextTunnel(kPool, At(1'000));
  CHECK_TRUE(first != second);
  reach.RecordBrokenTunnel(first, At(1'000));
  STRCMP_EQUAL(second.c_str(), reach.NextTunnel(kPool, At(1'000)).c_str());
  STRCMP_EQUAL(second.c_str(), reach.NextTunnel(kPool, At(1'000)).c_str());
}

// Guards against a target that has crashed and takes all tunnels out of use,
// and against a tunnel of a VM that has lost the targets as well.
TEST(TargetReach, ATunnelIsBrokenAfterDifferentTargetsInARow) {
  target_reach reach = OutOfReachAt(1'000);
  reach.SetTunnels({"a:1"});
  reach.RecordUnreachedThrough("a:1", {"e0"}, At(1'100));
  reach.RecordUnreachedThrough("a:1", {"e0"}, At(1'200));
  reach.RecordReachedThrough("a:1");
  reach.RecordUnreachedThrough("a:1", {"e1"}, At(1'300));
  STRCMP_EQUAL("a:1", reach.NextTunnel(kPool, At(1'300)).c_str());
  reach.RecordUnreachedThrough("a:1", {"e0"}, At(1'400));
  STRCMP_EQUAL("", reach.NextTunnel(kPool, At(1'400)).c_str());
  STRCMP_EQUAL("a:1", reach.NextTunnel(kPool, At(2'500)).c_str());
}

// Guards against a detour although a request has reached its target directly.
TEST(TargetReach, ADirectConnectionShowsTheReturn) {
  target_reach reach = OutOfReachAt(1'000);
  reach.RecordReached(kPool, At(1'100));
  CHECK_FALSE(reach.IsOutOfReach(kPool));
}

// Guards against a detour while the targets can be reached.
TEST(TargetReach, ConnectionsAreDirectWithinReach) {
  target_reach reach;
  reach.SetTunnels({"a:1"});
  STRCMP_EQUAL("", reach.NextTunnel(kPool, At(0)).c_str());
}

// Guards against a VM that is partitioned from one pool only, and does not see
// it because it reaches another one.
TEST(TargetReach, EachPoolIsOutOfReachByItself) {
  const pool_id other{"other"};
  target_reach reach;
  reach.SetTunnels({"a:1"});
  for (int i = 0; i < 3; ++i) {
    reach.RecordReached(other, At(900 + i));
    reach.RecordUnreachable(Trial("e" + std::to_string(i), 500), At(1'000 + i));
  }
  CHECK_TRUE(reach.IsOutOfReach(kPool));
  CHECK_FALSE(reach.IsOutOfReach(other));
  STRCMP_EQUAL("a:1", reach.NextTunnel(kPool, At(1'010)).c_str());
  STRCMP_EQUAL("", reach.NextTunnel(other, At(1'010)).c_str());
}

// Guards against a small pool whose partition is seen too late.
TEST(TargetReach, AllTargetsOfASmallPoolAreEnough) {
  target_reach reach;
  CHECK_FALSE(reach.RecordUnreachable(Trial("e0", 0, kPool, 2), At(600)));
  CHECK_TRUE(reach.RecordUnreachable(Trial("e1", 0, kPool, 2), At(600)));
  target_reach single;
  CHECK_FALSE(single.RecordUnreachable(Trial("e0", 0, kPool, 1), At(600)));
  CHECK_FALSE(single.RecordUnreachable(Trial("e0", 0, kPool, 1), At(700)));
}

// Guards against a pool without traffic that is tried directly although no
// other one can be reached.
TEST(TargetReach, TargetsOfSeveralPoolsStandForAll) {
  target_reach reach;
  for (const char* pool : {"a", "b", "c"}) {
    reach.RecordUnreachable(Trial(std::string("e") + pool, 0, {pool}), At(600));
  }
  CHECK_TRUE(reach.IsOutOfReach({"unused"}));
}
