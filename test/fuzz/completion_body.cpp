#include "acaciaferry/http/completion_body.hpp"

#include <cstddef>
#include <cstdint>

#include "input.hpp"

// A prompt has no more blocks than tokens allow.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using namespace acaciaferry;
  const auto body = ParseCompletionBody(fuzz::Text(data, size));
  if (body) {
    const std::uint64_t tokens = EstimateTokens(body->prompt.size());
    fuzz::Require(HashPrefixBlocks(body->prompt).size() <=
                  tokens / kTokensPerBlock + 1);
  }
  return 0;
}
