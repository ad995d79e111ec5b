#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace acaciaferry {

/**
 * @brief Encodes a document as a difference from a base document.
 * @param base The document that the receiver has.
 * @param next The document to encode.
 * @return Operations for ApplyDifference: `c OFFSET LENGTH` copies
 * from the base; `t LENGTH` is followed by that many bytes of text.
 */
[[nodiscard]] std::string MakeDifference(std::string_view base,
                                         std::string_view next);

/**
 * @brief Rebuilds a document from a base and a difference.
 * @param base The document that the difference was made against.
 * @param difference Operations from a peer.
 * @param max_bytes Maximum size of the result.
 * @return The document, or nothing when the operations are malformed or the
 * result would be too large.
 */
[[nodiscard]] std::optional<std::string> ApplyDifference(
    std::string_view base,
    std::string_view difference,
    std::size_t max_bytes);

/** @return XXH64 of a document. */
[[nodiscard]] std::uint64_t DocumentDigest(std::string_view text) noexcept;

}  // namespace acaciaferry
