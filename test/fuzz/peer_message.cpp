#include "acaciaferry/peer/codec.hpp"

#include <cstddef>
#include <cstdint>

#include "input.hpp"

// What a peer may say decodes again after it was encoded.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using namespace acaciaferry;
  constexpr std::string_view kKey = "the key of the fuzz target";
  const byte_view bytes{data, size};
  static_cast<void>(VerifyAndDecode(bytes, kKey));
  const decoded_message direct = DecodePayload(bytes);
  if (direct.verdict == peer_verdict::kAccepted) {
    const std::string again = EncodePayload(direct.message);
    const auto* const first =
        reinterpret_cast<const std::uint8_t*>(again.data());
    fuzz::Require(DecodePayload({first, again.size()}).verdict ==
                  peer_verdict::kAccepted);
  }
  return 0;
}
