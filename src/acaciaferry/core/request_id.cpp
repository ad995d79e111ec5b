#include "acaciaferry/core/request_id.hpp"

#include <array>
#include <charconv>

namespace acaciaferry {
namespace internal {

void AppendHex(std::string& text, std::uint64_t value) {
  std::array<char, 16> digits{};
  const auto end =
      std::to_chars(digits.data(), digits.data() + digits.size(), value, 16);
  text.append(digits.data(), end.ptr);
}

std::optional<std::uint64_t> ParseHex(std::string_view text) {
  std::uint64_t value{};
  const char* const last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), last, value, 16);
  if (error != std::errc{} || end != last) {
    return std::nullopt;
  }
  return value;
}

}  // namespace internal

std::string ToString(const request_id& id) {
  std::string text;
  internal::AppendHex(text, id.incarnation);
  text.push_back('-');
  internal::AppendHex(text, id.sequence);
  return text;
}

std::string ToString(const attempt_id& id) {
  return ToString(id.request) + "." + std::to_string(id.number);
}

std::optional<request_id> ParseRequestId(std::string_view text) {
  const std::size_t dash = text.find('-');
  if (dash == std::string_view::npos) {
    return std::nullopt;
  }
  const auto incarnation = internal::ParseHex(text.substr(0, dash));
  const auto sequence = internal::ParseHex(text.substr(dash + 1));
  if (!incarnation || !sequence) {
    return std::nullopt;
  }
  return request_id{*incarnation, *sequence};
}

}  // namespace acaciaferry
