#include "acaciaferry/operations/operation_key.hpp"

#include <cstddef>
#include <cstdint>

#include "input.hpp"

// Only text that the secret signs is a genuine key.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using namespace acaciaferry;
  constexpr std::string_view kSecret = "the key of the fuzz target";
  const std::string_view text = fuzz::Text(data, size);
  const presented_key presented = ParseKey(text, kSecret);
  if (presented.verdict == key_verdict::kGenuine) {
    fuzz::Require(FormatKey(presented.key, kSecret) == text);
  }
  // A key that was minted for any VM name is genuine.
  const operation_key minted{.vm = {std::string(text)},
                             .incarnation = size,
                             .sequence = size,
                             .expires = {}};
  const presented_key own = ParseKey(FormatKey(minted, kSecret), kSecret);
  fuzz::Require(own.verdict == key_verdict::kGenuine && own.key == minted);
  return 0;
}
