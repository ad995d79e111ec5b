#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace acaciaferry {

/**
 * @brief Prompt length class, by number of tokens.
 */
enum class length_class { kUpTo4k, kUpTo32k, kUpTo128k, kOver128k };

inline constexpr std::size_t kLengthClassCount = 4;

/** Largest prompt, in tokens, of each class but the last. */
inline constexpr std::array<std::uint64_t, kLengthClassCount - 1>
    kLengthClassLimits{4'096, 32'768, 131'072};

/**
 * @brief Determines the length class of a prompt.
 * @param prompt_tokens Number of tokens of the prompt.
 * @return The first class whose limit is at least prompt_tokens.
 */
[[nodiscard]] constexpr length_class ClassifyLength(
    std::uint64_t prompt_tokens) noexcept {
  std::size_t index = 0;
  while (index < kLengthClassLimits.size() &&
         prompt_tokens > kLengthClassLimits[index]) {
    ++index;
  }
  return static_cast<length_class>(index);
}

/**
 * @brief Formats a length class as metrics and reports print it.
 * @param value The class.
 * @return A name with static storage.
 */
[[nodiscard]] constexpr std::string_view ToString(length_class value) noexcept {
  constexpr std::array<std::string_view, kLengthClassCount> kNames{
      "up_to_4k", "up_to_32k", "up_to_128k", "over_128k"};
  return kNames[static_cast<std::size_t>(value)];
}

}  // namespace acaciaferry
