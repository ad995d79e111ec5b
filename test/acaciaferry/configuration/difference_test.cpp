#include "acaciaferry/configuration/difference.hpp"

#include <string>
#include <vector>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace acaciaferry;

namespace {

constexpr std::size_t kMaxBytes = 1 << 20;

// Sections from a small alphabet, so that many are shared.
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

// Guards against a document that is put together wrongly from its difference.
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

// Guards against operations that reach outside the base or never end.
TEST(Difference, RefusesMalformedOperations) {
  for (const char* const bad :
       {"x", "c 0", "c 0 4", "c 0 99\n", "c 5 1\n", "t 5\nab", "t -1\n",
        "c 0 18446744073709551615\n"}) {
    CHECK_FALSE_TEXT(ApplyDifference("abcd", bad, kMaxBytes).has_value(), bad);
  }
  CHECK_FALSE(ApplyDifference("abcd", "c 0 4\nc 0 4\n", 7).has_value());
}

// Guards against a change of one workspace that costs the whole document.
TEST(Difference, OneChangedSectionCostsItsOwnLength) {
  std::string base;
  for (int i = 0; i < 7'300; ++i) {
    base += "[workspace.w" + std::to_string(i) +
            "]\ntoken_digest = " + std::string(64, 'a') + "\n";
  }
  std::string next = base;
  next.replace(next.find("[workspace.w5000]"), 17, "[workspace.w9999]");
  CHECK_TRUE(MakeDifference(base, next).size() < 200);
}
