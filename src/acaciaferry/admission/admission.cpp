#include "acaciaferry/admission/admission.hpp"

#include <algorithm>

namespace acaciaferry {
namespace internal {

// The request's deadline is earlier than the caller's timeout by a margin, so
// that the answer arrives before that timeout. The margin is the time limit
// divided by kDeadlineMarginDivisor, within these bounds.
constexpr duration kMaxDeadlineMargin = std::chrono::milliseconds(200);
constexpr int kDeadlineMarginDivisor = 20;
// A retry close to the caller's deadline has little time left; a twentieth of
// it does not cover the network delay of the answer.
constexpr duration kMinDeadlineMargin = std::chrono::milliseconds(10);

// Bounds of the Retry-After time.
constexpr duration kMinRetryAfter = std::chrono::milliseconds(500);
constexpr duration kMaxRetryAfter = std::chrono::seconds(60);
// Predictions of the wait get less accurate as the queue grows, so the wait is
// multiplied by this factor; admitted requests then meet their deadlines.
constexpr double kQueueWaitFactor = 1.25;

failure_code NoWorkloadCode(const deployment& config,
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
  return limit - std::clamp(limit / kDeadlineMarginDivisor, kMinDeadlineMargin,
                            kMaxDeadlineMargin);
}

}  // namespace internal

std::variant<admitted_request, failure> Admit(const deployment& config,
                                              const request& request,
                                              time_point now) {
  const workload* const work = FindWorkload(config, request);
  if (work == nullptr) {
    return NotRunFailure(internal::NoWorkloadCode(config, request));
  }
  const duration limit = internal::TimeLimit(*work, request);
  if (limit <= duration::zero()) {
    return NotRunFailure(failure_code::kDeadlineTooShort,
                         internal::kMinRetryAfter);
  }
  return admitted_request{*work, now + limit};
}

std::optional<failure> CheckPrediction(const workload& work,
                                       duration remaining,
                                       const admission_prediction& prediction) {
  const auto retry_after = [](duration wait) {
    return std::clamp(wait, internal::kMinRetryAfter, internal::kMaxRetryAfter);
  };
  if (remaining <= duration::zero()) {
    return NotRunFailure(failure_code::kDeadlineTooShort,
                         internal::kMinRetryAfter);
  }
  if (prediction.waiting >= work.queue_limit) {
    return NotRunFailure(failure_code::kQueueFull,
                         retry_after(prediction.wait));
  }
  if (!prediction.uses_reported_rates) {
    return std::nullopt;
  }
  const duration finish =
      FromSeconds(ToSeconds(prediction.wait) * internal::kQueueWaitFactor) +
      std::max(prediction.first_token, prediction.run_time);
  if (finish > remaining) {
    return NotRunFailure(failure_code::kDeadlineTooShort,
                         retry_after(finish - remaining));
  }
  return std::nullopt;
}

failure NotRunFailure(failure_code code,
                      std::optional<duration> retry_after) noexcept {
  return {code, outcome::kNotRun, retry_after};
}

}  // namespace acaciaferry
