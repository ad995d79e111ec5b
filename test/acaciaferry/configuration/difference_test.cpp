#include "acaciaferry/configuration/difference.hpp"

#include <string>
#include <vector>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace acaciaferry;

namespace {

constexpr std::size_t kMaxBytes = 1 << 20;

// Joins sections from a small set, so that documents share many of them.
std::string Join(const std::vector<std::uint8_t>& sections) {
  std::string text = "head = 1\n";
  for (const std::uint8_t section : sections) {
    text += "[workspace.w" + std::to_string(section % 12) +
            "]\nweight = " + std::to_string(section) + "\n";
  }
  return text;
}

}  // namespace

TEST_GROUP(Difference){};

// Guards against rebuilding a document wrongly from a difference.
TEST(Difference, RebuildsTheDocument) {
  CHECK_TRUE(rc::check([](const std::vector<std::uint8_t>& base,
                          const std::vector<std::uint8_t>& next) {
    const std::string from = Join(base);
    const std::string to = Join(next);
    const auto rebuilt =
        ApplyDifference(from, MakeDifference(from, to), kMaxBytes);
    RC_ASSERT(rebuilt == to);
  }));
}

// Guards against accepting malformed operations, reads outside the base and
// results over the size limit.
TEST(Difference, RefusesMalformedOperations) {
  for (const char* const bad :
       {"x", "c 0", "c 0 4", "c 0 99\n", "c 5 1\n", "t 5\nab", "t -1\n",
        "c 0 18446744073709551615\n"}) {
    CHECK_FALSE_TEXT(ApplyDifference("abcd", bad, kMaxBytes).has_value(), bad);
  }
  CHECK_FALSE(ApplyDifference("abcd", "c 0 4\nc 0 4\n", 7).has_value());
}

// Guards against a difference of the size of the whole document when one
// workspace changes.
TEST(Difference, ChangeOfOneSectionGivesASmallDifference) {
  std::string base;
  for (int i = 0; i < 7'300; ++i) {
    base += "[workspace.w" + std::to_string(i) +
            "]\ntoken_digest = " + std::string(64, 'a') + "\n";
  }
  std::string next = base;
  next.replace(next.find("[workspace.w5000]"), 17, "[workspace.w9999]");
  CHECK_TRUE(MakeDifference(base, next).size() < 200);
}
