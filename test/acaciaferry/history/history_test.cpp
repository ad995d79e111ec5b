#include "acaciaferry/history/history.hpp"

#include <CppUTest/TestHarness.h>

using namespace acaciaferry;

TEST_GROUP(History) {
  history_state state;
  const time_point start{std::chrono::hours(1)};

  static request Make(std::uint64_t sequence) {
    request made;
    made.id = {1, sequence};
    return made;
  }
};

// Guards against memory growth with the number of requests, and against finding
// another request's record for an overwritten request.
TEST(History, KeepsTheLastRequestsOnly) {
  for (std::uint64_t i = 0; i <= kMaxHistoryEntries; ++i) {
    RecordArrival(state, Make(i), start);
  }
  CHECK_EQUAL(kMaxHistoryEntries, state.entries.size());
  CHECK_EQUAL(kMaxHistoryEntries, state.index.size());
  POINTERS_EQUAL(nullptr, FindHistory(state, {1, 0}));
  for (const std::uint64_t kept :
       {std::uint64_t{1}, std::uint64_t{kMaxHistoryEntries}}) {
    const auto* const entry = FindHistory(state, {1, kept});
    CHECK(entry != nullptr);
    CHECK_EQUAL(kept, entry->id.sequence);
  }
  RecordEnd(state, {1, 0}, answer_completed{}, start);
  for (const request_history& each : state.entries) {
    CHECK_FALSE(each.end.has_value());
  }
}

// Guards against an unbounded number of attempt records, and against recording
// the end of an attempt without a record at another attempt.
TEST(History, LimitsAttemptRecords) {
  RecordArrival(state, Make(1), start);
  for (std::uint32_t i = 1; i <= kMaxAttemptRecords + 2; ++i) {
    RecordAttempt(state, {{1, 1}, i}, {"e"}, std::nullopt, start);
  }
  RecordAttemptEnd(state, {1, 1}, retry_reason::kStalled, start);
  const request_history& entry = *FindHistory(state, {1, 1});
  CHECK_EQUAL(kMaxAttemptRecords, entry.attempts.size());
  CHECK_EQUAL(kMaxAttemptRecords + 2, entry.attempts_made);
  CHECK_FALSE(entry.attempts.back().ended_by.has_value());
}

// Guards against a late or repeated end that overwrites the first one.
TEST(History, KeepsTheFirstEnd) {
  RecordArrival(state, Make(1), start);
  RecordEnd(state, {1, 1}, abandoned_by_caller{}, start);
  RecordEnd(state, {1, 1}, answer_completed{}, start + std::chrono::seconds(1));
  const request_history& entry = *FindHistory(state, {1, 1});
  CHECK(std::holds_alternative<abandoned_by_caller>(*entry.end));
  CHECK(entry.ended_at == start);
}
