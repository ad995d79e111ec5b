#include "acaciaferry/operations/operation_key.hpp"

#include <Poco/Crypto/DigestEngine.h>
#include <Poco/HMACEngine.h>

#include <array>
#include <charconv>
#include <vector>

#include "acaciaferry/core/token_digest.hpp"

namespace acaciaferry {
namespace internal {

constexpr std::string_view kPrefix = "op1.";
constexpr std::size_t kNumberFields = 3;

// SHA-256 with the interface that Poco::HMACEngine requires.
class sha256_engine final : public Poco::Crypto::DigestEngine {
 public:
  // Poco::HMACEngine uses these names.
  // NOLINTNEXTLINE(readability-identifier-naming)
  enum { BLOCK_SIZE = 64, DIGEST_SIZE = 32 };

  sha256_engine() : DigestEngine("SHA256") {}
};

std::string ComputeHmac(std::string_view text, std::string_view secret) {
  Poco::HMACEngine<sha256_engine> hmac{std::string(secret)};
  hmac.update(text.data(), text.size());
  return Poco::DigestEngine::digestToHex(hmac.digest());
}

void AppendNumber(std::string& text, std::uint64_t value) {
  std::array<char, 16> digits{};
  const auto end =
      std::to_chars(digits.data(), digits.data() + digits.size(), value, 16);
  text.append(digits.data(), end.ptr);
  text.push_back('.');
}

// Removes and returns the text up to the next dot.
std::optional<std::string_view> TakeField(std::string_view& rest) {
  const std::size_t dot = rest.find('.');
  if (dot == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view field = rest.substr(0, dot);
  rest.remove_prefix(dot + 1);
  return field;
}

std::optional<std::uint64_t> TakeNumber(std::string_view& rest) {
  const auto field = TakeField(rest);
  if (!field) {
    return std::nullopt;
  }
  std::uint64_t value{};
  const char* const last = field->data() + field->size();
  const auto [end, error] = std::from_chars(field->data(), last, value, 16);
  const bool valid = error == std::errc{} && end == last;
  return valid ? std::optional(value) : std::nullopt;
}

std::string FormatWithoutMac(const operation_key& key) {
  std::string text(kPrefix);
  AppendNumber(text, key.sequence);
  AppendNumber(
      text, static_cast<std::uint64_t>(key.expires.time_since_epoch().count()));
  AppendNumber(text, key.incarnation);
  return text;
}

std::string KeyMac(const operation_key& key, std::string_view secret) {
  return ComputeHmac(FormatWithoutMac(key) + key.vm.value, secret);
}

}  // namespace internal

std::string FormatKey(const operation_key& key, std::string_view secret) {
  return internal::FormatWithoutMac(key) + internal::KeyMac(key, secret) + "." +
         key.vm.value;
}

presented_key ParseKey(std::string_view text, std::string_view secret) {
  if (!text.starts_with(internal::kPrefix)) {
    return {};
  }
  const auto forged = [] { return presented_key{key_verdict::kForged, {}}; };
  std::string_view rest = text.substr(internal::kPrefix.size());
  std::array<std::uint64_t, internal::kNumberFields> numbers{};
  for (std::uint64_t& number : numbers) {
    const auto value = internal::TakeNumber(rest);
    if (!value) {
      return forged();
    }
    number = *value;
  }
  const auto mac = internal::TakeField(rest);
  if (!mac || secret.empty()) {
    return forged();
  }
  const operation_key key{
      .vm = {std::string(rest)},
      .incarnation = numbers[2],
      .sequence = numbers[0],
      .expires = time_point(duration(static_cast<duration::rep>(numbers[1])))};
  const bool genuine = EqualInConstantTime(*mac, internal::KeyMac(key, secret));
  return genuine ? presented_key{key_verdict::kGenuine, key} : forged();
}

}  // namespace acaciaferry
