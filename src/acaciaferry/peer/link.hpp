#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "acaciaferry/core/name.hpp"
#include "acaciaferry/core/time.hpp"
#include "acaciaferry/membership/effect.hpp"
#include "acaciaferry/peer/transport.hpp"

namespace acaciaferry {

/**
 * @brief Encodes, signs and sends messages; verifies and decodes received ones.
 */
class peer_link {
 public:
  using message_sink = std::function<void(peer_message)>;
  using verdict_sink = std::function<void(peer_verdict)>;

  struct identity {
    vm_id vm;
    std::uint64_t incarnation{};
    /** The deployment's key. */
    std::string key;
  };

  /**
   * @param address IP:PORT to listen on.
   * @param clock The time source; must outlive the link.
   * @param self The sender of all messages, and the key.
   * @param messages Receives each authentic message on the link's thread.
   * @param verdicts Receives the verdict of each message that was rejected, not
   * sent or decoded with unknown fields.
   * @throws Poco::Exception when the address cannot be bound.
   */
  peer_link(const std::string& address,
            const clock_source& clock,
            identity self,
            message_sink messages,
            verdict_sink verdicts);

  /** @brief Starts receiving. */
  void Start() { transport_.Start(); }

  /** @brief Encodes a body once and sends it to each address. Never blocks; not
   * thread-safe. */
  void Send(const send_to_peers& message);

  [[nodiscard]] const peer_transport& Transport() const noexcept {
    return transport_;
  }

 private:
  void Receive(byte_view bytes);

  const identity self_;
  const message_sink messages_;
  const verdict_sink verdicts_;
  std::uint64_t sequence_{};
  peer_transport transport_;
};

}  // namespace acaciaferry
