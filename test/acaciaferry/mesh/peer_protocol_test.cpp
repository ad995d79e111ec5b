#include "acaciaferry/mesh/peer_protocol.hpp"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace acaciaferry;
using namespace acaciaferry::mesh;
using std::chrono::milliseconds;

namespace {

class test_clock final : public clock_source {
 public:
  [[nodiscard]] time_point Now() const noexcept override { return now; }

  time_point now{std::chrono::seconds(100)};
};

constexpr const char* kPeer = "10.0.0.2:1";
constexpr const char* kPeerView = "10.0.0.2:2";

// A VM that has run for some time, and what it does with the heartbeats of a
// peer.
struct one_vm {
  explicit one_vm(duration age = milliseconds(10'000))
      : state({{"self"}, 5}, {0.2, std::chrono::seconds(10), 100}, 7),
        protocol(
            {{"self"}, {"a"}, 5, "10.0.0.1:1", "10.0.0.1:2", {}, true, 250},
            state,
            clock,
            Handlers()) {
    status.view = {1, 30, 3};
    status.view_digest = 77;
    status.reads_service = true;
    status.reads_evacuations = true;
    Pass(milliseconds(0));
    clock.now += age;
  }

  peer_protocol::handlers Handlers() {
    peer_protocol::handlers made;
    made.send = [this](const std::string& /*address*/,
                       const std::string& bytes) { sent.push_back(bytes); };
    made.request_flush = [](duration) {};
    made.post = [](const forwarding::event&) {};
    made.status = [this] { return status; };
    made.on_newer_view = [this](const view_source& source) {
      fetches.push_back(source);
      return fetches_begin;
    };
    made.on_heartbeat_interval = [] {};
    made.log = [](std::string_view, const peer_protocol::log_fields&) {};
    made.on_malformed = [] {};
    made.on_unknown_sender = [] {};
    return made;
  }

  void Pass(duration time) {
    clock.now += time;
    static_cast<void>(protocol.OnHeartbeatInterval());
  }

  // A heartbeat of the peer, at its position and with the digest of its view.
  void Hear(std::uint64_t revision,
            std::uint64_t digest,
            bool reads_evacuations) {
    heartbeat heard;
    heard.vm = {"peer"};
    heard.failure_domain = {"a"};
    heard.incarnation = 6;
    heard.datagram_address = kPeer;
    heard.view_address = kPeerView;
    heard.last_change_revision = revision;
    heard.view_era = 1;
    heard.configuration_version = 3;
    heard.capacity = 250;
    heard.service = service_contact::kDirect;
    heard.view_digest = digest;
    heard.peak_vm_count = peak_vm_count;
    heard.reads_evacuations = reads_evacuations;
    protocol.OnDatagram(Encode(heard, clock.now).front(), kPeer);
  }

  test_clock clock;
  forwarding::state state;
  local_status status;
  std::vector<std::string> sent;
  std::vector<view_source> fetches;
  /** Whether no other fetch is in progress. */
  bool fetches_begin{true};
  std::uint64_t peak_vm_count{2};
  peer_protocol protocol;
};

}  // namespace

TEST_GROUP(PeerProtocol){};

// Guards against peers that take this VM for one of an older release.
TEST(PeerProtocol, HeartbeatsTellWhetherTheViewHasAllDocuments) {
  one_vm vm;
  for (const bool reads : {true, false}) {
    vm.status.reads_evacuations = reads;
    vm.sent.clear();
    vm.Hear(30, 77, true);
    vm.Pass(milliseconds(500));
    bool told = false;
    for (const std::string& each : vm.sent) {
      const auto decoded = Decode(each, vm.clock.now);
      if (const auto* made = std::get_if<heartbeat>(&*decoded)) {
        CHECK_TRUE(made->reads_evacuations == reads);
        told = true;
      }
    }
    CHECK_TRUE(told);
  }
}

// Guards against the view of a peer of release f1be9e1 that counts as one with
// all documents, and leaves this VM's incomplete although it hears the service.
TEST(PeerProtocol, NewsOfOlderReleasesAreLeftToTheServiceForAWhile) {
  one_vm vm;
  vm.Hear(35, 77, false);
  vm.Pass(milliseconds(500));
  CHECK_TRUE(vm.fetches.empty());
  for (int i = 0; i < 3; ++i) {
    vm.Hear(35, 77, false);
    vm.Pass(milliseconds(500));
  }
  CHECK_FALSE(vm.fetches.empty());
  STRCMP_EQUAL(kPeerView, vm.fetches.back().address.c_str());
  CHECK_FALSE(vm.fetches.back().reads_evacuations);
  // Nobody else tells it.
  one_vm alone;
  alone.status.reads_service = false;
  alone.Hear(35, 77, false);
  alone.Pass(milliseconds(500));
  LONGS_EQUAL(1, alone.fetches.size());
  // A peer that has all documents.
  one_vm same;
  same.Hear(35, 77, true);
  same.Pass(milliseconds(500));
  LONGS_EQUAL(1, same.fetches.size());
  CHECK_TRUE(same.fetches[0].reads_evacuations);
}

// Guards against a view that is fetched again and again since it differs from
// that of a peer which can't read evacuations, and against a difference from
// one which can that stays.
TEST(PeerProtocol, DigestsOfOlderReleasesAreNotCompared) {
  for (const bool reads : {false, true}) {
    one_vm vm;
    vm.status.reads_service = false;
    // A large fleet, in which the peer is a hub and this VM is not.
    for (int i = 0; i < 30; ++i) {
      for (std::uint64_t other = 0; other < 14; ++other) {
        heartbeat heard;
        heard.vm = {"vm-" + std::to_string(other)};
        heard.failure_domain = {"a"};
        heard.incarnation = 10 + other;
        heard.datagram_address = "10.0.1." + std::to_string(other) + ":1";
        heard.view_address = heard.datagram_address;
        heard.last_change_revision = 30;
        heard.view_era = 1;
        heard.configuration_version = 3;
        heard.capacity = 500;
        heard.service = service_contact::kDirect;
        heard.view_digest = 88;
        heard.peak_vm_count = 15;
        heard.reads_evacuations = reads;
        vm.protocol.OnDatagram(Encode(heard, vm.clock.now).front(),
                               heard.datagram_address);
      }
      vm.Pass(milliseconds(500));
    }
    CHECK_TRUE(vm.protocol.Roster().IsLarge());
    CHECK_TRUE(vm.fetches.empty() == !reads);
  }
}

// Guards against a VM that has not all documents although a peer at the same
// position has them.
TEST(PeerProtocol, IncompleteViewsAreCompletedByPeers) {
  one_vm vm;
  vm.status.reads_evacuations = false;
  vm.Hear(30, 77, false);
  CHECK_TRUE(vm.fetches.empty());
  vm.Hear(30, 77, true);
  LONGS_EQUAL(1, vm.fetches.size());
  CHECK_TRUE(vm.fetches[0].repairs);
  CHECK_TRUE(vm.fetches[0].reads_evacuations);
}

// Guards against a process that starts after the service came back from an
// older copy, and doesn't learn from its peers what the copy lacks.
TEST(PeerProtocol, ProcessesThatStartCompareTheirViews) {
  one_vm vm;
  vm.Hear(30, 88, true);
  CHECK_TRUE(vm.fetches.empty());
  one_vm started(milliseconds(0));
  started.Hear(30, 77, true);
  started.Hear(30, 88, false);
  CHECK_TRUE(started.fetches.empty());
  for (int i = 0; i < 10; ++i) {
    started.Hear(30, 88, true);
  }
  CHECK_FALSE(started.fetches.empty());
  CHECK_COMPARE(started.fetches.size(), <=, 3U);
  CHECK_FALSE(started.fetches[0].serves_changes);
}

// Guards against heartbeats that arrive during another fetch and use up the
// comparisons of a process that has just started.
TEST(PeerProtocol, OnlyFetchesThatBeginCountAsComparisons) {
  one_vm started(milliseconds(0));
  started.fetches_begin = false;
  for (int i = 0; i < 10; ++i) {
    started.Hear(30, 88, true);
  }
  started.fetches_begin = true;
  started.fetches.clear();
  started.Hear(30, 88, true);
  CHECK_FALSE(started.fetches.empty());
}
