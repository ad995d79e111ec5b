#include "acaciaferry/membership/state.hpp"

#include <map>
#include <string>
#include <tuple>
#include <vector>

#include <rapidcheck.h>

#include "acaciaferry/membership/exchange.hpp"

#include <CppUTest/TestHarness.h>

using namespace acaciaferry;

namespace {

const time_point kStart{std::chrono::hours(1)};

membership_state MakeState() {
  membership_state state;
  state.self = {"self"};
  state.failure_domain = {"d0"};
  return state;
}

peer_message MakeHeartbeat(std::uint64_t incarnation,
                           std::uint64_t sequence,
                           bool leaving) {
  heartbeat body{.leaving = leaving};
  body.failure_domain = {"d0"};
  body.callers_address = "a:2";
  return {{"a"}, incarnation, sequence, body};
}

}  // namespace

TEST_GROUP(Membership){};

// Guards against a leaving VM that counts as staying again after a late,
// repeated or replayed message, and against accepting a superseded process.
TEST(Membership, LeavingIsStickyForOneIncarnation) {
  CHECK_TRUE(rc::check(
      [](const std::vector<std::tuple<std::uint8_t, std::uint8_t, bool>>&
             heartbeats) {
        membership_state state = MakeState();
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        bool leaving = false;
        for (const auto& [raw_incarnation, raw_sequence, is_leaving] :
             heartbeats) {
          const std::uint64_t sent_by = 1 + raw_incarnation % 4;
          const std::uint64_t number = 1 + raw_sequence % 8;
          std::vector<send_to_peers> out;
          const peer_update update = OnPeerMessage(
              state, MakeHeartbeat(sent_by, number, is_leaving), kStart, out);
          const bool is_later = sent_by > incarnation;
          const bool is_new =
              is_later || (sent_by == incarnation && number > sequence);
          RC_ASSERT((update.verdict == peer_verdict::kAccepted) == is_new);
          if (is_new) {
            leaving = is_leaving || (leaving && !is_later);
            incarnation = sent_by;
            sequence = number;
          }
          RC_ASSERT(state.peers.at({"a"}).incarnation == incarnation);
          RC_ASSERT(state.peers.at({"a"}).leaving == leaving);
        }
      }));
}

// Guards against rejecting a VM that restarted after its clock was set back,
// and against accepting an earlier process that the VM list does not name.
TEST(Membership, LowerIncarnationMustBeListed) {
  membership_state state = MakeState();
  CHECK_TRUE(AcceptMessage(state, MakeHeartbeat(9, 1, false), kStart) ==
             peer_verdict::kAccepted);
  CHECK_TRUE(AcceptMessage(state, MakeHeartbeat(5, 1, false), kStart) ==
             peer_verdict::kSupersededIncarnation);
  const std::vector<vm_record> list{{.name = "a",
                                     .address = "a:1",
                                     .failure_domain = {"d0"},
                                     .incarnation = 5}};
  ApplyPeerList(state, list);
  CHECK_TRUE(AcceptMessage(state, MakeHeartbeat(5, 1, false), kStart) ==
             peer_verdict::kAccepted);
}

// Guards against phases that change at other times than documented.
TEST(Membership, SuspectedAfterThreeSecondsAndDeadAfterSix) {
  membership_state state = MakeState();
  std::vector<send_to_peers> out;
  (void)OnPeerMessage(state, MakeHeartbeat(1, 1, false), kStart, out);
  const std::map<int, peer_phase> expected{{2'999, peer_phase::kAlive},
                                           {3'000, peer_phase::kSuspected},
                                           {5'999, peer_phase::kSuspected},
                                           {6'000, peer_phase::kDead}};
  for (int ms = 0; ms <= 6'000; ++ms) {
    CHECK_FALSE(
        UpdatePeerPhases(state, kStart + std::chrono::milliseconds(ms)));
    const auto found = expected.find(ms);
    if (found != expected.end()) {
      CHECK_TRUE(state.peers.at({"a"}).phase == found->second);
    }
  }
}

// Guards against reporting a peer's process to other modules twice, or not at
// all when it is replaced.
TEST(Membership, PeerIsDiscoveredOncePerProcess) {
  membership_state state = MakeState();
  const auto discovered = [&state](std::uint64_t incarnation,
                                   std::uint64_t sequence) {
    std::vector<send_to_peers> out;
    return OnPeerMessage(state, MakeHeartbeat(incarnation, sequence, false),
                         kStart, out)
        .discovered_peers.size();
  };
  CHECK_EQUAL(1U, discovered(1, 1));
  CHECK_EQUAL(0U, discovered(1, 2));
  CHECK_EQUAL(1U, discovered(2, 1));
}

// Guards against a peer table that grows without limit.
TEST(Membership, PeersAreBounded) {
  membership_state state = MakeState();
  for (std::size_t i = 0; i < kMaxPeers; ++i) {
    CHECK_TRUE(AcceptMessage(state,
                             {{"vm" + std::to_string(i)}, 1, 1, heartbeat{}},
                             kStart) == peer_verdict::kAccepted);
  }
  CHECK_TRUE(AcceptMessage(state, {{"one more"}, 1, 1, heartbeat{}}, kStart) ==
             peer_verdict::kTooManyPeers);
  CHECK_TRUE(AcceptMessage(state, {{"self"}, 1, 1, heartbeat{}}, kStart) ==
             peer_verdict::kOwnName);
}
