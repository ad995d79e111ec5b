#include "acaciaferry/attempts/answer_prefix.hpp"

#include <algorithm>

namespace acaciaferry {
namespace internal {

// Longer than 32,000 generated tokens. With 1,024 callers the prefixes take
// at most 256 MiB.
constexpr std::size_t kMaxKeptBytes = 256 << 10;

}  // namespace internal

prefix_verdict answer_prefix::Take(std::string_view text, std::string& fresh) {
  if (overflowed_) {
    fresh.append(text);
    return prefix_verdict::kOk;
  }
  const std::size_t repeated = std::min(text.size(), kept_.size() - compared_);
  if (std::string_view(kept_).substr(compared_, repeated) !=
      text.substr(0, repeated)) {
    return prefix_verdict::kDiffers;
  }
  const std::string_view rest = text.substr(repeated);
  fresh.append(rest);
  if (kept_.size() + rest.size() > internal::kMaxKeptBytes) {
    overflowed_ = true;
    kept_ = {};
    return prefix_verdict::kOk;
  }
  kept_.append(rest);
  compared_ += text.size();
  return prefix_verdict::kOk;
}

}  // namespace acaciaferry
