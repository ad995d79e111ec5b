#include "acaciaferry/http/completion_body.hpp"

#include <xxhash.h>

#include <nlohmann/json.hpp>

namespace acaciaferry {
namespace internal {

using nlohmann::json;

constexpr std::uint64_t kDefaultMaxTokens = 256;

bool AppendMessages(const json& messages, std::string& prompt) {
  for (const json& message : messages) {
    const bool valid = message.is_object() && message.contains("content") &&
                       message["content"].is_string();
    if (!valid) {
      return false;
    }
    prompt += message["content"].get_ref<const std::string&>();
    prompt += '\n';
  }
  return !messages.empty();
}

bool ReadPrompt(json& body, std::string& prompt) {
  if (body.contains("messages")) {
    return body["messages"].is_array() &&
           AppendMessages(body["messages"], prompt);
  }
  if (!body.contains("prompt") || !body["prompt"].is_string()) {
    return false;
  }
  prompt = std::move(body["prompt"].get_ref<std::string&>());
  return true;
}

bool ReadOptions(const json& body, completion_body& result) {
  const json max_tokens = body.value("max_tokens", json(kDefaultMaxTokens));
  const json stream = body.value("stream", json(false));
  if (!max_tokens.is_number_unsigned() || !stream.is_boolean()) {
    return false;
  }
  result.max_tokens = max_tokens.get<std::uint64_t>();
  result.stream = stream.get<bool>();
  return true;
}

}  // namespace internal

std::optional<completion_body> ParseCompletionBody(std::string_view json) {
  auto body = internal::json::parse(json, nullptr, false);
  const bool valid =
      body.is_object() && body.contains("model") && body["model"].is_string();
  if (!valid) {
    return std::nullopt;
  }
  completion_body result;
  result.model = body["model"].get<std::string>();
  if (!internal::ReadPrompt(body, result.prompt) ||
      !internal::ReadOptions(body, result)) {
    return std::nullopt;
  }
  return result;
}

std::vector<std::uint64_t> HashPrefixBlocks(std::string_view prompt) {
  constexpr std::size_t kBlockBytes = kTokensPerBlock * kBytesPerToken;
  std::vector<std::uint64_t> blocks;
  blocks.reserve(prompt.size() / kBlockBytes);
  std::uint64_t previous = 0;
  while (prompt.size() >= kBlockBytes) {
    previous = XXH3_64bits_withSeed(prompt.data(), kBlockBytes, previous);
    blocks.push_back(previous);
    prompt.remove_prefix(kBlockBytes);
  }
  return blocks;
}

std::uint64_t Fingerprint(std::string_view workspace,
                          std::string_view pool,
                          std::string_view body) {
  const auto hash = [](std::string_view text, std::uint64_t seed) {
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
  };
  return hash(body, hash(pool, hash(workspace, 0)));
}

}  // namespace acaciaferry
