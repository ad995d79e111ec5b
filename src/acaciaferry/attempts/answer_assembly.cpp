#include "acaciaferry/attempts/answer_assembly.hpp"

#include <algorithm>

namespace acaciaferry {
namespace internal {

// A target that sends more than this beyond a gap is faulty or malicious.
constexpr std::uint64_t kMaxPendingBytes = 1 << 20;

}  // namespace internal

assembly_verdict answer_assembly::Add(std::uint64_t offset,
                                      std::string_view text,
                                      std::string& ready) {
  if (offset > delivered_) {
    if (pending_bytes_ + text.size() > internal::kMaxPendingBytes) {
      return assembly_verdict::kTooMuchPending;
    }
    std::string& pending = pending_[offset];
    if (text.size() > pending.size()) {
      pending_bytes_ += text.size() - pending.size();
      pending = text;
    }
    return assembly_verdict::kOk;
  }
  const auto append = [&](std::uint64_t at, std::string_view chunk) {
    const std::uint64_t seen =
        std::min<std::uint64_t>(delivered_ - at, chunk.size());
    ready.append(chunk.substr(seen));
    delivered_ += chunk.size() - seen;
  };
  append(offset, text);
  while (!pending_.empty() && pending_.begin()->first <= delivered_) {
    const auto first = pending_.begin();
    append(first->first, first->second);
    pending_bytes_ -= first->second.size();
    pending_.erase(first);
  }
  const bool too_long = length_ && delivered_ > *length_;
  return too_long ? assembly_verdict::kInconsistentEnd : assembly_verdict::kOk;
}

assembly_verdict answer_assembly::SetLength(std::uint64_t length) noexcept {
  const bool contradicts =
      (length_ && *length_ != length) || length < delivered_;
  if (contradicts) {
    return assembly_verdict::kInconsistentEnd;
  }
  length_ = length;
  return assembly_verdict::kOk;
}

}  // namespace acaciaferry
