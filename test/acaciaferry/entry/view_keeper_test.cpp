#include "acaciaferry/entry/view_keeper.hpp"

#include <msgpack.hpp>
#include <tuple>

#include <CppUTest/TestHarness.h>

using namespace acaciaferry;
using namespace acaciaferry::entry;

TEST_GROUP(PeerView){};

// Guards against peers that compare revisions of two eras.
TEST(PeerView, KeepsTheErasOfItsItems) {
  publication::view sent;
  sent.era = 2;
  sent.revision = 20;
  sent.last_change_revision = 19;
  sent.items["c"] = {"v12", 29, false, 1};
  sent.items["t/1"] = {"x", 18, true, 2};
  const auto received = DecodePeerView(EncodeView({sent, {}, {}}));
  CHECK_TRUE(received.has_value());
  LONGS_EQUAL(2, received->latest.era);
  LONGS_EQUAL(20, received->latest.revision);
  LONGS_EQUAL(19, received->latest.last_change_revision);
  CHECK_TRUE(received->latest.items == sent.items);
}

// Guards against VMs of two releases that don't understand each other's views:
// an older one sends and reads no eras.
TEST(PeerView, ViewsOfOtherReleasesAreUnderstood) {
  using old_item = std::tuple<std::string, std::uint64_t, bool>;
  const std::map<std::string, old_item> items{{"c", {"v1", 5, false}}};
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, std::uint64_t{9});
  msgpack::pack(buffer, std::uint64_t{5});
  msgpack::pack(buffer, items);
  const std::string old_bytes(buffer.data(), buffer.size());
  const auto received = DecodePeerView(old_bytes);
  CHECK_TRUE(received.has_value());
  LONGS_EQUAL(0, received->latest.era);
  LONGS_EQUAL(9, received->latest.revision);
  publication::view sent;
  sent.era = 2;
  sent.revision = 9;
  sent.last_change_revision = 5;
  sent.items["c"] = {"v1", 5, false, 2};
  CHECK_TRUE(EncodeView({sent, {}, {}}).starts_with(old_bytes));
  CHECK_FALSE(DecodePeerView(old_bytes + "\xc1").has_value());
}

// Guards against VMs of f1be9e1 that can't read a view with documents that they
// don't know, and against one of theirs that is read otherwise.
TEST(PeerView, ReleasesThatReadNoEvacuationsExchangeViews) {
  using old_item = std::tuple<std::string, std::uint64_t, bool>;
  using old_items = std::map<std::string, old_item>;
  using old_eras = std::map<std::string, std::uint64_t>;
  publication::view_update sent;
  sent.latest.era = 2;
  sent.latest.revision = 20;
  sent.latest.last_change_revision = 19;
  sent.latest.items["op/evacuate/a"] = {"{}", 25, false, 1};
  sent.since = 17;
  sent.removed = {"op/evacuate/b"};
  const std::string bytes = EncodeView(sent);
  std::size_t offset = 0;
  const auto next = [&] {
    return msgpack::unpack(bytes.data(), bytes.size(), offset);
  };
  LONGS_EQUAL(20, next().get().as<std::uint64_t>());
  LONGS_EQUAL(19, next().get().as<std::uint64_t>());
  const auto items = next().get().as<old_items>();
  CHECK_TRUE(items == old_items({{"op/evacuate/a", {"{}", 25, false}}}));
  LONGS_EQUAL(2, next().get().as<std::uint64_t>());
  const auto eras = next().get().as<old_eras>();
  CHECK_TRUE(eras == old_eras({{"op/evacuate/a", 1}}));
  LONGS_EQUAL(17, next().get().as<std::uint64_t>());
  CHECK_TRUE(next().get().as<std::vector<std::string>>() == sent.removed);
  LONGS_EQUAL(bytes.size(), offset);

  msgpack::sbuffer buffer;
  msgpack::pack(buffer, std::uint64_t{20});
  msgpack::pack(buffer, std::uint64_t{19});
  msgpack::pack(buffer, items);
  msgpack::pack(buffer, std::uint64_t{2});
  msgpack::pack(buffer, eras);
  msgpack::pack(buffer, std::uint64_t{17});
  msgpack::pack(buffer, sent.removed);
  const auto received =
      DecodePeerView(std::string_view(buffer.data(), buffer.size()));
  CHECK_TRUE(received.has_value());
  CHECK_TRUE(received->latest.items == sent.latest.items);
  CHECK_TRUE(received->since == sent.since);
  CHECK_TRUE(received->removed == sent.removed);
}

// Guards against a process that ends because of what a peer sends: nested
// without end, or with lengths that no memory holds.
TEST(PeerView, OddBytesAreRejected) {
  publication::view sent;
  sent.items["c"] = {"v1", 5, false, 0};
  const std::string whole = EncodeView({sent, 3, {"k"}});
  for (std::size_t cut = 0; cut < whole.size(); ++cut) {
    // Without the eras it is a view of an older release.
    const auto received = DecodePeerView(whole.substr(0, cut));
    CHECK_TRUE(!received || !received->since);
  }
  const std::vector<std::string> odd{
      std::string(1'000'000, '\x91'),
      std::string(1'000'000, '\x81'),
      "\xdd\xff\xff\xff\xff",
      "\xdf\xff\xff\xff\xff",
      "\xdb\xff\xff\xff\xff",
      "\xc6\xff\xff\xff\xff",
      "\xff\xff\x80",
      std::string("\xcb\x7f\xef\xff\xff\xff\xff\xff\xff\x01\x80")};
  for (const std::string& bytes : odd) {
    CHECK_FALSE(DecodePeerView(bytes).has_value());
    CHECK_FALSE(DecodePeerView("\x01\x01" + bytes).has_value());
  }
}
