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

peer_message Beat(std::uint64_t incarnation,
                  std::uint64_t sequence,
                  bool leaving) {
  heartbeat body{.leaving = leaving};
  body.failure_domain = {"d0"};
  body.callers_address = "a:2";
  return {{"a"}, incarnation, sequence, body};
}

}  // namespace

TEST_GROUP(Membership){};

// Guards against a VM that counts as staying again because of a late, repeated
// or replayed message, and against a superseded process that is believed.
TEST(Membership, LeavingIsStickyForOneIncarnation) {
  CHECK_TRUE(rc::check(
      [](const std::vector<std::tuple<std::uint8_t, std::uint8_t, bool>>&
             beats) {
        membership_state state = MakeState();
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        bool leaving = false;
        for (const auto& [raw_incarnation, raw_sequence, is_leaving] : beats) {
          const std::uint64_t sent_by = 1 + raw_incarnation % 4;
          const std::uint64_t number = 1 + raw_sequence % 8;
          std::vector<send_to_peers> out;
          const peer_news news = OnPeerMessage(
              state, Beat(sent_by, number, is_leaving), kStart, out);
          const bool is_later = sent_by > incarnation;
          const bool is_new =
              is_later || (sent_by == incarnation && number > sequence);
          RC_ASSERT((news.verdict == peer_verdict::kAccepted) == is_new);
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

// Guards against a restarted VM that stays shut out because its clock was set
// back, and against an old process that comes back without the list's word.
TEST(Membership, LowerIncarnationNeedsTheList) {
  membership_state state = MakeState();
  CHECK_TRUE(Hear(state, Beat(9, 1, false), kStart) == peer_verdict::kAccepted);
  CHECK_TRUE(Hear(state, Beat(5, 1, false), kStart) ==
             peer_verdict::kSupersededIncarnation);
  const std::vector<vm_record> list{{.name = "a",
                                    .address = "a:1",
                                    .failure_domain = {"d0"},
                                    .incarnation = 5}};
  ApplyPeerList(state, list);
  CHECK_TRUE(Hear(state, Beat(5, 1, false), kStart) == peer_verdict::kAccepted);
}

// Guards against phases that do not follow the published times.
TEST(Membership, SuspectedAfterThreeSecondsAndDeadAfterSix) {
  membership_state state = MakeState();
  std::vector<send_to_peers> out;
  (void)OnPeerMessage(state, Beat(1, 1, false), kStart, out);
  const std::map<int, peer_phase> expected{{2'999, peer_phase::kAlive},
                                           {3'000, peer_phase::kSuspected},
                                           {5'999, peer_phase::kSuspected},
                                           {6'000, peer_phase::kDead}};
  for (int ms = 0; ms <= 6'000; ++ms) {
    CHECK_FALSE(AdvancePeers(state, kStart + std::chrono::milliseconds(ms)));
    const auto found = expected.find(ms);
    if (found != expected.end()) {
      CHECK_TRUE(state.peers.at({"a"}).phase == found->second);
    }
  }
}

// Guards against a peer's process that other modules are told of twice, or
// not when it is replaced.
TEST(Membership, PeerIsLearntOncePerProcess) {
  membership_state state = MakeState();
  const auto learnt = [&state](std::uint64_t incarnation,
                               std::uint64_t sequence) {
    std::vector<send_to_peers> out;
    return OnPeerMessage(state, Beat(incarnation, sequence, false), kStart, out)
        .learnt.size();
  };
  CHECK_EQUAL(1U, learnt(1, 1));
  CHECK_EQUAL(0U, learnt(1, 2));
  CHECK_EQUAL(1U, learnt(2, 1));
}

// Guards against a table that grows with whatever names are heard.
TEST(Membership, PeersAreBounded) {
  membership_state state = MakeState();
  for (std::size_t i = 0; i < kMaxPeers; ++i) {
    CHECK_TRUE(Hear(state, {{"vm" + std::to_string(i)}, 1, 1, heartbeat{}},
                    kStart) == peer_verdict::kAccepted);
  }
  CHECK_TRUE(Hear(state, {{"one more"}, 1, 1, heartbeat{}}, kStart) ==
             peer_verdict::kTooManyPeers);
  CHECK_TRUE(Hear(state, {{"self"}, 1, 1, heartbeat{}}, kStart) ==
             peer_verdict::kOwnName);
}
