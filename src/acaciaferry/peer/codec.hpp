#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <variant>

#include "acaciaferry/membership/message.hpp"

namespace acaciaferry {

/** Maximum size of a message with its envelope. */
inline constexpr std::size_t kMaxMessageBytes = 64 << 10;
/** Version of the envelope format: the first byte of every message. */
inline constexpr std::uint8_t kEnvelopeFormat = 1;
/** Version of the payload that this build writes. */
inline constexpr std::uint64_t kMessageVersion = 1;
/** Size of the HMAC-SHA256 tag. */
inline constexpr std::size_t kTagBytes = 32;

using byte_view = std::span<const std::uint8_t>;

/**
 * @brief Result of decoding: the message, or why there is none.
 */
struct decoded_message {
  peer_verdict verdict{peer_verdict::kMalformed};
  peer_message message;
};

/**
 * @brief Encodes a message without its envelope.
 * @param message The message.
 * @return msgpack: an array of version, kind, VM, incarnation, sequence and a
 * map from field numbers to values. Empty when the message would exceed
 * kMaxMessageBytes.
 */
[[nodiscard]] std::string EncodePayload(const peer_message& message);

/**
 * @brief Decodes a payload that EncodePayload of this or a later version wrote.
 * @param payload Untrusted bytes.
 * @return kAccepted or kUnknownFields with the message, kUnknownKind with the
 * header only, or kMalformed.
 */
[[nodiscard]] decoded_message DecodePayload(byte_view payload);

/**
 * @brief Adds the envelope with the signature to a payload.
 * @param payload At most kMaxMessageBytes minus the envelope.
 * @param key The deployment's key.
 * @return Format byte, HMAC-SHA256 of the payload, payload.
 */
[[nodiscard]] std::string SignMessage(std::string_view payload,
                                      std::string_view key);

/**
 * @brief Checks the size, format and signature of a message and decodes it.
 * @param bytes A message as it was received.
 * @param key The deployment's key.
 * @return The result of DecodePayload, or kOversized, kMalformed,
 * kUnknownFormat or kForged without a message.
 */
[[nodiscard]] decoded_message VerifyAndDecode(byte_view bytes,
                                              std::string_view key);

}  // namespace acaciaferry
