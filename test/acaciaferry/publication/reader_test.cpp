#include "acaciaferry/publication/reader.hpp"

#include <CppUTest/TestHarness.h>

using namespace acaciaferry;
using namespace acaciaferry::publication;
using std::chrono::milliseconds;

namespace {

time_point At(int ms) {
  return time_point(milliseconds(ms));
}

page Page(std::vector<std::pair<std::string, item>> items,
          std::uint64_t revision) {
  return {std::move(items), false, revision};
}

// Returns a reader that has listed one target and the configuration.
reader Listed() {
  reader made({"t/", "c"}, 7);
  made.HandleResult(Page({{"t/1", {"x", 3, false}}}, 10), At(0));
  made.HandleResult(Page({{"c", {"v1", 5, false}}}, 11), At(1));
  return made;
}

bool IsMissing(const reader& of, const char* key) {
  return of.View().items.at(key).missing;
}

}  // namespace

TEST_GROUP(PublicationReader){};

// Guards against losing changes between the pages of a listing and the watch
// that follows it.
TEST(PublicationReader, WatchesFromTheRevisionOfTheFirstPage) {
  reader made({"t/", "c"}, 7);
  const auto first = made.Next(At(0));
  CHECK_TRUE(std::get<list_request>(first).allow_stale);
  made.HandleResult(Page({}, 10), At(0));
  STRCMP_EQUAL("c", std::get<list_request>(made.Next(At(1))).prefix.c_str());
  made.HandleResult(Page({}, 14), At(1));
  LONGS_EQUAL(10, std::get<watch_request>(made.Next(At(500))).after);
}

// Guards against a listing that stops after its first page.
TEST(PublicationReader, ListsAllPages) {
  reader made({"t/"}, 7);
  made.HandleResult(page{{{"t/1", {"x", 3, false}}}, true, 10}, At(0));
  STRCMP_EQUAL("t/1", std::get<list_request>(made.Next(At(0))).after.c_str());
  made.HandleResult(Page({{"t/2", {"y", 4, false}}}, 12), At(1));
  LONGS_EQUAL(2, made.View().items.size());
  LONGS_EQUAL(10, made.View().revision);
}

// Guards against an older change that overwrites a newer one.
TEST(PublicationReader, NewerRevisionsWin) {
  reader made = Listed();
  CHECK_TRUE(made.HandleResult(changes{{{"c", "v3", 20}}, 20}, At(300)));
  CHECK_FALSE(made.HandleResult(changes{{{"c", "v2", 15}}, 20}, At(600)));
  STRCMP_EQUAL("v3", made.View().items.at("c").value.c_str());
}

// Guards against a target that was removed but stays known although there was
// no outage.
TEST(PublicationReader, RemovalsApplyAtOnceWithoutAnOutage) {
  reader made = Listed();
  CHECK_TRUE(made.HandleResult(changes{{{"t/1", {}, 20}}, 20}, At(300)));
  CHECK_FALSE(made.View().items.contains("t/1"));
}

