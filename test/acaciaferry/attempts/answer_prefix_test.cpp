#include "acaciaferry/attempts/answer_prefix.hpp"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace acaciaferry;

TEST_GROUP(AnswerPrefix){};

// Guards against an answer that is composed of two different ones.
TEST(AnswerPrefix, SecondAnswerMustRepeatTheFirst) {
  answer_prefix prefix;
  std::string new_bytes;
  CHECK(prefix.CheckAndAppend("The vat", new_bytes) == prefix_verdict::kOk);
  prefix.RestartComparison();
  CHECK(prefix.CheckAndAppend("The ", new_bytes) == prefix_verdict::kOk);
  CHECK_FALSE(prefix.HasRepeatedPrefix());
  CHECK(prefix.CheckAndAppend("vat is full", new_bytes) == prefix_verdict::kOk);
  CHECK_EQUAL(std::string("The vat is full"), new_bytes);
  prefix.RestartComparison();
  CHECK(prefix.CheckAndAppend("The vat was", new_bytes) ==
        prefix_verdict::kMismatch);
}

// Guards against a failover when the delivered bytes are no longer kept, so
// that the new answer cannot be compared.
TEST(AnswerPrefix, TooLongPrefixPreventsFailover) {
  answer_prefix prefix;
  std::string new_bytes;
  const std::string long_text((256 << 10) + 1, 'x');
  CHECK(prefix.CheckAndAppend(long_text, new_bytes) == prefix_verdict::kOk);
  CHECK_FALSE(prefix.CanRestart());
  CHECK(prefix.CheckAndAppend("more", new_bytes) == prefix_verdict::kOk);
  CHECK_EQUAL(long_text.size() + 4, new_bytes.size());
}
