#include "acaciaferry/net/request_memory.hpp"

#include <algorithm>
#include <memory>
#include <vector>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace acaciaferry;
using namespace acaciaferry::net;

namespace {

constexpr std::size_t kMegabyte = 1U << 20U;
constexpr std::size_t kBase = 4'096;
constexpr duration kAllowed = std::chrono::seconds(3);
constexpr duration kStep = std::chrono::milliseconds(20);

// A caller that sends a body; what it is told happens in a later step, as on an
// event loop.
struct caller {
  caller(request_memory& memory, std::size_t body)
      : size(body),
        room(std::make_unique<request_room>(
            &memory,
            request_kind::kReading,
            std::make_shared<request_room::handlers>(request_room::handlers{
                [this] { ++granted; },
                [this](drop_reason why) { dropped.push_back(why); }}))) {
    room->Set(kBase);
  }

  [[nodiscard]] bool IsLarge() const { return size > kSmallBodyBytes; }
  [[nodiscard]] bool Ask() const {
    return room->AskOrWait(kBase + size, IsLarge(), kAllowed);
  }
  void Send(std::size_t bytes, time_point now) {
    received = std::min(size, received + bytes);
    room->Advance(received, now);
  }

  std::size_t size;
  std::size_t received{};
  bool complete{};
  int granted{};
  std::vector<drop_reason> dropped;
  std::unique_ptr<request_room> room;
};

time_point At(std::int64_t ms) {
  return time_point(std::chrono::seconds(1) + std::chrono::milliseconds(ms));
}

}  // namespace

TEST_GROUP(RequestMemory){};

