#include "acaciaferry/attempts/answer_prefix.hpp"

#include <algorithm>

namespace acaciaferry {
namespace internal {

// Enough for more than 32,000 generated tokens. With 1,024 callers the prefixes
// take at most 256 MiB.
constexpr std::size_t kMaxPrefixBytes = 256 << 10;

}  // namespace internal

prefix_verdict answer_prefix::CheckAndAppend(std::string_view text,
                                             std::string& new_bytes) {
  if (overflowed_) {
    new_bytes.append(text);
    return prefix_verdict::kOk;
  }
  const std::size_t repeated = std::min(text.size(), prefix_.size() - matched_);
  if (std::string_view(prefix_).substr(matched_, repeated) !=
      text.substr(0, repeated)) {
    return prefix_verdict::kMismatch;
  }
  const std::string_view rest = text.substr(repeated);
  new_bytes.append(rest);
  if (prefix_.size() + rest.size() > internal::kMaxPrefixBytes) {
    overflowed_ = true;
    prefix_ = {};
    return prefix_verdict::kOk;
  }
  prefix_.append(rest);
  matched_ += text.size();
  return prefix_verdict::kOk;
}

}  // namespace acaciaferry
