#include "acaciaferry/peer/transport.hpp"

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <string>
#include <vector>

#include "acaciaferry/core/time.hpp"
#include "acaciaferry/peer/link.hpp"

#include <CppUTest/TestHarness.h>

using namespace acaciaferry;

namespace {

// Generous for slow machines; reached only when the test fails.
constexpr std::chrono::seconds kTimeout{60};
constexpr std::chrono::milliseconds kRetryInterval{20};

class inbox {
 public:
  void Add(std::string text) {
    const std::lock_guard lock(mutex_);
    texts_.push_back(std::move(text));
    wake_.notify_all();
  }

  // Sends repeatedly until the expected message is the last one received,
  // because messages sent before the connection is established are lost.
  template <typename Send>
  bool AwaitWhileSending(const std::string& expected, Send send) {
    const auto end = std::chrono::steady_clock::now() + kTimeout;
    std::unique_lock lock(mutex_);
    while (std::chrono::steady_clock::now() < end) {
      lock.unlock();
      send();
      lock.lock();
      wake_.wait_for(lock, kRetryInterval);
      if (!texts_.empty() && texts_.back() == expected) {
        return true;
      }
    }
    return false;
  }

 private:
  std::mutex mutex_;
  std::condition_variable wake_;
  std::vector<std::string> texts_;
};

peer_transport::receiver Into(inbox& box) {
  return [&box](byte_view bytes) {
    box.Add({reinterpret_cast<const char*>(bytes.data()), bytes.size()});
  };
}

}  // namespace

TEST_GROUP(PeerTransport) {
  steady_clock_source clock;
};

// Guards against a peer that stays unreachable after its process restarts.
TEST(PeerTransport, ReconnectsToARestartedPeer) {
  inbox box;
  peer_transport sender("127.0.0.1:0", clock, [](byte_view) {});
  auto peer = std::make_unique<peer_transport>("127.0.0.1:0", clock, Into(box));
  const std::string address = peer->Address();
  peer->Start();
  CHECK_TRUE(
      box.AwaitWhileSending("first", [&] { sender.Send(address, "first"); }));
  peer.reset();
  peer = std::make_unique<peer_transport>(address, clock, Into(box));
  peer->Start();
  CHECK_TRUE(
      box.AwaitWhileSending("second", [&] { sender.Send(address, "second"); }));
}

// Guards against a send that blocks on an unreachable peer; a blocking send
// would make this test hang.
TEST(PeerTransport, UnreachablePeerDropsInsteadOfBlocking) {
  peer_transport sender("127.0.0.1:0", clock, [](byte_view) {});
  std::string address;
  {
    const peer_transport gone("127.0.0.1:0", clock, [](byte_view) {});
    address = gone.Address();
  }
  constexpr std::uint64_t kMessages = 500;
  for (std::uint64_t i = 0; i < kMessages; ++i) {
    sender.Send(address, "lost");
  }
  const std::uint64_t dropped = sender.Totals().dropped_messages;
  CHECK_TRUE(dropped > 0);
  CHECK_EQUAL(kMessages, sender.Totals().sent_messages + dropped);
}

// Guards against accepting messages of another deployment; each rejected
// message must be reported with its verdict.
TEST(PeerTransport, LinkReportsRejectedMessages) {
  std::mutex mutex;
  std::vector<peer_verdict> verdicts;
  std::vector<peer_message> messages;
  inbox box;
  peer_link receiver(
      "127.0.0.1:0", clock, {{"b"}, 1, "the key of the deployment"},
      [&](peer_message message) {
        const std::lock_guard lock(mutex);
        messages.push_back(std::move(message));
        box.Add("accepted");
      },
      [&](peer_verdict verdict) {
        const std::lock_guard lock(mutex);
        verdicts.push_back(verdict);
        box.Add("refused");
      });
  receiver.Start();
  peer_link foreign(
      "127.0.0.1:0", clock, {{"x"}, 1, "some other key here"},
      [](peer_message) {}, [](peer_verdict) {});
  const send_to_peers beat{{receiver.Transport().Address()}, heartbeat{}};
  CHECK_TRUE(box.AwaitWhileSending("refused", [&] { foreign.Send(beat); }));
  {
    const std::lock_guard lock(mutex);
    CHECK_TRUE(verdicts.front() == peer_verdict::kForged);
    CHECK_TRUE(messages.empty());
  }
  peer_link friendly(
      "127.0.0.1:0", clock, {{"a"}, 7, "the key of the deployment"},
      [](peer_message) {}, [](peer_verdict) {});
  CHECK_TRUE(box.AwaitWhileSending("accepted", [&] { friendly.Send(beat); }));
  const std::lock_guard lock(mutex);
  CHECK_EQUAL(std::string("a"), messages.front().vm.value);
}
