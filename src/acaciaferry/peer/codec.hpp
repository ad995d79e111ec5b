#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <variant>

#include "acaciaferry/membership/message.hpp"

namespace acaciaferry {

inline constexpr std::size_t kMaxMessageBytes = 64 << 10;
/** First byte of every message; another value is another envelope. */
inline constexpr std::uint8_t kEnvelopeFormat = 1;
/** Version of the fields that this build writes. */
inline constexpr std::uint64_t kMessageVersion = 1;
inline constexpr std::size_t kTagBytes = 32;

using byte_view = std::span<const std::uint8_t>;

/**
 * @brief A decoded payload, or why there is none.
 */
struct decoded_message {
  peer_verdict verdict{peer_verdict::kMalformed};
  peer_message message;
};

/**
 * @brief Encodes a message without its envelope.
 * @param message The message.
 * @return msgpack: an array of version, kind, VM, incarnation, sequence and a
 * map from field numbers to values. Empty when it would be too long.
 */
[[nodiscard]] std::string EncodePayload(const peer_message& message);

/**
 * @brief Decodes what EncodePayload of this or a later version wrote.
 * @param payload Bytes from outside, of any content.
 * @return kAccepted or kUnknownFields with the message, kUnknownKind with the
 * sender only, or kMalformed.
 */
[[nodiscard]] decoded_message DecodePayload(byte_view payload);

/**
 * @brief Signs a payload.
 * @param payload At most kMaxMessageBytes minus the envelope.
 * @param key The deployment's key.
 * @return Format byte, HMAC-SHA256 of the payload, payload.
 */
[[nodiscard]] std::string Seal(std::string_view payload, std::string_view key);

/**
 * @brief Checks size, format and signature, and then decodes.
 * @param bytes A message as it was received.
 * @param key The deployment's key.
 * @return As DecodePayload; kOversized, kUnknownFormat or kForged before that.
 */
[[nodiscard]] decoded_message OpenMessage(byte_view bytes,
                                          std::string_view key);

}  // namespace acaciaferry
