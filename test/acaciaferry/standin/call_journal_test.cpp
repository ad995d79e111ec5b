#include "acaciaferry/standin/call_journal.hpp"

#include <CppUTest/TestHarness.h>

using namespace acaciaferry::standin;

namespace {

call_record Call(std::string key) {
  call_record record;
  record.path = "/vat-release";
  record.idempotency_key = std::move(key);
  return record;
}

}  // namespace

TEST_GROUP(CallJournal){};

// Guards against a deduplicating service that executes a key twice.
TEST(CallJournal, RepeatedKeyIsExecutedOnce) {
  call_journal journal(true);
  CHECK_FALSE(journal.Begin(Call("k")).has_value());
  journal.End("k", "answer");
  CHECK_EQUAL(std::string("answer"), journal.Begin(Call("k")).value());
  CHECK_FALSE(journal.Begin(Call("other")).has_value());
  CHECK_EQUAL(2, journal.After(0).size());
  CHECK_EQUAL(1, journal.After(1).size());
}

// Guards against a journal that hides a double execution.
TEST(CallJournal, WithoutDeduplicationEachExecutionIsRecorded) {
  call_journal journal(false);
  CHECK_FALSE(journal.Begin(Call("k")).has_value());
  journal.End("k", "answer");
  CHECK_FALSE(journal.Begin(Call("k")).has_value());
  CHECK_EQUAL(2, journal.After(0).size());
}
