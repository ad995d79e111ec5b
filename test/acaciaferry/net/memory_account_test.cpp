#include "acaciaferry/net/memory_account.hpp"

#include <memory>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace acaciaferry::net;

namespace {

constexpr std::size_t kMegabyte = 1U << 20U;

// Holders that let go when they are told to, as connections do in a later turn.
struct holders {
  void Hold(const std::string& name, std::size_t bytes, held_content what) {
    for (auto& [known, holding] : all) {
      if (known == name) {
        holding->Set(bytes, what);
        return;
      }
    }
    all.emplace_back(name,
                     std::make_unique<held_memory>(
                         &account, [this, name] { dropped.push_back(name); }));
    all.back().second->Set(bytes, what);
  }

  memory_account account{10 * kMegabyte};
  std::vector<std::pair<std::string, std::unique_ptr<held_memory>>> all;
  std::vector<std::string> dropped;
};

}  // namespace

TEST_GROUP(MemoryAccount){};

// Guards against many answers that together exceed the memory, though each is
// below its own bound, and against sound ones that are dropped for them.
TEST(MemoryAccount, DropsTheLargestOpenEndedHoldingFirst) {
  holders held;
  held.Hold("sound", 5 * kMegabyte, held_content::kDeclared);
  held.Hold("ready", 3 * kMegabyte, held_content::kComplete);
  held.Hold("endless1", kMegabyte, held_content::kOpenEnded);
  held.Hold("endless2", kMegabyte, held_content::kOpenEnded);
  CHECK_TRUE(held.dropped.empty());
  held.Hold("endless2", 2 * kMegabyte, held_content::kOpenEnded);
  CHECK_TRUE(held.dropped == std::vector<std::string>{"endless2"});
  LONGS_EQUAL(9 * kMegabyte, held.account.Held());
  // What it still receives until it has let go doesn't count again.
  held.Hold("endless2", 3 * kMegabyte, held_content::kOpenEnded);
  LONGS_EQUAL(9 * kMegabyte, held.account.Held());
  LONGS_EQUAL(1, held.account.Dropped());
}

// Guards against streams that are cut for the answers of others.
TEST(MemoryAccount, DropsSmallHoldingsLast) {
  holders held;
  held.Hold("stream", 1'000, held_content::kOpenEnded);
  held.Hold("ready", 9 * kMegabyte, held_content::kComplete);
  held.Hold("ready2", 2 * kMegabyte, held_content::kComplete);
  CHECK_TRUE(held.dropped == std::vector<std::string>{"ready"});
}

// Guards against memory that counts after it was given back.
TEST(MemoryAccount, CountsWhatIsHeldNow) {
  holders held;
  for (int i = 0; i < 100; ++i) {
    held.Hold("answer", 8 * kMegabyte, held_content::kDeclared);
    LONGS_EQUAL(8 * kMegabyte, held.account.Held());
    held.Hold("answer", 100, held_content::kComplete);
    held.all.clear();
    LONGS_EQUAL(0, held.account.Held());
  }
  CHECK_TRUE(held.dropped.empty());
  // Without an account nothing is counted.
  held_memory free(nullptr, [] {});
  free.Set(100 * kMegabyte, held_content::kOpenEnded);
  LONGS_EQUAL(0, held.account.Held());
}
