#include "acaciaferry/attempts/answer_prefix.hpp"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace acaciaferry;

TEST_GROUP(AnswerPrefix){};

// Guards against an answer that is joined from two different ones.
TEST(AnswerPrefix, SecondAnswerMustRepeatTheFirst) {
  answer_prefix prefix;
  std::string fresh;
  CHECK(prefix.Take("The vat", fresh) == prefix_verdict::kOk);
  prefix.Restart();
  CHECK(prefix.Take("The ", fresh) == prefix_verdict::kOk);
  CHECK_FALSE(prefix.IsCovered());
  CHECK(prefix.Take("vat is full", fresh) == prefix_verdict::kOk);
  CHECK_EQUAL(std::string("The vat is full"), fresh);
  prefix.Restart();
  CHECK(prefix.Take("The vat was", fresh) == prefix_verdict::kDiffers);
}

// Guards against a failover whose comparison has lost its first bytes.
TEST(AnswerPrefix, TooLongPrefixForbidsAnotherAnswer) {
  answer_prefix prefix;
  std::string fresh;
  const std::string long_text((256 << 10) + 1, 'x');
  CHECK(prefix.Take(long_text, fresh) == prefix_verdict::kOk);
  CHECK_FALSE(prefix.CanRestart());
  CHECK(prefix.Take("more", fresh) == prefix_verdict::kOk);
  CHECK_EQUAL(long_text.size() + 4, fresh.size());
}
