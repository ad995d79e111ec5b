#include "acaciaferry/standin/cache_event_log.hpp"

#include <vector>

#include <CppUTest/TestHarness.h>

using namespace acaciaferry;
using namespace acaciaferry::standin;
using std::chrono::seconds;

TEST_GROUP(CacheEventLog) {
  const time_point start{};
  cache_event_log log{7};
};

// Guards against events that readers see before the lag has passed.
TEST(CacheEventLog, EventsArePublishedLate) {
  log.Configure(seconds(2), 0);
  log.Add(std::vector<cache_change>{{cache_operation::kAdd, 1}}, start);
  CHECK_TRUE(log.After(0, start + seconds(1)).empty());
  CHECK_EQUAL(1, log.After(0, start + seconds(2)).size());
  CHECK_TRUE(log.After(1, start + seconds(2)).empty());
}

// Guards against losses that readers cannot detect by a gap in the numbers.
TEST(CacheEventLog, LostEventsLeaveGaps) {
  log.Configure(seconds(0), 500);
  const std::vector<cache_change> changes(100, {cache_operation::kAdd, 1});
  log.Add(changes, start);
  const auto events = log.After(0, start);
  CHECK_TRUE(!events.empty() && events.size() < changes.size());
  CHECK_EQUAL(100, log.Last());
  CHECK_EQUAL(events.front().sequence, log.First());
}
