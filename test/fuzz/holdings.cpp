#include "acaciaferry/target_client/wire.hpp"

#include <cstddef>
#include <cstdint>

#include "input.hpp"

// An engine's list of holdings is parsed or refused.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using namespace acaciaferry;
  static_cast<void>(ParseHoldings(fuzz::Text(data, size)));
  return 0;
}