// Guards against removing targets whose leases expired during an outage of the
// service before they can come back, and against keeping them forever.
TEST(PublicationReader, MissingItemsAreKeptForAWhileAfterAnOutage) {
  reader made = Listed();
  made.HandleResult(request_failure::kSilent, At(1'000));
  CHECK_TRUE(made.HandleResult(changes{{{"t/1", {}, 20}}, 20}, At(2'000)));
  CHECK_TRUE(IsMissing(made, "t/1"));
  reader back = made;
  CHECK_TRUE(back.HandleResult(changes{{{"t/1", "x", 21}}, 21}, At(3'000)));
  CHECK_FALSE(IsMissing(back, "t/1"));
  CHECK_FALSE(back.Expire(At(9'000)));
  CHECK_FALSE(made.Expire(At(4'000)));
  CHECK_TRUE(made.Expire(At(4'300)));
  CHECK_FALSE(made.View().items.contains("t/1"));
}

// Guards against a loop of stale listings and watches whose history is gone.
TEST(PublicationReader, ListsAgainWhenTheHistoryIsGone) {
  reader made = Listed();
  made.HandleResult(request_failure::kHistoryGone, At(1'000));
  CHECK_FALSE(std::get<list_request>(made.Next(At(1'000))).allow_stale);
  made.HandleResult(Page({}, 30), At(1'100));
  CHECK_TRUE(
      made.HandleResult(Page({{"c", {"v9", 29, false}}}, 31), At(1'200)));
  CHECK_FALSE(made.View().items.contains("t/1"));
  STRCMP_EQUAL("v9", made.View().items.at("c").value.c_str());
}

// Guards against requests without pause to a service that rejects them.
TEST(PublicationReader, BacksOffWhileRequestsAreRefused) {
  reader made = Listed();
  time_point now = At(1'000);
  duration last{};
  for (int i = 0; i < 8; ++i) {
    made.HandleResult(request_failure::kRefused, now);
    const auto wait = std::get<wait_until>(made.Next(now)).until - now;
    CHECK_TRUE(wait >= milliseconds(150));
    CHECK_TRUE(wait <= milliseconds(1'800));
    last = wait;
    now += wait;
  }
  CHECK_TRUE(last >= milliseconds(1'200));
  CHECK_FALSE(made.LastRequestSucceeded());
}

// Guards against a watch that waits ten seconds on a connection that the
// service lost in an outage while a newer configuration is in force: the bound
// on configuration applies again three seconds after the outage.
TEST(PublicationReader, ShortWatchesNoticeDeadConnectionsInTime) {
  reader made = Listed();
  const auto watch = std::get<watch_request>(made.Next(At(1'000)));
  made.HandleResult(request_failure::kSilent, At(0));
  const auto again = std::get<wait_until>(made.Next(At(0))).until - At(0);
  const auto probe = std::get<watch_request>(made.Next(At(1'000)));
  constexpr auto kHeartbeatInterval = milliseconds(500);
  CHECK_TRUE(watch.wait + watch.grace + again + probe.wait +
                 kHeartbeatInterval <
             milliseconds(3'000));
  // Long watches put less load on the service.
  made = Listed();
  made.SetShortWatches(false);
  CHECK_TRUE(std::get<watch_request>(made.Next(At(1'000))).wait >=
             milliseconds(10'000));
}

// Guards against a VM that is rejected by the service and uses an old
// configuration while its peers have a new one, and against returning to an
// older view.
TEST(PublicationReader, AdoptsOnlyNewerViewsOfPeers) {
  reader made = Listed();
  view peer = made.View();
  peer.items["c"] = {"v7", 40, false};
  peer.last_change_revision = 40;
  peer.revision = 41;
  CHECK_TRUE(made.Adopt(peer, At(100)));
  STRCMP_EQUAL("v7", made.View().items.at("c").value.c_str());
  peer.items["c"] = {"v6", 39, false};
  peer.last_change_revision = 39;
  CHECK_FALSE(made.Adopt(peer, At(200)));
  LONGS_EQUAL(41, std::get<watch_request>(made.Next(At(900))).after);
}

// Guards against changes that are taken for older because the service came back
// from an older copy and gives out its revisions again.
TEST(PublicationReader, ChangesAfterTheServiceWentBackAreTaken) {
  reader made({"t/", "c"}, 7);
  made.HandleResult(page{{{"t/1", {"x", 3}}}, false, 30, 1}, At(0));
  made.HandleResult(page{{{"c", {"v1", 29}}}, false, 30, 1}, At(1));
  made.HandleResult(request_failure::kSilent, At(1'000));
  made.HandleResult(request_failure::kHistoryGone, At(3'000));
  made.HandleResult(page{{{"t/1", {"x", 3}}}, false, 20, 2}, At(3'100));
  made.HandleResult(page{{{"c", {"v1", 18}}}, false, 20, 2}, At(3'200));
  LONGS_EQUAL(20, std::get<watch_request>(made.Next(At(4'000))).after);
  CHECK_TRUE(made.HandleResult(changes{{{"c", "v2", 21}}, 21, 2}, At(4'100)));
  STRCMP_EQUAL("v2", made.View().items.at("c").value.c_str());
}
