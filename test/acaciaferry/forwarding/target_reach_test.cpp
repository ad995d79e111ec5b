#include "acaciaferry/forwarding/target_reach.hpp"

#include <CppUTest/TestHarness.h>

using namespace acaciaferry;
using namespace acaciaferry::forwarding;
using std::chrono::milliseconds;

namespace {

time_point At(int ms) {
  return time_point(milliseconds(ms));
}

// Three targets are not reached; connecting begins 600 ms before it fails.
target_reach OutOfReachAt(int ms) {
  target_reach reach;
  CHECK_FALSE(reach.RecordUnreachable({"e0"}, At(ms - 600), At(ms)));
  CHECK_FALSE(reach.RecordUnreachable({"e1"}, At(ms - 600), At(ms)));
  CHECK_TRUE(reach.RecordUnreachable({"e2"}, At(ms - 600), At(ms)));
  return reach;
}

}  // namespace

TEST_GROUP(TargetReach){};

// Guards against a VM that takes single targets that crashed for a partition.
TEST(TargetReach, SingleTargetsSayNothing) {
  target_reach reach;
  for (int ms = 1'000; ms < 2'000; ms += 100) {
    CHECK_FALSE(reach.RecordUnreachable({"e0"}, At(ms - 600), At(ms)));
    CHECK_FALSE(reach.RecordUnreachable({"e1"}, At(ms - 600), At(ms)));
  }
  CHECK_FALSE(reach.IsOutOfReach());
}

// Guards against a VM that takes the crash of many targets for a partition
// although it reaches others.
TEST(TargetReach, AConnectionToAnyTargetShowsThatTheVmReachesThem) {
  target_reach reach;
  for (int i = 0; i < 10; ++i) {
    CHECK_FALSE(reach.RecordUnreachable({"e" + std::to_string(i)}, At(i * 100),
                                        At(i * 100 + 600)));
    reach.RecordReached(At(i * 100 + 601));
  }
  CHECK_FALSE(reach.IsOutOfReach());
}

// Guards against failures of the past that count as one partition.
TEST(TargetReach, FailuresFarApartSayNothing) {
  target_reach reach;
  for (int i = 0; i < 10; ++i) {
    CHECK_FALSE(reach.RecordUnreachable({"e" + std::to_string(i)},
                                        At(i * 2'000 + 4'000),
                                        At(i * 2'000 + 4'600)));
  }
}

// Guards against a VM that goes on through other VMs after the partition has
// healed, and against one that returns too early.
TEST(TargetReach, ProbesInARowShowTheReturn) {
  target_reach reach = OutOfReachAt(1'000);
  CHECK_TRUE(reach.NextProbe().has_value());
  CHECK_FALSE(reach.RecordProbe(true, At(1'500)));
  CHECK_FALSE(reach.RecordProbe(false, At(2'000)));
  CHECK_FALSE(reach.RecordProbe(true, At(2'500)));
  CHECK_TRUE(reach.RecordProbe(true, At(3'000)));
  CHECK_FALSE(reach.IsOutOfReach());
  CHECK_FALSE(reach.NextProbe().has_value());
}

// Guards against all connections through one VM, and through one that has lost
// the targets as well.
TEST(TargetReach, TunnelsTakeTurnsUnlessTheyAreBroken) {
  target_reach reach = OutOfReachAt(1'000);
  CHECK_TRUE(reach.IsIsolated(At(1'000)));
  STRCMP_EQUAL("", reach.NextTunnel(At(1'000)).c_str());
  reach.SetTunnels({"a:1", "b:1"});
  CHECK_FALSE(reach.IsIsolated(At(1'000)));
  const std::string first = reach.NextTunnel(At(1'000));
  const std::string second = reach.NextTunnel(At(1'000));
  CHECK_TRUE(first != second);
  reach.RecordBrokenTunnel(first, At(1'000));
  STRCMP_EQUAL(second.c_str(), reach.NextTunnel(At(1'000)).c_str());
  STRCMP_EQUAL(second.c_str(), reach.NextTunnel(At(1'000)).c_str());
  reach.RecordBrokenTunnel(second, At(1'500));
  CHECK_TRUE(reach.IsIsolated(At(1'500)));
  CHECK_FALSE(reach.IsIsolated(At(2'000)));
}

// Guards against a detour while the targets can be reached.
TEST(TargetReach, ConnectionsAreDirectWithinReach) {
  target_reach reach;
  reach.SetTunnels({"a:1"});
  STRCMP_EQUAL("", reach.NextTunnel(At(0)).c_str());
}
