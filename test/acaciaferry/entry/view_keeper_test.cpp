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
