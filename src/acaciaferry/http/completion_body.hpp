#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace acaciaferry {

/**
 * @brief The fields of a completion's JSON body that are read before it is
 * passed on unchanged.
 */
struct completion_body {
  std::string model;
  /** The prompt, or the contents of the chat messages, each with a newline. */
  std::string prompt;
  std::uint64_t max_tokens{};
  bool stream{};
};

/** Tokens of a prompt block, the unit that prefix caches identify by hash. */
inline constexpr std::uint64_t kTokensPerBlock = 2'048;
/** Bytes of text that are counted as one token. */
inline constexpr std::uint64_t kBytesPerToken = 4;

/**
 * @brief Parses the body of a completion or chat completion.
 * @param json The body, in the OpenAI-compatible format.
 * @return The parsed body, or nothing when it is malformed.
 */
[[nodiscard]] std::optional<completion_body> ParseCompletionBody(
    std::string_view json);

/**
 * @brief Estimates the number of tokens of a text.
 * @param bytes The text's size.
 * @return The size divided by kBytesPerToken, rounded up.
 */
[[nodiscard]] constexpr std::uint64_t EstimateTokens(
    std::uint64_t bytes) noexcept {
  return (bytes + kBytesPerToken - 1) / kBytesPerToken;
}

/**
 * @brief Hashes the complete blocks of a prompt. Each hash is seeded with the
 * one before it, so that it identifies the whole prefix.
 * @param prompt The prompt.
 * @return One XXH3 hash for each block of kTokensPerBlock tokens.
 */
[[nodiscard]] std::vector<std::uint64_t> HashPrefixBlocks(
    std::string_view prompt);

/**
 * @brief Hashes a request, so that quarantine recognizes repetitions of one
 * that crashes targets.
 * @param workspace The caller's workspace.
 * @param pool The model or service.
 * @param body The whole body.
 * @return An XXH3 hash over all three.
 */
[[nodiscard]] std::uint64_t Fingerprint(std::string_view workspace,
                                        std::string_view pool,
                                        std::string_view body);

}  // namespace acaciaferry
