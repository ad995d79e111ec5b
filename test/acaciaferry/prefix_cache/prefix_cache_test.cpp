#include "acaciaferry/prefix_cache/prefix_cache.hpp"

#include <malloc.h>

#include <set>
#include <string>
#include <tuple>
#include <vector>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace acaciaferry;

namespace {

constexpr time_point kStart{std::chrono::hours(1)};

cache_events_received Snapshot(const std::string& target,
                               const std::vector<std::uint64_t>& blocks) {
  cache_events_received answer{.target = {target},
                               .incarnation = 1,
                               .oldest_sequence = 1,
                               .is_snapshot = true};
  for (const std::uint64_t block : blocks) {
    answer.events.push_back({answer.events.size() + 1, false, block});
  }
  return answer;
}

bool IsConsistent(const prefix_cache_state& state) {
  std::size_t blocks = 0;
  for (const auto& [id, cached] : state.targets) {
    if (cached.blocks.size() != cached.oldest_first.size() ||
        cached.blocks.size() > kMaxBlocksPerTarget) {
      return false;
    }
    blocks += cached.blocks.size();
  }
  for (const auto& [block, slot] : state.holders) {
    const auto holder = state.targets.find(state.slots.at(slot));
    if (holder == state.targets.end() ||
        !holder->second.blocks.contains(block)) {
      return false;
    }
  }
  return blocks == state.block_count && blocks <= kMaxIndexedBlocks &&
         state.holders.size() <= blocks;
}

}  // namespace

TEST_GROUP(PrefixCache){};

// Guards against an index that differs from the target's cache without
// needs_snapshot being set, after any sequence of lost and repeated events and
// snapshots.
TEST(PrefixCache, TracksTheCacheOrReportsThatItDoesNot) {
  CHECK_TRUE(rc::check(
      [](const std::vector<std::tuple<std::uint8_t, bool, std::uint8_t>>&
             script) {
        prefix_cache_state state;
        std::set<std::uint64_t> cache;
        std::vector<cache_event> log;
        for (const auto& [block, is_eviction, action] : script) {
          const bool changes =
              is_eviction ? cache.erase(block) > 0 : cache.insert(block).second;
          if (changes) {
            log.push_back({log.size() + 1, is_eviction, block});
          }
          if (action % 3 == 0) {
            continue;
          }
          // The target stores only the last few events.
          const std::size_t kept = action % 4;
          const std::size_t from = log.size() > kept ? log.size() - kept : 0;
          cache_events_received answer{
              .target = {"e1"}, .incarnation = 1, .oldest_sequence = from + 1};
          const cache_poll poll = NextCachePoll(state, {"e1"});
          if (poll.snapshot && action % 2 == 0) {
            answer = Snapshot("e1", {cache.begin(), cache.end()});
            answer.oldest_sequence = log.size() + 1;
            for (cache_event& each : answer.events) {
              each.sequence = log.size();
            }
          } else {
            for (std::size_t i = std::max<std::size_t>(from, poll.after);
                 i < log.size(); ++i) {
              answer.events.push_back(log[i]);
            }
          }
          (void)ApplyCacheEvents(state, answer, 1, kStart);
          RC_ASSERT(IsConsistent(state));
          const cached_target& cached = state.targets.at({"e1"});
          if (!cached.needs_snapshot) {
            RC_ASSERT(cached.blocks.size() == cache.size());
            for (const std::uint64_t each : cache) {
              RC_ASSERT(cached.blocks.contains(each));
            }
          }
        }
      }));
}

// Guards against an index that exceeds its stated memory bound because of many
// targets, large caches or oversized responses.
TEST(PrefixCache, StaysWithinItsBound) {
  const std::size_t heap_before = mallinfo2().uordblks;
  prefix_cache_state state;
  std::uint64_t next = 0;
  for (int target = 0; target < 40; ++target) {
    std::vector<std::uint64_t> blocks(5'000);
    for (std::uint64_t& each : blocks) {
      each = next++;
    }
    (void)ApplyCacheEvents(
        state, Snapshot("e" + std::to_string(target), blocks), 1, kStart);
    CHECK_TRUE(IsConsistent(state));
  }
  CHECK_EQUAL(kMaxIndexedBlocks, state.block_count);
  CHECK_TRUE(mallinfo2().uordblks - heap_before <=
             kMaxIndexedBlocks * kBytesPerBlock);
  // No target's blocks are all evicted in favour of others.
  for (const auto& [id, cached] : state.targets) {
    CHECK_TRUE(cached.blocks.size() >= 1'000);
  }
  for (int target = 0; target < 40; ++target) {
    EraseTargetCache(state, {"e" + std::to_string(target)});
  }
  CHECK_EQUAL(0U, state.block_count);
  CHECK_TRUE(state.holders.empty());
}

// Guards against routing by outdated or incomplete knowledge of a cache, or by
// that of an earlier incarnation.
TEST(PrefixCache, TrustFallsWithAgeAndGaps) {
  prefix_cache_state state;
  const std::vector<std::uint64_t> prompt{1, 2, 3};
  (void)ApplyCacheEvents(state, Snapshot("e1", {1, 2, 7}), 1, kStart);
  const auto expected = [&](int seconds) {
    return ExpectedCachedTokens(state, {"e1"}, prompt,
                                kStart + std::chrono::seconds(seconds));
  };
  DOUBLES_EQUAL(2 * kBlockTokens, expected(0), 1e-6);
  CHECK_TRUE(expected(30) < expected(10));
  CHECK_TRUE(expected(10) < expected(0));
  cache_events_received late{.target = {"e1"},
                             .incarnation = 1,
                             .oldest_sequence = 9,
                             .events = {{9, false, 3}}};
  CHECK_TRUE(ApplyCacheEvents(state, late, 1, kStart) == cache_verdict::kGap);
  DOUBLES_EQUAL(1.5 * kBlockTokens, expected(0), 1e-6);
  CHECK_TRUE(NextCachePoll(state, {"e1"}).snapshot);
  CHECK_TRUE(ApplyCacheEvents(state, late, 1, kStart) ==
             cache_verdict::kOldSequence);
  CHECK_TRUE(FindHolder(state, prompt) == target_id{"e1"});
  late.incarnation = 2;
  CHECK_TRUE(ApplyCacheEvents(state, late, 2, kStart) == cache_verdict::kGap);
  DOUBLES_EQUAL(0, expected(0), 1e-6);
  late.incarnation = 1;
  CHECK_TRUE(ApplyCacheEvents(state, late, 2, kStart) ==
             cache_verdict::kSupersededIncarnation);
}
