#include "acaciaferry/admission/admission.hpp"

#include <algorithm>

namespace acaciaferry {
namespace internal {

// The caller must have its answer before its own timer fires, so the request
// ends this much earlier.
constexpr duration kLargestMargin = std::chrono::milliseconds(200);
constexpr int kMarginDivisor = 20;

failure Refuse(failure_code code) noexcept {
  return {code, outcome::kNotRun, std::nullopt};
}

failure_code UnmatchedCode(const deployment& config,
                           const request& request) noexcept {
  const bool is_call = request.kind == request_kind::kServiceCall;
  const pool* const known = FindPool(config, request.pool);
  if (known == nullptr || known->kind != request.kind || is_call) {
    return is_call ? failure_code::kUnknownService
                   : failure_code::kUnknownModel;
  }
  return failure_code::kPromptTooLong;
}

duration TimeLimit(const workload& work, const request& request) noexcept {
  const duration limit =
      std::min(work.deadline, request.timeout.value_or(work.deadline));
  return limit - std::min(kLargestMargin, limit / kMarginDivisor);
}

}  // namespace internal

std::variant<admitted, failure> Admit(const deployment& config,
                                      const request& request,
                                      time_point now) {
  const workload* const work = FindWorkload(config, request);
  if (work == nullptr) {
    return internal::Refuse(internal::UnmatchedCode(config, request));
  }
  return admitted{*work, now + internal::TimeLimit(*work, request)};
}

}  // namespace acaciaferry
