#include "acaciaferry/standin/answer.hpp"

#include <xxhash.h>

#include <nlohmann/json.hpp>

namespace acaciaferry::standin {
namespace internal {

constexpr std::size_t kTokenLetters = kAnswerTokenBytes - 1;
constexpr std::uint64_t kAlphabet = 26;

}  // namespace internal

std::uint64_t HashPrompt(std::string_view prompt) {
  return XXH3_64bits(prompt.data(), prompt.size());
}

std::string AnswerToken(std::uint64_t prompt_hash, std::uint64_t index) {
  std::uint64_t rest = XXH3_64bits_withSeed(&index, sizeof index, prompt_hash);
  std::string token(internal::kTokenLetters + 1, ' ');
  for (std::size_t i = 0; i < internal::kTokenLetters; ++i) {
    token[i] = static_cast<char>('a' + (rest % internal::kAlphabet));
    rest /= internal::kAlphabet;
  }
  return token;
}

std::string ExpectedAnswer(std::string_view prompt, std::uint64_t tokens) {
  const std::uint64_t hash = HashPrompt(prompt);
  std::string answer;
  for (std::uint64_t i = 0; i < tokens; ++i) {
    answer += AnswerToken(hash, i);
  }
  return answer;
}

std::string ExpectedServiceAnswer(std::string_view method,
                                  std::string_view path,
                                  std::string_view body) {
  std::string call(method);
  call += ' ';
  call += path;
  call += '\n';
  call += body;
  return nlohmann::json{{"path", path}, {"digest", HashPrompt(call)}}.dump();
}

}  // namespace acaciaferry::standin
