#include <algorithm>
#include <set>

#include "acaciaferry/forwarding/state.hpp"
#include "forwarding/test_engine.hpp"

#include <CppUTest/TestHarness.h>

using namespace acaciaferry;
using namespace acaciaferry::forwarding;
using std::chrono::milliseconds;

namespace {

time_point At(int ms) {
  return time_point(milliseconds(ms));
}

// A VM with six targets of a plain service, which it can't reach any more.
struct fixture {
  fixture() {
    routing_table table;
    table.pools = {{{"pool"}, {}}};
    SetPools(vm, table);
    std::vector<target> targets;
    for (int i = 0; i < 6; ++i) {
      target made;
      made.id = {"s" + std::to_string(i)};
      made.pool = {"pool"};
      made.address = made.id.value + ":1";
      made.slots = 16;
      targets.push_back(made);
    }
    PostAt(0, targets_published{targets});
  }

  void PostAt(int ms, const event& happened) {
    now = At(ms);
    last = Reduce(vm, happened, now);
  }

  template <typename Effect>
  [[nodiscard]] std::vector<Effect> All() const {
    std::vector<Effect> found;
    for (const effect& each : last) {
      if (const auto* one = std::get_if<Effect>(&each)) {
        found.push_back(*one);
      }
    }
    return found;
  }

