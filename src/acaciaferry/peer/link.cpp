#include "acaciaferry/peer/link.hpp"

#include <utility>

#include "acaciaferry/peer/codec.hpp"

namespace acaciaferry {

peer_link::peer_link(const std::string& address,
                     const clock_source& clock,
                     identity self,
                     message_sink messages,
                     verdict_sink verdicts)
    : self_(std::move(self)),
      messages_(std::move(messages)),
      verdicts_(std::move(verdicts)),
      transport_(address, clock, [this](byte_view bytes) { Receive(bytes); }) {}

void peer_link::Send(const send_to_peers& message) {
  const std::string payload =
      EncodePayload({self_.vm, self_.incarnation, ++sequence_, message.body});
  if (payload.empty()) {
    verdicts_(peer_verdict::kOversized);
    return;
  }
  const std::string bytes = SignMessage(payload, self_.key);
  for (const std::string& address : message.addresses) {
    transport_.Send(address, bytes);
  }
}

void peer_link::Receive(byte_view bytes) {
  decoded_message decoded = VerifyAndDecode(bytes, self_.key);
  const bool is_usable = decoded.verdict == peer_verdict::kAccepted ||
                         decoded.verdict == peer_verdict::kUnknownFields;
  // The reducer counts accepted messages after its check for replays.
  if (decoded.verdict != peer_verdict::kAccepted) {
    verdicts_(decoded.verdict);
  }
  if (is_usable) {
    messages_(std::move(decoded.message));
  }
}

}  // namespace acaciaferry
