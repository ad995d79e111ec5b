#include "acaciaferry/administration/token_check.hpp"

#include <algorithm>

#include "acaciaferry/core/token_digest.hpp"

namespace acaciaferry {
namespace internal {

constexpr std::string_view kScheme = "Bearer ";

}  // namespace internal

token_check::token_check(std::string_view text) {
  while (!text.empty()) {
    const std::size_t end = std::min(text.find('\n'), text.size());
    const std::string_view line = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    if (!line.empty() && line.front() != '#') {
      digests_.emplace_back(line);
    }
  }
}

bool token_check::Accepts(std::string_view header) const {
  if (!header.starts_with(internal::kScheme)) {
    return false;
  }
  const std::string digest =
      TokenDigest(header.substr(internal::kScheme.size()));
  bool accepted = false;
  for (const std::string& listed : digests_) {
    // Compares every digest, so that timing does not reveal which one matched.
    accepted = EqualInConstantTime(listed, digest) || accepted;
  }
  return accepted;
}

}  // namespace acaciaferry
