#include "acaciaferry/standin/kv_memory.hpp"

#include <map>
#include <string>
#include <vector>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace acaciaferry;
using namespace acaciaferry::standin;
using std::chrono::seconds;

namespace {

holding Hold(std::string id, std::uint64_t tokens) {
  holding value;
  value.id = std::move(id);
  value.tokens = tokens;
  return value;
}

}  // namespace

TEST_GROUP(KvMemory){};

// Guards against accounting errors: memory that is lost, or held twice, over
// any order of allocations, releases and cached prefixes.
TEST(KvMemory, HeldTokensAreTheSumOfTheHoldings) {
  CHECK_TRUE(rc::check([] {
    constexpr std::uint64_t kCapacity = 100;
    constexpr std::uint64_t kBlock = 10;
    kv_memory memory(kCapacity, kBlock);
    std::map<std::string, std::uint64_t> expected;
    std::uint64_t sum = 0;
    const int steps = *rc::gen::inRange(1, 60);
    for (int i = 0; i < steps; ++i) {
      const std::string id = std::to_string(*rc::gen::inRange(0, 8));
      const int action = *rc::gen::inRange(0, 3);
      if (action == 0) {
        const auto tokens = *rc::gen::inRange<std::uint64_t>(0, 70);
        const bool fits = sum + tokens <= kCapacity && !expected.contains(id);
        RC_ASSERT(memory.Allocate(Hold(id, tokens)) == fits);
        if (fits) {
          expected[id] = tokens;
          sum += tokens;
        }
      } else if (action == 1) {
        RC_ASSERT(memory.Release(id) == expected.contains(id));
        sum -= expected.contains(id) ? expected[id] : 0;
        expected.erase(id);
      } else {
        memory.CachePrefix(*rc::gen::container<std::vector<std::uint64_t>>(
            rc::gen::inRange<std::uint64_t>(1, 30)));
      }
      RC_ASSERT(memory.HeldTokens() == sum);
      RC_ASSERT(memory.Holdings().size() == expected.size());
      RC_ASSERT(memory.CachedBlocks().size() * kBlock + sum <= kCapacity);
    }
  }));
}

// Guards against a cache whose events do not add up to its content.
TEST(KvMemory, ChangesReplayToTheCachedBlocks) {
  kv_memory memory(30, 10);
  memory.CachePrefix(std::vector<std::uint64_t>{1, 2, 3});
  memory.CachePrefix(std::vector<std::uint64_t>{1, 4});
  CHECK_TRUE(memory.Allocate(Hold("stream", 15)));
  std::map<std::uint64_t, bool> replayed;
  for (const cache_change& change : memory.TakeChanges()) {
    const bool is_add = change.operation == cache_operation::kAdd;
    CHECK_TRUE(replayed[change.block] != is_add);
    replayed[change.block] = is_add;
  }
  std::vector<std::uint64_t> cached;
  for (const auto& [block, present] : replayed) {
    if (present) {
      cached.push_back(block);
    }
  }
  CHECK_TRUE(cached == memory.CachedBlocks());
  CHECK_EQUAL(1, cached.size());
  // The first block of the prefix outlives the later ones.
  CHECK_EQUAL(1, cached[0]);
}

// Guards against reservations of a dead owner that are never freed, and
// against losing one that is renewed in time.
TEST(KvMemory, OnlyLapsedLeasesAreFreed) {
  kv_memory memory(100, 10);
  const time_point start{};
  holding leased = Hold("leased", 40);
  leased.kind = holding_kind::kReservation;
  leased.lease = seconds(5);
  leased.lease_end = start + seconds(5);
  leased.deadline = start + seconds(1);
  CHECK_TRUE(memory.Allocate(leased));
  CHECK_TRUE(memory.FreeLapsedLeases(start + seconds(4)).empty());
  CHECK_TRUE(memory.Renew("leased", start + seconds(4)));
  CHECK_TRUE(memory.FreeLapsedLeases(start + seconds(8)).empty());
  CHECK_EQUAL(40, memory.HeldTokens());
  CHECK_EQUAL(1, memory.FreeLapsedLeases(start + seconds(9)).size());
  CHECK_EQUAL(0, memory.HeldTokens());
  CHECK_FALSE(memory.Renew("leased", start + seconds(9)));
}
