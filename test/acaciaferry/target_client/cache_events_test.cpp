#include <string>

#include "acaciaferry/prefix_cache/prefix_cache.hpp"
#include "acaciaferry/target_client/wire.hpp"

#include <CppUTest/TestHarness.h>

using namespace acaciaferry;

TEST_GROUP(CacheEvents){};

// Guards against events that are parsed with a wrong block or operation.
TEST(CacheEvents, ParsesAnswerOfATarget) {
  const auto answer = ParseCacheEvents(
      R"({"first":3,"events":[{"seq":7,"op":"add","block":"ffeeddccbbaa0011"},
          {"seq":8,"op":"evict","block":"a"}]})");
  CHECK_TRUE(answer.has_value());
  CHECK_EQUAL(3U, answer->oldest_sequence);
  CHECK_EQUAL(2U, answer->events.size());
  CHECK_TRUE(answer->events[0].block == 0xFFEE'DDCC'BBAA'0011);
  CHECK_FALSE(answer->events[0].is_eviction);
  CHECK_EQUAL(8U, answer->events[1].sequence);
  CHECK_TRUE(answer->events[1].is_eviction);
}

// Guards against malformed answers that are accepted in part: the lost events
// would look like a gap or like blocks that are not cached.
TEST(CacheEvents, RejectsMalformedAnswers) {
  for (const char* const text :
       {"", "[]", R"({"events":[]})", R"({"first":1})",
        R"({"first":1,"events":[{"seq":1,"op":"move","block":"1"}]})",
        R"({"first":1,"events":[{"seq":1,"op":"add","block":"xyz"}]})",
        R"({"first":1,"events":[{"seq":1,"op":"add","block":17}]})",
        R"({"first":1,"events":[{"op":"add","block":"1"}]})"}) {
    CHECK_FALSE_TEXT(ParseCacheEvents(text).has_value(), text);
  }
}

// Guards against an index that stays incomplete after a gap in the events: the
// next poll must ask for a snapshot, which makes the index complete again.
TEST(CacheEvents, RequestsSnapshotAfterAGap) {
  const target_id engine{"e1"};
  prefix_cache_state state;
  time_point now{};
  const auto apply = [&](const char* text, bool is_snapshot) {
    auto answer = *ParseCacheEvents(text);
    answer.target = engine;
    answer.incarnation = 5;
    answer.is_snapshot = is_snapshot;
    return ApplyCacheEvents(state, answer, 5, now);
  };
  CHECK_TRUE(NextCachePoll(state, engine).snapshot);
  apply(R"({"first":1,"events":[{"seq":2,"op":"add","block":"1"}]})", true);
  CHECK_FALSE(NextCachePoll(state, engine).snapshot);
  CHECK_EQUAL(2U, NextCachePoll(state, engine).after);
  CHECK(apply(R"({"first":9,"events":[{"seq":9,"op":"add","block":"2"}]})",
              false) == cache_verdict::kGap);
  CHECK_TRUE(NextCachePoll(state, engine).snapshot);
  apply(R"({"first":9,"events":[{"seq":9,"op":"add","block":"2"},
            {"seq":9,"op":"add","block":"3"}]})",
        true);
  CHECK_FALSE(NextCachePoll(state, engine).snapshot);
  CHECK_EQUAL(2U, state.block_count);
}