  void Call(int ms, call_id id, call_kind kind = call_kind::kNonIdempotent) {
    call what;
    what.id = id;
    what.caller_request_id = "c" + std::to_string(id);
    what.pool = {"pool"};
    what.kind = kind;
    what.max_attempts = 2;
    what.time_limit = milliseconds(3'000);
    what.latency_objective = milliseconds(150);
    PostAt(ms, call_arrived{what});
  }

  // Three calls that arrive together find no connection, one after the other.
  void LoseTargets() {
    PostAt(500, tunnels_changed{{"vm2:1", "vm3:1"}});
    for (call_id id = 1; id <= 4; ++id) {
      Call(1'000, id);
      STRCMP_EQUAL("", All<send_attempt>().front().tunnel.c_str());
    }
    for (call_id id = 1; id <= 3; ++id) {
      PostAt(1'600, attempt_failed{id, 1, attempt_failure::kNotConnected});
    }
  }

  time_point now{At(0)};
  state vm{{{"vm"}, 1}, {0.2, std::chrono::seconds(10), 50}, 7};
  effects last;
};

}  // namespace

TEST_GROUP(Reach){};

// Guards against a VM that is partitioned from all targets and serves nobody,
// although other VMs reach the targets.
TEST(Reach, CallsGoThroughOtherVmsWhenNoTargetCanBeReached) {
  fixture cut;
  cut.LoseTargets();
  // All move on, also those whose connections have not timed out yet.
  std::set<call_id> moved_on;
  for (const send_attempt& each : cut.All<send_attempt>()) {
    CHECK_FALSE(each.tunnel.empty());
    moved_on.insert(each.id);
  }
  CHECK_TRUE((moved_on == std::set<call_id>{1, 2, 3, 4}));
  cut.Call(1'700, 5);
  CHECK_FALSE(cut.All<send_attempt>().front().tunnel.empty());
  LONGS_EQUAL(6, cut.vm.targets.Usable({"pool"}, cut.now).size());
}

// Guards against a call that may not be repeated and is sent again through
// another VM after it may have reached its target.
TEST(Reach, CallsThatWereSentAreNotRepeatedThroughOtherVms) {
  fixture cut;
  cut.Call(900, 9);
  cut.PostAt(901, attempt_sent{9, 1});
  cut.LoseTargets();
  for (const send_attempt& each : cut.All<send_attempt>()) {
    CHECK_TRUE(each.id != 9);
  }
  cut.PostAt(2'000, attempt_failed{9, 1, attempt_failure::kNoResponse});
  LONGS_EQUAL(0, cut.All<send_attempt>().size());
  CHECK_TRUE(cut.All<refuse_call>().front().why.result == outcome::kUnknown);
}

// Guards against sound targets that are distrusted because a VM through which
// they were to be reached has gone.
TEST(Reach, ABrokenTunnelSaysNothingOfTheTarget) {
  fixture cut;
  cut.LoseTargets();
  cut.Call(1'700, 5);
  const std::string tunnel = cut.All<send_attempt>().front().tunnel;
  cut.PostAt(1'710, attempt_failed{5, 1, attempt_failure::kNoTunnel});
  const auto again = cut.All<send_attempt>();
  LONGS_EQUAL(1, again.size());
  CHECK_TRUE(again.front().tunnel != tunnel);
  LONGS_EQUAL(6, cut.vm.targets.Usable({"pool"}, cut.now).size());
}

// Guards against a fleet that refuses all calls because it takes the crash of
// some targets for a partition: without another way the direct one is tried.
TEST(Reach, CallsAreTriedDirectlyWithoutAnotherWay) {
  fixture cut;
  cut.LoseTargets();
  cut.PostAt(1'650, tunnels_changed{{}});
  cut.Call(1'700, 5);
  const auto sent = cut.All<send_attempt>();
  LONGS_EQUAL(1, sent.size());
  STRCMP_EQUAL("", sent.front().tunnel.c_str());
  cut.PostAt(1'701, attempt_sent{5, 1});
  CHECK_FALSE(cut.vm.reach.IsOutOfReach({"pool"}));
}

// Guards against a partition that is not seen since calls that may be repeated
// don't wait until their connections time out.
TEST(Reach, SlowConnectionsOfIdempotentCallsCount) {
  fixture cut;
  cut.PostAt(500, tunnels_changed{{"vm2:1"}});
  for (call_id id = 1; id <= 3; ++id) {
    cut.Call(1'000, id, call_kind::kIdempotent);
  }
  cut.PostAt(1'230, timer_fired{});
  CHECK_TRUE(cut.vm.reach.IsOutOfReach({"pool"}));
}

// Guards against calls that move on together and are judged once more by the
// timeouts of their earlier attempts.
TEST(Reach, CallsThatMoveOnTogetherAreHandledOnce) {
  fixture cut;
  cut.PostAt(500, tunnels_changed{{"vm2:1"}});
  for (call_id id = 1; id <= 6; ++id) {
    cut.Call(1'000, id, call_kind::kIdempotent);
  }
  cut.PostAt(1'230, timer_fired{});
  // Two are tried directly once more before the third shows the partition.
  const auto sent = cut.All<send_attempt>();
  LONGS_EQUAL(8, sent.size());
  LONGS_EQUAL(6, std::count_if(sent.begin(), sent.end(), [](const auto& each) {
                return !each.tunnel.empty();
              }));
  STRCMP_EQUAL("vm2:1", cut.vm.reach.NextTunnel({"pool"}, cut.now).c_str());
}

// Guards against "not run" for a call whose request is written at the moment at
// which its time ends.
TEST(Reach, WhatWasSentAtTheDeadlineMayHaveRun) {
  fixture late;
  late.Call(1'000, 1);
  late.PostAt(3'995, attempt_sent{1, 1});
  for (const refuse_call& each : late.All<refuse_call>()) {
    CHECK_TRUE(each.why.result == outcome::kUnknown);
  }
  late.PostAt(4'000, timer_fired{});
  CHECK_TRUE(late.All<refuse_call>().front().why.result == outcome::kUnknown);
}

// Guards against a detour that goes on after the partition has healed.
TEST(Reach, ProbesFindTheTargetsAgain) {
  fixture cut;
  cut.LoseTargets();
  cut.PostAt(2'200, timer_fired{});
  const auto probes = cut.All<probe_target>();
  LONGS_EQUAL(2, probes.size());
  CHECK_TRUE(probes[0].address != probes[1].address);
  cut.PostAt(2'210, target_probed{{"pool"}, true});
  CHECK_TRUE(cut.vm.reach.IsOutOfReach({"pool"}));
  cut.PostAt(2'220, target_probed{{"pool"}, true});
  CHECK_FALSE(cut.vm.reach.IsOutOfReach({"pool"}));
  cut.Call(2'900, 5);
  STRCMP_EQUAL("", cut.All<send_attempt>().front().tunnel.c_str());
}

// Guards against calls that go on to a target which has crashed, since an
// answer from before the crash outweighs what peers tell.
TEST(Reach, PeersDistrustCountsAlthoughATargetHasJustAnswered) {
  fixture sound;
  sound.Call(1'000, 1);
  const target_id at = sound.All<send_attempt>().front().target;
  sound.PostAt(1'001, attempt_sent{1, 1});
  sound.PostAt(1'050,
               response_started{1, 1, response_verdict::kServed, 200, "", {}});
  sound.PostAt(1'100, peer_load_update{{}, {}, {{at, milliseconds(700)}}});
  LONGS_EQUAL(5, sound.vm.targets.Usable({"pool"}, sound.now).size());
  sound.PostAt(1'900, timer_fired{});
  LONGS_EQUAL(6, sound.vm.targets.Usable({"pool"}, sound.now).size());
}

// Guards against a VM with few calls, or a pool with few targets, that finds
// out late or never that it reaches no targets.
TEST(Reach, OneCallThatIsNotConnectedIsEnough) {
  fixture cut;
  cut.PostAt(500, tunnels_changed{{"vm2:1"}});
  cut.Call(1'000, 1);
  cut.PostAt(1'600, attempt_failed{1, 1, attempt_failure::kNotConnected});
  const auto probes = cut.All<probe_target>();
  LONGS_EQUAL(2, probes.size());
  CHECK_TRUE(probes[0].target != probes[1].target);
  for (const probe_target& each : probes) {
    CHECK_FALSE(cut.vm.reach.IsOutOfReach({"pool"}));
    cut.PostAt(2'000, target_probed{each.pool, false, each.target, At(1'600)});
  }
  CHECK_TRUE(cut.vm.reach.IsOutOfReach({"pool"}));
  LONGS_EQUAL(1, cut.All<announce_reach>().size());
  // The call goes on through the tunnel.
  STRCMP_EQUAL("vm2:1", cut.All<send_attempt>().front().tunnel.c_str());
}

// Guards against a crashed target that is taken for a partition, and against
// probes for each of many calls that it fails.
TEST(Reach, AProbeThatReachesATargetSettlesTheCheck) {
  fixture sound;
  sound.Call(1'000, 1);
  sound.Call(1'000, 2);
  sound.PostAt(1'001, attempt_failed{1, 1, attempt_failure::kNotConnected});
  const auto probes = sound.All<probe_target>();
  LONGS_EQUAL(2, probes.size());
  sound.PostAt(1'001, attempt_failed{2, 1, attempt_failure::kNotConnected});
  LONGS_EQUAL(0, sound.All<probe_target>().size());
  sound.PostAt(1'002,
               target_probed{{"pool"}, true, probes[0].target, At(1'001)});
  sound.PostAt(1'401,
               target_probed{{"pool"}, false, probes[1].target, At(1'001)});
  CHECK_FALSE(sound.vm.reach.IsOutOfReach({"pool"}));
  LONGS_EQUAL(0, sound.All<probe_target>().size());
}

// Guards against a VM that offers tunnels without reaching targets, since it
// has no calls of its own.
TEST(Reach, TargetsThatAreDialedForOthersCount) {
  fixture idle;
  idle.PostAt(1'000, target_probed{{"pool"}, false, {"s0"}, At(500)});
  const auto probes = idle.All<probe_target>();
  LONGS_EQUAL(2, probes.size());
  for (const probe_target& each : probes) {
    CHECK_TRUE(each.target != target_id{"s0"});
    idle.PostAt(1'400, target_probed{each.pool, false, each.target, At(1'000)});
  }
  CHECK_TRUE(idle.vm.reach.IsOutOfReach({"pool"}));
}
