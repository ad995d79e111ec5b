#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace acaciaferry::standin {

/** Size of each token of an answer. */
inline constexpr std::size_t kAnswerTokenBytes = 9;

/**
 * @brief Hashes a prompt as the engine stand-in does before it answers.
 * @param prompt The prompt's text.
 * @return An XXH3 hash.
 */
[[nodiscard]] std::uint64_t HashPrompt(std::string_view prompt);

/**
 * @brief Makes one token of an answer.
 * @param prompt_hash The prompt's hash.
 * @param index Position of the token, from zero.
 * @return Eight lower-case letters and a space.
 */
[[nodiscard]] std::string AnswerToken(std::uint64_t prompt_hash,
                                      std::uint64_t index);

/**
 * @brief Makes the whole answer to a prompt.
 * @param prompt The prompt's text.
 * @param tokens Number of tokens of the answer.
 * @return The answer that an engine stand-in gives.
 */
[[nodiscard]] std::string ExpectedAnswer(std::string_view prompt,
                                         std::uint64_t tokens);

/**
 * @brief Makes the answer of a plain service to a call.
 * @param method HTTP method.
 * @param path Path and query as the service receives them.
 * @param body The call's body.
 * @return A JSON object.
 */
[[nodiscard]] std::string ExpectedServiceAnswer(std::string_view method,
                                                std::string_view path,
                                                std::string_view body);

}  // namespace acaciaferry::standin
