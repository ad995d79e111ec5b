#include "acaciaferry/net/event_stream.hpp"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace acaciaferry::net;

namespace {

std::string Event(int id) {
  return "id: " + std::to_string(id) + "\ndata: x\n\n";
}

}  // namespace

TEST_GROUP(EventStream){};

// Incomplete events must not be returned, wherever the input is split.
TEST(EventStream, ReturnsCompleteEventsOnly) {
  const auto held = rc::check([](std::uint8_t cut) {
    const std::string all = Event(1) + Event(2) + Event(3);
    const std::size_t at = cut % all.size();
    event_stream stream;
    const std::string first = stream.Feed(all.substr(0, at));
    RC_ASSERT(first.size() % Event(1).size() == 0U);
    RC_ASSERT(stream.HasPartialEvent() == (first.size() != at));
    RC_ASSERT(first + stream.Feed(all.substr(at)) == all);
    RC_ASSERT(stream.LastId() == 3U);
  });
  CHECK_TRUE(held);
}

// A resumed stream must not repeat events that were already returned.
TEST(EventStream, DropsDuplicateEvents) {
  event_stream stream;
  static_cast<void>(stream.Feed(Event(1) + Event(2) + "id: 3\nda"));
  stream.DiscardPartialEvent();
  STRCMP_EQUAL(Event(3).c_str(), stream.Feed(Event(2) + Event(3)).c_str());
  CHECK_FALSE(stream.HasGap());
}

// A missing event must be detected.
TEST(EventStream, DetectsGaps) {
  event_stream stream;
  static_cast<void>(stream.Feed(Event(1) + Event(3)));
  CHECK_TRUE(stream.HasGap());
}

// An event without end must not fill the memory.
TEST(EventStream, DetectsEventsWithoutEnd) {
  event_stream stream;
  for (int i = 0; i < 1'000 && !stream.IsTooLarge(); ++i) {
    static_cast<void>(stream.Feed(std::string(16'384, 'a')));
  }
  CHECK_TRUE(stream.IsTooLarge());
  stream.DiscardPartialEvent();
  CHECK_FALSE(stream.IsTooLarge());
}

// A stream that is resumed after a gap must not be taken for one with a gap.
TEST(EventStream, ResumedStreamsHaveNoGap) {
  event_stream stream;
  static_cast<void>(stream.Feed(Event(1) + Event(3)));
  CHECK_TRUE(stream.HasGap());
  stream.DiscardPartialEvent();
  stream.SetLastId(1);
  STRCMP_EQUAL(Event(2).c_str(), stream.Feed(Event(2)).c_str());
  CHECK_FALSE(stream.HasGap());
}