// Guards against requests that exceed the bound together, against complete ones
// that are dropped, and against sums that drift, in any order of arrivals.
TEST(RequestMemory, AnyOrderOfArrivalsStaysWithinTheBound) {
  CHECK_TRUE(rc::check([] {
    request_memory memory(*rc::gen::inRange<std::size_t>(6, 48) * kMegabyte);
    std::vector<std::unique_ptr<caller>> callers;
    time_point now = At(0);
    const int steps = *rc::gen::inRange(1, 400);
    for (int step = 0; step < steps; ++step) {
      now += kStep;
      const int action = *rc::gen::inRange(0, 10);
      if (action < 4 || callers.empty()) {
        const std::size_t size = *rc::gen::element<std::size_t>(
            10, 1'200, 65'536, 65'537, kMegabyte, 4 * kMegabyte);
        // A connection alone is counted without asking, as long as there may be
        // one more.
        if (memory.Held() + kBase <= memory.Limit()) {
          callers.push_back(std::make_unique<caller>(memory, size));
        }
      } else {
        const auto at = *rc::gen::inRange<std::size_t>(0, callers.size());
        caller& each = *callers[at];
        if (action == 9 || (!each.dropped.empty() && !each.complete)) {
          callers.erase(callers.begin() + static_cast<std::ptrdiff_t>(at));
        } else if (!each.complete && each.Ask()) {
          each.Send(*rc::gen::element<std::size_t>(0, 1, 65'536, kMegabyte),
                    now);
          if (each.received == each.size) {
            each.complete = true;
            each.room->Complete(kBase + each.size);
          }
        }
      }
      memory.Review(now);
      std::size_t held = 0;
      std::size_t large = 0;
      std::size_t large_count = 0;
      std::size_t complete = 0;
      for (const auto& each : callers) {
        held += each->room->Bytes();
        const bool holds_large = each->IsLarge() && each->room->Bytes() > kBase;
        large += holds_large ? each->room->Bytes() : 0;
        large_count += holds_large ? 1 : 0;
        complete += each->complete ? each->room->Bytes() : 0;
        RC_ASSERT(!each->complete || each->dropped.empty());
        RC_ASSERT(each->dropped.size() <= 1);
      }
      RC_ASSERT(memory.Held() == held);
      RC_ASSERT(memory.Held(request_kind::kComplete) == complete);
      RC_ASSERT(held <= memory.Limit());
      RC_ASSERT(large_count <= 1 || large <= memory.LargeLimit());
    }
    callers.clear();
    RC_ASSERT(memory.Held() == 0);
    RC_ASSERT(memory.WaitingCount() == 0);
  }));
}

// Guards against large bodies that stay unserved for ever because all of them
// hold a part of the room that each needs: senders that make progress are all
// served in the end, and none of them is dropped.
TEST(RequestMemory, SendersThatMakeProgressAreAllServed) {
  CHECK_TRUE(rc::check([] {
    request_memory memory(48 * kMegabyte);
    std::vector<std::unique_ptr<caller>> callers;
    for (int i = *rc::gen::inRange(1, 60); i > 0; --i) {
      callers.push_back(std::make_unique<caller>(
          memory, *rc::gen::inRange<std::size_t>(1, 4 * kMegabyte)));
    }
    time_point now = At(0);
    // At most eight at once are read, in at most eight steps each.
    for (int step = 0; step < 60 * 9 && !callers.empty(); ++step) {
      now += kStep;
      for (auto& each : callers) {
        if (each->Ask()) {
          each->Send(512U << 10U, now);
        }
      }
      std::erase_if(callers, [](const auto& each) {
        return each->received == each->size;
      });
      memory.Review(now);
      for (const auto& each : callers) {
        RC_ASSERT(each->dropped.empty());
      }
    }
    RC_ASSERT(callers.empty());
  }));
}

// Guards against callers that keep the room of others by sending next to
// nothing: none of them keeps it beyond the time for a body.
TEST(RequestMemory, SlowBodiesGiveWayWithinTheTimeForABody) {
  for (const std::size_t sent :
       {std::size_t{0}, std::size_t{1}, std::size_t{2'000}}) {
    request_memory memory(13 * kMegabyte);
    caller slow(memory, 4 * kMegabyte);
    caller slow2(memory, 4 * kMegabyte);
    CHECK_TRUE(slow.Ask() && slow2.Ask());
    slow.Send(1, At(0));
    slow2.Send(1, At(0));
    caller waiting(memory, 4 * kMegabyte);
    CHECK_FALSE(waiting.Ask());
    time_point now = At(0);
    while (slow.dropped.empty() && slow2.dropped.empty() &&
           now < At(0) + kAllowed) {
      now += kStep;
      if (sent > 0) {
        slow.Send(sent, now);
        slow2.Send(sent, now);
      }
      memory.Review(now);
    }
    caller& dropped = slow.dropped.empty() ? slow2 : slow;
    LONGS_EQUAL(1, dropped.dropped.size());
    CHECK_TRUE(dropped.dropped.front() == drop_reason::kStalled);
    // One is enough, and the room is free only when its owner has let go.
    LONGS_EQUAL(0, waiting.granted);
    dropped.room.reset();
    LONGS_EQUAL(1, waiting.granted);
    LONGS_EQUAL(1, slow.dropped.size() + slow2.dropped.size());
  }
}

// Guards against a small body in time that is dropped since the memory that it
// takes besides is expected to arrive, too.
TEST(RequestMemory, OnlyTheBodyIsExpectedToArrive) {
  constexpr std::size_t kBody = 60'000;
  constexpr std::size_t kOverhead = 100'000;
  for (const bool is_told : {false, true}) {
    request_memory memory(kMegabyte);
    caller sender(memory, kBody);
    CHECK_TRUE(sender.room->AskOrWait(kOverhead + kBody, false, kAllowed));
    if (is_told) {
      sender.room->ExpectBody(kBody);
    }
    sender.Send(kBody / 2, At(0));
    sender.Send(1, At(1'300));
    caller waiting(memory, kBody);
    CHECK_FALSE(waiting.room->AskOrWait(kMegabyte - kBody, false, kAllowed));
    memory.Review(At(1'400));
    // The largest one goes for a small request, also if it is in time.
    LONGS_EQUAL(1, sender.dropped.size());
    CHECK_TRUE(sender.dropped.front() ==
               (is_told ? drop_reason::kLargest : drop_reason::kStalled));
  }
}

// Guards against bodies that are dropped although nobody needs their room.
TEST(RequestMemory, NobodyIsDroppedWhileNobodyWaits) {
  request_memory memory(12 * kMegabyte);
  caller slow(memory, 4 * kMegabyte);
  CHECK_TRUE(slow.Ask());
  slow.Send(1, At(0));
  memory.Review(At(2'900));
  CHECK_TRUE(slow.dropped.empty());
}

// Guards against small requests that wait behind large ones.
TEST(RequestMemory, LargeBodiesLeaveRoomToSmallOnes) {
  request_memory memory(12 * kMegabyte);
  std::vector<std::unique_ptr<caller>> large;
  for (int i = 0; i < 10; ++i) {
    large.push_back(std::make_unique<caller>(memory, 4 * kMegabyte - kBase));
    LONGS_EQUAL(i < 2, large.back()->Ask());
    large.back()->Send(1'000, At(0));
  }
  for (int i = 0; i < 50; ++i) {
    large.push_back(std::make_unique<caller>(memory, kSmallBodyBytes));
    CHECK_TRUE(large.back()->Ask());
  }
  LONGS_EQUAL(8, memory.WaitingCount());
}

// Guards against small requests that get no room because others hold theirs
// unfinished, and against the loss of complete ones for them.
TEST(RequestMemory, TheLargestUnfinishedGoesFirstForASmallRequest) {
  request_memory memory(12 * kMegabyte);
  std::vector<std::unique_ptr<caller>> complete;
  caller largest(memory, 3 * kMegabyte);
  caller large(memory, 2 * kMegabyte);
  for (caller* each : {&large, &largest}) {
    CHECK_TRUE(each->Ask());
    each->Send(each->size - 1, At(0));
  }
  bool is_full = false;
  while (!is_full) {
    complete.push_back(std::make_unique<caller>(memory, kSmallBodyBytes));
    is_full = !complete.back()->Ask();
    if (!is_full) {
      complete.back()->Send(kSmallBodyBytes, At(0));
      complete.back()->room->Complete(kBase + kSmallBodyBytes);
    }
  }
  memory.Review(At(20));
  LONGS_EQUAL(1, largest.dropped.size());
  CHECK_TRUE(largest.dropped.front() == drop_reason::kLargest);
  CHECK_TRUE(large.dropped.empty());
  largest.room.reset();
  LONGS_EQUAL(1, complete.back()->granted);
  for (const auto& each : complete) {
    CHECK_TRUE(each->dropped.empty());
  }
}

// Guards against a request of the largest size that is never served because the
// share of large bodies is smaller than it.
TEST(RequestMemory, OneLargeBodyMayTakeMoreThanItsShare) {
  request_memory memory(5 * kMegabyte);
  caller large(memory, 4 * kMegabyte);
  caller next(memory, kMegabyte / 2);
  CHECK_TRUE(large.Ask());
  CHECK_FALSE(next.Ask());
}
