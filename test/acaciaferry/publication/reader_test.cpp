#include "acaciaferry/publication/reader.hpp"

#include <cstdlib>
#include <set>

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
  STRCMP_EQUAL("t/", std::get<list_request>(first).prefix.c_str());
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

namespace {

// The service rejects calls from 1 s to 3 s and is heard again at 4.5 s.
reader AfterAnOutage() {
  reader made({"t/"}, 7);
  made.HandleResult(
      Page({{"t/1", {"x", 3}}, {"t/2", {"x", 4}}, {"t/3", {"x", 5}}}, 10),
      At(0));
  for (const int ms : {1'000, 1'200, 2'000, 3'000}) {
    made.HandleResult(request_failure::kRefused, At(ms));
  }
  made.HandleResult(changes{{}, 10}, At(4'500));
  return made;
}

}  // namespace

// Guards against a target that leaves after an outage and gets requests as the
// last one of its pool: a watch has reported its removal.
TEST(PublicationReader, TargetsThatLeaveAfterAnOutageAreGoneAtOnce) {
  reader made = AfterAnOutage();
  CHECK_TRUE(made.HandleResult(changes{{{"t/1", {}, 20}}, 20}, At(5'800)));
  CHECK_FALSE(made.View().items.contains("t/1"));
}

// Guards against a removal that is seen some time after the first response and
// adds its own grace period to the time by which that response was late.
TEST(PublicationReader, GracePeriodsCountFromTheEndOfTheOutage) {
  reader made = AfterAnOutage();
  made.HandleResult(changes{{{"t/1", {}, 20}}, 20}, At(5'300));
  CHECK_TRUE(IsMissing(made, "t/1"));
  CHECK_TRUE(made.NextExpiry() == At(6'700));
  CHECK_TRUE(made.Expire(At(6'700)));
  CHECK_FALSE(made.View().items.contains("t/1"));
}

// Guards against a cut watch that is taken for an outage, so that a target that
// leaves afterwards gets requests.
TEST(PublicationReader, OneFailedCallIsNoOutage) {
  for (const bool are_short : {true, false}) {
    reader made = Listed();
    made.SetShortWatches(are_short);
    static_cast<void>(made.Next(At(1'000)));
    made.HandleResult(request_failure::kSilent, At(1'500));
    made.HandleResult(changes{{{"t/1", {}, 20}}, 20}, At(1'830));
    CHECK_FALSE(made.View().items.contains("t/1"));
  }
}

// Guards against entries that are dropped because their leases ran out while a
// long watch waited on a connection that the service had lost.
TEST(PublicationReader, ALongWatchWithoutResponseMayHideAnOutage) {
  reader made = Listed();
  made.SetShortWatches(false);
  static_cast<void>(made.Next(At(1'000)));
  made.HandleResult(request_failure::kSilent, At(12'500));
  made.HandleResult(changes{{{"t/1", {}, 20}}, 20}, At(12'830));
  CHECK_TRUE(IsMissing(made, "t/1"));
  // A listing that fails later has nothing to do with that watch.
  reader listing = Listed();
  listing.SetShortWatches(false);
  static_cast<void>(listing.Next(At(1'000)));
  listing.HandleResult(request_failure::kHistoryGone, At(11'000));
  static_cast<void>(listing.Next(At(12'000)));
  listing.HandleResult(request_failure::kSilent, At(12'100));
  listing.HandleResult(Page({}, 30), At(12'400));
  listing.HandleResult(Page({}, 30), At(12'401));
  CHECK_FALSE(listing.View().items.contains("t/1"));
}

// Guards against dropping entries whose leases ran out in the outage, or before
// they could be renewed after it.
TEST(PublicationReader, LapsedEntriesStayUsableAfterAnOutage) {
  reader made({"t/"}, 7);
  made.HandleResult(Page({{"t/1", {"x", 3}}, {"t/2", {"x", 4}}}, 10), At(0));
  made.HandleResult(request_failure::kRefused, At(1'000));
  made.HandleResult(request_failure::kRefused, At(3'000));
  made.HandleResult(changes{{{"t/1", {}, 20}}, 20}, At(4'000));
  made.HandleResult(changes{{{"t/2", {}, 21}}, 21}, At(4'500));
  CHECK_TRUE(IsMissing(made, "t/1"));
  CHECK_TRUE(IsMissing(made, "t/2"));
  CHECK_TRUE(made.NextExpiry() == At(6'200));
  made.HandleResult(changes{{{"t/1", "x", 22}}, 22}, At(6'000));
  CHECK_FALSE(IsMissing(made, "t/1"));
  CHECK_TRUE(made.Expire(At(6'200)));
  CHECK_TRUE(made.View().items.contains("t/1"));
  CHECK_FALSE(made.View().items.contains("t/2"));
}

// Guards against an entry that a listing lacks after an outage and that is
// dropped before it can be there again.
TEST(PublicationReader, EntriesThatAListingLacksAfterAnOutageAreKept) {
  reader made = AfterAnOutage();
  made.HandleResult(request_failure::kHistoryGone, At(5'500));
  made.HandleResult(Page({{"t/2", {"x", 4}}, {"t/3", {"x", 5}}}, 30),
                    At(6'000));
  CHECK_TRUE(IsMissing(made, "t/1"));
  CHECK_TRUE(made.Expire(At(6'700)));
  CHECK_FALSE(made.View().items.contains("t/1"));
}

// Guards against entries that are never dropped because a timer was set for the
// first of them only.
TEST(PublicationReader, EachMissingEntryHasAnExpiry) {
  reader made = AfterAnOutage();
  made.HandleResult(changes{{{"t/1", {}, 20}}, 20}, At(4'800));
  view peer = made.View();
  peer.items["t/2"].missing = true;
  peer.last_change_revision = 21;
  made.Adopt({peer, {}, {}}, At(5'000));
  CHECK_TRUE(made.NextExpiry() == At(6'700));
  LONGS_EQUAL(2, made.MissingCount());
  CHECK_TRUE(made.Expire(At(6'700)));
  LONGS_EQUAL(1, made.MissingCount());
  CHECK_TRUE(made.NextExpiry() == At(7'200));
  CHECK_TRUE(made.Expire(At(7'200)));
  CHECK_FALSE(made.NextExpiry().has_value());
  LONGS_EQUAL(1, made.View().items.size());
}

// Guards against entries that stay missing on a VM that the service turns away
// and that hears of them from its peers, or that stops reading.
TEST(PublicationReader, MissingEntriesExpireOnVmsThatHearPeersOnly) {
  reader turned_away = Listed();
  turned_away.HandleResult(request_failure::kRefused, At(1'000));
  turned_away.HandleResult(request_failure::kRefused, At(2'000));
  view peer = turned_away.View();
  peer.items["t/1"].missing = true;
  peer.last_change_revision = 20;
  turned_away.Adopt({peer, {}, {}}, At(3'000));
  CHECK_TRUE(IsMissing(turned_away, "t/1"));
  turned_away.HandleResult(request_failure::kRefused, At(4'000));
  CHECK_TRUE(turned_away.NextExpiry() == At(5'200));
  CHECK_TRUE(turned_away.Expire(At(5'200)));
  // Its calls failed after it had heard of the missing entry.
  reader stopped = Listed();
  stopped.Adopt({peer, {}, {}}, At(500));
  stopped.HandleResult(request_failure::kRefused, At(1'000));
  CHECK_FALSE(stopped.Expire(At(3'000)));
  CHECK_FALSE(stopped.NextExpiry().has_value());
  stopped.StopRequests(At(3'000));
  CHECK_TRUE(stopped.NextExpiry().has_value());
  CHECK_TRUE(stopped.Expire(At(5'200)));
}

// Guards against entries that are dropped at the end of a second outage, in
// which they could not come back.
TEST(PublicationReader, MissingEntriesOutlastAFurtherOutage) {
  reader made = AfterAnOutage();
  made.HandleResult(changes{{{"t/1", {}, 20}}, 20}, At(4'800));
  made.HandleResult(request_failure::kRefused, At(5'000));
  made.HandleResult(request_failure::kRefused, At(6'000));
  CHECK_FALSE(made.Expire(At(7'000)));
  made.HandleResult(changes{{}, 20}, At(8'000));
  CHECK_FALSE(made.Expire(At(8'001)));
  CHECK_TRUE(made.Expire(At(10'200)));
}

// Guards against a target that is gone here and gets requests again because a
// peer, such as one of an older release, keeps it as missing.
TEST(PublicationReader, PeersDontBringBackWhatIsGone) {
  reader made = AfterAnOutage();
  made.HandleResult(changes{{{"t/1", {}, 20}}, 20}, At(6'000));
  view peer = made.View();
  peer.items["t/1"] = {"x", 3, true};
  peer.items["t/2"] = {"y", 21};
  peer.last_change_revision = 21;
  CHECK_TRUE(made.Adopt({peer, {}, {}}, At(6'500)));
  STRCMP_EQUAL("y", made.View().items.at("t/2").value.c_str());
  CHECK_FALSE(made.View().items.contains("t/1"));
  // It has been written again.
  peer.items["t/1"] = {"x", 22};
  peer.last_change_revision = 22;
  CHECK_TRUE(made.Adopt({peer, {}, {}}, At(7'000)));
  CHECK_TRUE(made.View().items.contains("t/1"));
}

// Guards against a VM in an outage of its own that keeps what a peer has
// removed: the peer keeps what may come back.
TEST(PublicationReader, RemovalsByPeersApplyAtOnce) {
  reader made = AfterAnOutage();
  made.HandleResult(request_failure::kRefused, At(5'000));
  view_update update{made.View(), 5, {"t/1"}};
  update.latest.items.clear();
  update.latest.last_change_revision = 20;
  CHECK_TRUE(made.Adopt(update, At(6'000)));
  CHECK_FALSE(made.View().items.contains("t/1"));
}

// Guards against a loop of stale listings and watches whose history is gone.
TEST(PublicationReader, ListsAgainWhenTheHistoryIsGone) {
  reader made = Listed();
  made.HandleResult(request_failure::kHistoryGone, At(1'000));
  STRCMP_EQUAL("t/",
               std::get<list_request>(made.Next(At(1'000))).prefix.c_str());
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
  CHECK_TRUE(made.Adopt({peer, {}, {}}, At(100)));
  STRCMP_EQUAL("v7", made.View().items.at("c").value.c_str());
  peer.items["c"] = {"v6", 39, false};
  peer.last_change_revision = 39;
  CHECK_FALSE(made.Adopt({peer, {}, {}}, At(200)));
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

namespace {

// Documents whose values are "VERSION" for the configuration "c" and
// "INCARNATION/LEAVING" for targets.
document_ranks Ranks() {
  return {[](std::string_view key, std::string_view value) {
            document_rank rank;
            const std::string text(value);
            if (key == "c") {
              rank.version = std::strtoull(text.c_str(), nullptr, 10);
            } else {
              rank.incarnation = std::strtoull(text.c_str(), nullptr, 10);
              rank.version = text.ends_with("/leaving") ? 1 : 0;
            }
            return rank;
          },
          [](std::string_view key) { return key == "c"; },
          [](std::string_view key) { return key.starts_with("op/evacuate/"); },
          [](std::string_view, std::string_view value) {
            return value.ends_with("/leaving");
          }};
}

using items = std::vector<std::pair<std::string, item>>;

// Lists the documents; the second page may be of a later era.
bool List(reader& made,
          const items& targets,
          const items& configuration,
          std::uint64_t revision,
          std::uint64_t era,
          int ms) {
  made.HandleResult(page{targets, false, revision, era}, At(ms));
  return made.HandleResult(page{configuration, false, revision, era}, At(ms));
}

// A reader of era 1, at revision 30 and version 12.
reader InFirstEra() {
  reader made({"t/", "c"}, 7, Ranks());
  List(made, {{"t/1", {"5", 3}}, {"t/2", {"5", 25}}}, {{"c", {"12", 29}}}, 30,
       1, 0);
  static_cast<void>(made.Next(At(500)));
  return made;
}

std::string ValueOf(const reader& made, const char* key) {
  const auto at = made.View().items.find(key);
  return at == made.View().items.end() ? "" : at->second.value;
}

}  // namespace

// Guards against a configuration that reverts to that of the copy, and against
// one that is written again and then not taken.
TEST(PublicationReader, AConfirmedConfigurationOutlastsTheCopy) {
  reader made = InFirstEra();
  made.HandleResult(request_failure::kHistoryGone, At(3'000));
  List(made, {{"t/1", {"5", 3}}}, {{"c", {"9", 18}}}, 20, 2, 3'100);
  STRCMP_EQUAL("12", ValueOf(made, "c").c_str());
  LONGS_EQUAL(20, std::get<watch_request>(made.Next(At(4'000))).after);
  made.HandleResult(changes{{{"c", "11", 21}}, 21, 2}, At(4'100));
  STRCMP_EQUAL("12", ValueOf(made, "c").c_str());
  CHECK_FALSE(made.TakeOutrankedKeys().empty());
  made.HandleResult(changes{{{"c", "12", 22}}, 22, 2}, At(4'200));
  made.HandleResult(changes{{{"c", "15", 23}}, 23, 2}, At(4'300));
  STRCMP_EQUAL("15", ValueOf(made, "c").c_str());
}

// Guards against a target that gets work again because the copy is older than
// its leaving or its end.
TEST(PublicationReader, TargetsThatLeftStayLeftAfterTheReturn) {
  reader made = InFirstEra();
  made.HandleResult(changes{{{"t/1", "5/leaving", 31}}, 31, 1}, At(600));
  static_cast<void>(made.Next(At(900)));
  made.HandleResult(changes{{{"t/2", "5/leaving", 32}, {"t/2", {}, 33}}, 33, 1},
                    At(1'000));
  CHECK_FALSE(made.View().items.contains("t/2"));
  made.HandleResult(request_failure::kHistoryGone, At(3'000));
  List(made, {{"t/1", {"5", 3}}, {"t/2", {"5", 18}}}, {{"c", {"12", 19}}}, 20,
       2, 3'100);
  STRCMP_EQUAL("5/leaving", ValueOf(made, "t/1").c_str());
  STRCMP_EQUAL("5/leaving", ValueOf(made, "t/2").c_str());
  CHECK_TRUE(IsMissing(made, "t/2"));
  // A new process of the same name is another target.
  static_cast<void>(made.Next(At(4'000)));
  made.HandleResult(changes{{{"t/1", "8", 21}, {"t/2", {}, 22}}, 22, 2},
                    At(4'100));
  STRCMP_EQUAL("8", ValueOf(made, "t/1").c_str());
  CHECK_FALSE(made.View().items.contains("t/2"));
}

// Guards against a target that leaves during an outage, as its entry says, and
// is kept as one whose lease has run out.
TEST(PublicationReader, TargetsThatSaidToLeaveAreGoneAfterAnOutage) {
  reader made = InFirstEra();
  made.HandleResult(changes{{{"t/1", "5/leaving", 31}}, 31, 1}, At(600));
  made.HandleResult(request_failure::kRefused, At(1'000));
  made.HandleResult(request_failure::kRefused, At(3'000));
  static_cast<void>(made.Next(At(4'900)));
  made.HandleResult(changes{{{"t/1", {}, 32}, {"t/2", {}, 33}}, 33, 1},
                    At(5'000));
  CHECK_FALSE(made.View().items.contains("t/1"));
  CHECK_TRUE(IsMissing(made, "t/2"));
}

// Guards against a target that is never used again because the copy is older
// than its end by a lapsed lease, after which it had come back.
TEST(PublicationReader, TargetsThatTheCopyKeepsAreUsedInTheEnd) {
  reader made = InFirstEra();
  made.HandleResult(changes{{{"t/2", {}, 31}}, 31, 1}, At(600));
  made.HandleResult(request_failure::kHistoryGone, At(3'000));
  List(made, {{"t/1", {"5", 3}}, {"t/2", {"5", 18}}}, {{"c", {"12", 19}}}, 20,
       2, 3'100);
  CHECK_TRUE(IsMissing(made, "t/2"));
  CHECK_TRUE(made.Expire(At(9'000)));
  CHECK_FALSE(IsMissing(made, "t/2"));
}

// Guards against targets that are newer than the copy and end with it, and
// against keeping those that nobody writes again.
TEST(PublicationReader, TargetsNewerThanTheCopyAreKeptForAWhile) {
  reader made = InFirstEra();
  made.HandleResult(request_failure::kHistoryGone, At(3'000));
  List(made, {{"t/1", {"5", 3}}}, {{"c", {"12", 19}}}, 20, 2, 3'100);
  CHECK_TRUE(IsMissing(made, "t/2"));
  reader written = made;
  static_cast<void>(written.Next(At(4'000)));
  written.HandleResult(changes{{{"t/2", "5", 21}}, 21, 2}, At(4'100));
  CHECK_FALSE(IsMissing(written, "t/2"));
  CHECK_FALSE(written.Expire(At(9'000)));
  CHECK_TRUE(made.Expire(At(9'000)));
  CHECK_FALSE(made.View().items.contains("t/2"));
}

// Guards against a listing that is put together from pages of two eras.
TEST(PublicationReader, AListingBeginsAgainWhenTheServiceGoesBackMeanwhile) {
  reader made = InFirstEra();
  made.HandleResult(request_failure::kHistoryGone, At(1'000));
  made.HandleResult(page{{{"t/1", {"5", 3}}, {"t/3", {"5", 33}}}, false, 34, 1},
                    At(1'100));
  made.HandleResult(page{{{"c", {"9", 18}}}, false, 20, 2}, At(1'200));
  CHECK_FALSE(made.View().items.contains("t/3"));
  const auto again = std::get<list_request>(made.Next(At(1'300)));
  STRCMP_EQUAL("t/", again.prefix.c_str());
  List(made, {{"t/1", {"5", 3}}}, {{"c", {"9", 18}}}, 20, 2, 1'400);
  LONGS_EQUAL(2, made.View().era);
  LONGS_EQUAL(20, std::get<watch_request>(made.Next(At(2'000))).after);
}

// Guards against changes that are missed because a watch goes on from a
// revision that was given out again.
TEST(PublicationReader, AWatchThatCrossesTheReturnLeadsToAListing) {
  reader made = InFirstEra();
  CHECK_FALSE(made.HandleResult(changes{{{"t/9", "5", 31}}, 31, 2}, At(700)));
  CHECK_FALSE(made.View().items.contains("t/9"));
  CHECK_TRUE(std::holds_alternative<list_request>(made.Next(At(1'200))));
}

// Guards against answers that were under way at the return and are taken for
// newer ones.
TEST(PublicationReader, AnswersOfAnEarlierEraAreDropped) {
  reader made = InFirstEra();
  view peer = made.View();
  peer.era = 2;
  peer.revision = 20;
  peer.last_change_revision = 19;
  CHECK_TRUE(made.Adopt({peer, {}, {}}, At(600)));
  CHECK_FALSE(made.HandleResult(changes{{{"t/9", "5", 31}}, 31, 1}, At(700)));
  CHECK_FALSE(
      made.HandleResult(page{{{"t/9", {"5", 31}}}, false, 31, 1}, At(800)));
  CHECK_FALSE(made.View().items.contains("t/9"));
  // The watch was sent with a revision of the first era.
  reader crossed = InFirstEra();
  CHECK_TRUE(crossed.Adopt({peer, {}, {}}, At(600)));
  CHECK_FALSE(
      crossed.HandleResult(changes{{{"t/9", "5", 33}}, 33, 2}, At(700)));
  LONGS_EQUAL(20, std::get<watch_request>(crossed.Next(At(1'500))).after);
}

// Guards against a restarted VM that takes the copy's configuration although
// its peers know a later one, and against peers that are behind.
TEST(PublicationReader, PeersHandOnWhatTheCopyLacks) {
  reader peer = InFirstEra();
  static_cast<void>(
      peer.HandleResult(changes{{{"t/1", "5/leaving", 31}}, 31, 1}, At(600)));
  reader restarted({"t/", "c"}, 7, Ranks());
  List(restarted, {{"t/1", {"5", 3}}}, {{"c", {"9", 18}}}, 20, 2, 3'100);
  STRCMP_EQUAL("9", ValueOf(restarted, "c").c_str());
  CHECK_TRUE(restarted.Adopt({peer.View(), {}, {}}, At(3'200)));
  STRCMP_EQUAL("12", ValueOf(restarted, "c").c_str());
  STRCMP_EQUAL("5/leaving", ValueOf(restarted, "t/1").c_str());
  CHECK_FALSE(restarted.View().items.contains("t/2"));
  LONGS_EQUAL(20, std::get<watch_request>(restarted.Next(At(4'000))).after);
  // The peer was behind by an era and learns of it.
  CHECK_TRUE(peer.Adopt({restarted.View(), {}, {}}, At(3'300)));
  LONGS_EQUAL(2, peer.View().era);
  STRCMP_EQUAL("12", ValueOf(peer, "c").c_str());
}

// Guards against all VMs of a fleet that list at the same moment.
TEST(PublicationReader, ListingsAfterTheReturnAreSpread) {
  std::set<time_point> times;
  for (std::uint64_t seed = 0; seed < 81; ++seed) {
    reader made({"t/", "c"}, seed, Ranks());
    List(made, {{"t/1", {"5", 3}}}, {{"c", {"12", 29}}}, 30, 1, 0);
    made.SetShortWatches(false);
    static_cast<void>(made.Next(At(500)));
    made.HandleResult(request_failure::kHistoryGone, At(3'000));
    const auto next = made.Next(At(3'000));
    const auto* wait = std::get_if<wait_until>(&next);
    times.insert(wait != nullptr ? wait->until : At(3'000));
  }
  CHECK_COMPARE(times.size(), >=, 60U);
  CHECK_TRUE(*times.rbegin() < At(3'500));
}

namespace {

constexpr const char* kEvacuation = "op/evacuate/a";

// Lists all documents in one page.
bool ListAll(reader& made,
             const items& documents,
             std::uint64_t revision,
             std::uint64_t era,
             int ms) {
  return made.HandleResult(page{documents, false, revision, era}, At(ms));
}

// A reader of era 1, at revision 30, that knows an evacuation.
reader WithEvacuation() {
  reader made({""}, 7, Ranks());
  ListAll(made, {{"t/1", {"5", 3}}, {kEvacuation, {"{}", 25}}}, 30, 1, 0);
  static_cast<void>(made.Next(At(500)));
  return made;
}

// The view of a VM of release f1be9e1, which doesn't read evacuations.
view OldView(std::uint64_t era, std::uint64_t revision) {
  view made;
  made.era = era;
  made.revision = revision;
  made.last_change_revision = revision;
  made.items["t/1"] = {"5", 3, false, era};
  made.items["t/2"] = {"5", revision, false, era};
  return made;
}

bool IsEvacuated(const reader& made) {
  return made.View().items.contains(kEvacuation);
}

std::uint64_t WatchedAfter(reader& made, int ms) {
  return std::get<watch_request>(made.Next(At(ms))).after;
}

}  // namespace

// Guards against an evacuation that ends because the service comes back from a
// copy that lacks it.
TEST(PublicationReader, EvacuationsOutliveCopies) {
  reader made = WithEvacuation();
  for (const int ms : {3'000, 20'000}) {
    made.HandleResult(request_failure::kHistoryGone, At(ms));
    ListAll(made, {{"t/1", {"5", 3}}}, 20, 2, ms + 100);
    CHECK_TRUE(IsEvacuated(made));
    CHECK_FALSE(IsMissing(made, kEvacuation));
    made.Expire(At(ms + 10'000));
    CHECK_TRUE(IsEvacuated(made));
  }
  static_cast<void>(made.Next(At(31'000)));
  made.HandleResult(changes{{{kEvacuation, {}, 22}}, 22, 2}, At(31'100));
  CHECK_FALSE(IsEvacuated(made));
}

// Guards against an evacuation that never ends although a listing in its era,
// or in the one that it was confirmed in, lacks it.
TEST(PublicationReader, ListingsEndEvacuationsOfTheirEra) {
  reader made = WithEvacuation();
  made.HandleResult(request_failure::kHistoryGone, At(3'000));
  ListAll(made, {{"t/1", {"5", 3}}}, 40, 1, 3'100);
  CHECK_FALSE(IsEvacuated(made));
  reader confirmed = WithEvacuation();
  confirmed.HandleResult(request_failure::kHistoryGone, At(3'000));
  ListAll(confirmed, {{kEvacuation, {"{}", 18}}}, 20, 2, 3'100);
  CHECK_TRUE(IsEvacuated(confirmed));
  confirmed.HandleResult(request_failure::kHistoryGone, At(20'000));
  ListAll(confirmed, {{"t/1", {"5", 3}}}, 50, 2, 20'100);
  CHECK_FALSE(IsEvacuated(confirmed));
}

// Guards against an evacuation that has ended, is in the copy and counts as an
// entry that is only a copy.
TEST(PublicationReader, EvacuationsOfTheCopyAreInForce) {
  reader made = WithEvacuation();
  made.HandleResult(changes{{{kEvacuation, {}, 31}}, 31, 1}, At(600));
  CHECK_FALSE(IsEvacuated(made));
  made.HandleResult(request_failure::kHistoryGone, At(3'000));
  ListAll(made, {{"t/1", {"5", 3}}, {kEvacuation, {"{}", 25}}}, 29, 2, 3'100);
  CHECK_TRUE(IsEvacuated(made));
  CHECK_FALSE(IsMissing(made, kEvacuation));
}

// Guards against an evacuation that is kept as missing when it ends around an
// outage.
TEST(PublicationReader, EvacuationsAreNeverMissing) {
  reader made = WithEvacuation();
  made.HandleResult(request_failure::kRefused, At(1'000));
  made.HandleResult(request_failure::kRefused, At(3'000));
  static_cast<void>(made.Next(At(4'900)));
  made.HandleResult(changes{{{kEvacuation, {}, 31}}, 31, 1}, At(5'000));
  CHECK_FALSE(IsEvacuated(made));
}

// Guards against an evacuation that ends because a peer of release f1be9e1
// doesn't read it.
TEST(PublicationReader, PeersOfOlderReleasesDontEndEvacuations) {
  reader whole = WithEvacuation();
  CHECK_TRUE(whole.Adopt({OldView(1, 35), {}, {}}, At(600), false));
  STRCMP_EQUAL("5", ValueOf(whole, "t/2").c_str());
  CHECK_TRUE(IsEvacuated(whole));
  reader some = WithEvacuation();
  CHECK_TRUE(some.Adopt({OldView(1, 35), 25, {kEvacuation}}, At(600), false));
  CHECK_TRUE(IsEvacuated(some));
  reader repaired = WithEvacuation();
  view peer = OldView(1, 25);
  CHECK_TRUE(repaired.Repair(peer, At(600), false));
  CHECK_TRUE(IsEvacuated(repaired));
  reader later = WithEvacuation();
  CHECK_TRUE(later.Adopt({OldView(2, 12), {}, {}}, At(600), false));
  CHECK_TRUE(IsEvacuated(later));
}

// Guards against an evacuation that is never seen because the view of a peer of
// an older release is newer than it.
TEST(PublicationReader, WatchesGoOnFromWhereAllDocumentsAreKnown) {
  reader made({""}, 7, Ranks());
  ListAll(made, {{"t/1", {"5", 3}}}, 30, 1, 0);
  CHECK_TRUE(made.IsComplete());
  made.Adopt({OldView(1, 35), {}, {}}, At(600), false);
  CHECK_FALSE(made.IsComplete());
  LONGS_EQUAL(30, WatchedAfter(made, 700));
  made.Adopt({OldView(1, 38), 35, {}}, At(710), false);
  made.HandleResult(changes{{{kEvacuation, "{}", 32}}, 33, 1}, At(720));
  CHECK_TRUE(IsEvacuated(made));
  CHECK_FALSE(made.IsComplete());
  LONGS_EQUAL(33, WatchedAfter(made, 1'000));
  made.HandleResult(changes{{}, 38, 1}, At(1'100));
  CHECK_TRUE(made.IsComplete());
  LONGS_EQUAL(38, WatchedAfter(made, 2'000));
  // The view of a VM that reads them closes the gap as well.
  made.Adopt({OldView(1, 45), {}, {}}, At(2'100), false);
  view peer = OldView(1, 50);
  peer.items[kEvacuation] = {"{}", 32, false, 1};
  CHECK_TRUE(made.Adopt({peer, {}, {}}, At(2'200)));
  CHECK_TRUE(made.IsComplete());
  LONGS_EQUAL(50, WatchedAfter(made, 3'000));
}

// Guards against a VM that starts, takes the view of a peer of an older release
// for complete and sends requests where an evacuation forbids it.
TEST(PublicationReader, VmsListAfterTheViewOfAnOlderRelease) {
  reader made({""}, 7, Ranks());
  CHECK_TRUE(made.Adopt({OldView(1, 35), {}, {}}, At(100), false));
  CHECK_FALSE(made.HasAllDocuments());
  CHECK_TRUE(std::holds_alternative<list_request>(made.Next(At(200))));
  // The listing began before the peer's view.
  ListAll(made, {{"t/1", {"5", 3}}}, 34, 1, 300);
  CHECK_FALSE(made.HasAllDocuments());
  CHECK_TRUE(std::holds_alternative<list_request>(made.Next(At(600))));
  ListAll(made, {{"t/1", {"5", 3}}, {kEvacuation, {"{}", 25}}}, 36, 1, 700);
  CHECK_TRUE(made.HasAllDocuments());
  CHECK_TRUE(made.IsComplete());
  CHECK_TRUE(IsEvacuated(made));
  // The view of a VM that reads them needs no listing.
  reader second({""}, 7, Ranks());
  CHECK_TRUE(second.Adopt({made.View(), {}, {}}, At(800)));
  CHECK_TRUE(second.HasAllDocuments());
  CHECK_TRUE(IsEvacuated(second));
  LONGS_EQUAL(36, WatchedAfter(second, 900));
}

// Guards against an evacuation of a later era that is not seen because a peer
// of an older release tells of that era first, and against a listing of two
// eras.
TEST(PublicationReader, OlderReleasesOfALaterEraLeadToAListing) {
  reader made = WithEvacuation();
  CHECK_TRUE(made.Adopt({OldView(2, 12), {}, {}}, At(600), false));
  CHECK_FALSE(made.IsComplete());
  CHECK_TRUE(std::holds_alternative<list_request>(made.Next(At(700))));
  ListAll(made, {{"t/1", {"5", 3}}, {"op/evacuate/b", {"{}", 11}}}, 13, 2, 800);
  CHECK_TRUE(made.View().items.contains("op/evacuate/b"));
  CHECK_TRUE(IsEvacuated(made));
  CHECK_TRUE(made.IsComplete());
  reader crossed({"op/", "t/"}, 7, Ranks());
  crossed.HandleResult(page{{}, false, 30, 1}, At(0));
  crossed.Adopt({OldView(2, 12), {}, {}}, At(10), false);
  crossed.HandleResult(page{{{"t/9", {"5", 3}}}, false, 13, 2}, At(20));
  CHECK_FALSE(crossed.HasAllDocuments());
  const auto again = std::get<list_request>(crossed.Next(At(300)));
  STRCMP_EQUAL("op/", again.prefix.c_str());
}

// Guards against an evacuation that comes back after its removal: a VM of an
// older release keeps it if another VM has told it.
TEST(PublicationReader, OlderReleasesDontBringBackEvacuations) {
  reader made({""}, 7, Ranks());
  ListAll(made, {{"t/1", {"5", 3}}}, 30, 1, 0);
  view peer = OldView(1, 35);
  peer.items[kEvacuation] = {"{}", 25, true, 1};
  made.Adopt({peer, {}, {}}, At(600), false);
  CHECK_FALSE(IsEvacuated(made));
  // This one may be newer than what is known here.
  peer.items["op/evacuate/b"] = {"{}", 33, true, 1};
  peer.last_change_revision = 36;
  made.Adopt({peer, {}, {}}, At(700), false);
  CHECK_TRUE(made.View().items.contains("op/evacuate/b"));
  CHECK_FALSE(IsMissing(made, "op/evacuate/b"));
}

// Guards against an evacuation that stays in force although a peer that reads
// evacuations has seen its end, also after the service came back.
TEST(PublicationReader, RemovalsOfNewPeersEndEvacuations) {
  reader some = WithEvacuation();
  CHECK_TRUE(some.Adopt({OldView(1, 35), 25, {kEvacuation}}, At(600)));
  CHECK_FALSE(IsEvacuated(some));
  reader whole = WithEvacuation();
  CHECK_TRUE(whole.Adopt({OldView(1, 35), {}, {}}, At(600)));
  CHECK_FALSE(IsEvacuated(whole));
  // What is newer than all that the peer knows is not removed.
  reader newer = WithEvacuation();
  view behind = OldView(1, 35);
  behind.revision = 24;
  CHECK_TRUE(newer.Adopt({behind, {}, {}}, At(600)));
  CHECK_TRUE(IsEvacuated(newer));
  reader outlived = WithEvacuation();
  outlived.HandleResult(request_failure::kHistoryGone, At(3'000));
  ListAll(outlived, {{"t/1", {"5", 3}}}, 20, 2, 3'100);
  CHECK_TRUE(IsEvacuated(outlived));
  view peer = OldView(2, 22);
  CHECK_TRUE(outlived.Adopt({peer, 3, {kEvacuation}}, At(4'000)));
  CHECK_FALSE(IsEvacuated(outlived));
}

// Guards against a process that starts after the service came back from a copy
// without the evacuation, and doesn't take it from its peers.
TEST(PublicationReader, PeersHandOnEvacuationsThatTheCopyLacks) {
  reader peer = WithEvacuation();
  peer.HandleResult(request_failure::kHistoryGone, At(3'000));
  ListAll(peer, {{"t/1", {"5", 3}}}, 20, 2, 3'100);
  reader restarted({""}, 7, Ranks());
  ListAll(restarted, {{"t/1", {"5", 3}}}, 20, 2, 4'000);
  CHECK_FALSE(IsEvacuated(restarted));
  CHECK_TRUE(restarted.Adopt({peer.View(), {}, {}}, At(4'100)));
  CHECK_TRUE(IsEvacuated(restarted));
  // It has seen its end, and the peer has not.
  restarted.HandleResult(changes{{{kEvacuation, {}, 22}}, 22, 2}, At(5'000));
  CHECK_FALSE(IsEvacuated(restarted));
  restarted.Adopt({peer.View(), {}, {}}, At(5'100));
  CHECK_FALSE(IsEvacuated(restarted));
}
