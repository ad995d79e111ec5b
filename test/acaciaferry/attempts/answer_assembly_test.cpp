#include "acaciaferry/attempts/answer_assembly.hpp"

#include <algorithm>
#include <string>
#include <vector>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace acaciaferry;

TEST_GROUP(AnswerAssembly){};

// Guards against answers that are truncated, repeated or out of order when
// chunks arrive reordered, duplicated or overlapping.
TEST(AnswerAssembly, ReassemblesChunksInAnyOrder) {
  CHECK_TRUE(rc::check([](const std::string& answer) {
    const std::size_t size = answer.size();
    std::vector<std::size_t> starts(size);
    for (std::size_t i = 0; i < size; ++i) {
      starts[i] = i;
    }
    const auto order =
        *rc::gen::map(rc::gen::container<std::vector<std::uint32_t>>(
                          size, rc::gen::arbitrary<std::uint32_t>()),
                      [starts](const std::vector<std::uint32_t>& keys) {
                        auto sorted = starts;
                        std::sort(sorted.begin(), sorted.end(),
                                  [&keys](std::size_t a, std::size_t b) {
                                    return keys[a] < keys[b];
                                  });
                        return sorted;
                      });
    answer_assembly assembly;
    std::string ready;
    for (const std::size_t start : order) {
      const std::size_t length = *rc::gen::inRange<std::size_t>(1, 4);
      RC_ASSERT(assembly.Add(start, answer.substr(start, length), ready) ==
                assembly_verdict::kOk);
    }
    RC_ASSERT(assembly.SetLength(size) == assembly_verdict::kOk);
    RC_ASSERT(ready == answer);
    RC_ASSERT(assembly.IsComplete());
  }));
}

// Guards against a truncated answer that counts as complete because its end
// marker arrived before all bytes.
TEST(AnswerAssembly, GapKeepsTheAnswerIncomplete) {
  answer_assembly assembly;
  std::string ready;
  CHECK(assembly.Add(3, "def", ready) == assembly_verdict::kOk);
  CHECK(assembly.SetLength(6) == assembly_verdict::kOk);
  CHECK_FALSE(assembly.IsComplete());
  CHECK(assembly.Add(0, "abc", ready) == assembly_verdict::kOk);
  CHECK_TRUE(assembly.IsComplete());
  CHECK_EQUAL(std::string("abcdef"), ready);
}
