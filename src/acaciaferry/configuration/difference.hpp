#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace acaciaferry {

/**
 * @brief Describes a document by the sections that it shares with a base.
 * @param base The document that the reader has.
 * @param next The document to describe.
 * @return Operations that ApplyDifference understands: `c OFFSET LENGTH` copies
 * from the base; `t LENGTH` is followed by that many bytes of text.
 */
[[nodiscard]] std::string MakeDifference(std::string_view base,
                                         std::string_view next);

/**
 * @brief Rebuilds a document from a base and a difference.
 * @param base The document that the difference was made against.
 * @param difference Operations from a peer.
 * @param max_bytes Limit of the result.
 * @return The document, or nothing when the operations are malformed.
 */
[[nodiscard]] std::optional<std::string> ApplyDifference(
    std::string_view base,
    std::string_view difference,
    std::size_t max_bytes);

/** @return XXH64 of a document. */
[[nodiscard]] std::uint64_t DocumentDigest(std::string_view text) noexcept;

}  // namespace acaciaferry
