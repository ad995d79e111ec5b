#include "acaciaferry/forwarding/routing_table.hpp"

#include <CppUTest/TestHarness.h>

using namespace acaciaferry;
using namespace acaciaferry::forwarding;

namespace {

routing_table Table() {
  routing_table table;
  for (const char* prefix : {"/", "/a/", "/a/b/"}) {
    route each;
    each.name = prefix;
    each.host = "one.example";
    each.path_prefix = prefix;
    table.Add(each);
  }
  return table;
}

std::string NameOf(const route* found) {
  return found ? found->name : "none";
}

}  // namespace

TEST_GROUP(RoutingTable){};

// Guards against a request that is routed by a shorter prefix.
TEST(RoutingTable, PicksTheLongestPrefix) {
  const routing_table table = Table();
  STRCMP_EQUAL("/a/b/",
               NameOf(table.FindRoute("one.example", "/a/b/c")).c_str());
  STRCMP_EQUAL("/a/", NameOf(table.FindRoute("one.example", "/a/bc")).c_str());
  STRCMP_EQUAL("/", NameOf(table.FindRoute("one.example", "/x")).c_str());
}

// Guards against routes that match another host, or a path that only begins
// with the same characters.
TEST(RoutingTable, SeparatesHosts) {
  const routing_table table = Table();
  CHECK_TRUE(table.FindRoute("two.example", "/a/b/c") == nullptr);
  CHECK_TRUE(table.FindRoute("one.example", "") == nullptr);
}

// Guards against a key that resolves to another workspace.
TEST(RoutingTable, FindsTheWorkspaceOfAKey) {
  routing_table table;
  table.AddKey("k1", {{"w1"}, {}});
  table.AddKey("k2", {{"w2"}, 3});
  STRCMP_EQUAL("w2", table.FindWorkspace("k2")->name.value.c_str());
  CHECK_TRUE(table.FindWorkspace("k") == nullptr);
}
