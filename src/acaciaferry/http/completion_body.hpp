#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace acaciaferry {

/**
 * @brief What the serving layer needs to know of a completion's JSON body.
 */
struct completion_body {
  std::string model;
  /** The prompt, or the messages' contents one after the other. */
  std::string prompt;
  std::uint64_t max_tokens{};
  bool stream{};
};

/** Tokens of a prompt block whose hash identifies it in a prefix cache. */
inline constexpr std::uint64_t kTokensPerBlock = 2'048;
/** Bytes of text that are counted as one token. */
inline constexpr std::uint64_t kBytesPerToken = 4;

/**
 * @brief Parses the body of a completion or chat completion.
 * @param json The body, in the OpenAI-compatible shape.
 * @return The parsed body, or nothing when it is malformed.
 */
[[nodiscard]] std::optional<completion_body> ParseCompletionBody(
    std::string_view json);

/**
 * @brief Estimates the number of tokens of a text.
 * @param bytes The text's size.
 * @return A quarter of the bytes, rounded up.
 */
[[nodiscard]] constexpr std::uint64_t EstimateTokens(
    std::uint64_t bytes) noexcept {
  return (bytes + kBytesPerToken - 1) / kBytesPerToken;
}

/**
 * @brief Hashes the whole blocks of a prompt, each chained to the one before.
 * @param prompt The prompt.
 * @return One XXH3 hash a block of kTokensPerBlock tokens.
 */
[[nodiscard]] std::vector<std::uint64_t> HashPrefixBlocks(
    std::string_view prompt);

/**
 * @brief Identifies a request whose repetition may crash targets.
 * @param workspace The caller's workspace.
 * @param pool The model or service.
 * @param body The whole body.
 * @return An XXH3 hash over all three.
 */
[[nodiscard]] std::uint64_t Fingerprint(std::string_view workspace,
                                        std::string_view pool,
                                        std::string_view body);

}  // namespace acaciaferry
