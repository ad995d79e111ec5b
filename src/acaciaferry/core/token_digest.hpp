#pragma once

#include <string>
#include <string_view>

namespace acaciaferry {

/**
 * @brief Computes the digest under which a token is kept.
 * @param token The token.
 * @return Its SHA-256 in lower-case hexadecimal.
 */
[[nodiscard]] std::string TokenDigest(std::string_view token);

/**
 * @brief Compares two texts in a time that depends on their lengths only.
 * @param a A text.
 * @param b A text.
 * @return Whether they are equal.
 */
[[nodiscard]] bool EqualInConstantTime(std::string_view a,
                                       std::string_view b) noexcept;

}  // namespace acaciaferry
