#pragma once

#include <string>
#include <string_view>

namespace acaciaferry {

/**
 * @brief Computes the digest that is stored in place of a bearer token.
 * @param token The token.
 * @return Its SHA-256 in lower-case hexadecimal.
 */
[[nodiscard]] std::string TokenDigest(std::string_view token);

/**
 * @brief Compares two strings in time that depends only on their lengths.
 * @param a The first string.
 * @param b The second string.
 * @return Whether they are equal.
 */
[[nodiscard]] bool EqualInConstantTime(std::string_view a,
                                       std::string_view b) noexcept;

}  // namespace acaciaferry
