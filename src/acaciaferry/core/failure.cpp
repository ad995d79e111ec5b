#include "acaciaferry/core/failure.hpp"

#include <array>

namespace acaciaferry {
namespace internal {

using absl::StatusCode;

constexpr std::array<failure_description, kFailureCodeCount> kDescriptions{{
    {"malformed_request", 400, StatusCode::kInvalidArgument, false,
     "The request is not well formed."},
    {"request_too_large", 413, StatusCode::kInvalidArgument, false,
     "The request body is larger than the limit."},
    {"request_too_slow", 408, StatusCode::kDeadlineExceeded, true,
     "The request body did not arrive in time."},
    {"unauthenticated", 401, StatusCode::kUnauthenticated, false,
     "The bearer token names no workspace."},
    {"unknown_model", 404, StatusCode::kNotFound, false,
     "No target serves this model."},
    {"unknown_service", 404, StatusCode::kNotFound, false,
     "No target serves this service."},
    {"prompt_too_long", 413, StatusCode::kInvalidArgument, false,
     "The prompt has more tokens than any workload allows."},
    {"deadline_too_short", 503, StatusCode::kDeadlineExceeded, true,
     "The request cannot be predicted to finish before its deadline."},
    {"queue_full", 503, StatusCode::kResourceExhausted, true,
     "The queue of this class of requests is full."},
    {"shed", 503, StatusCode::kResourceExhausted, true,
     "The request was dropped from the queue in favour of others."},
    {"workspace_limit", 429, StatusCode::kResourceExhausted, true,
     "The workspace has used up its limit."},
    {"no_live_target", 503, StatusCode::kUnavailable, true,
     "No target of the pool is live."},
    {"target_limit", 503, StatusCode::kResourceExhausted, true,
     "The targets of the pool take no more requests for now."},
    {"span_unavailable", 503, StatusCode::kUnavailable, true,
     "The engines that the prompt needs could not be reserved in time."},
    {"draining", 503, StatusCode::kUnavailable, true,
     "This VM is shutting down."},
    {"no_configuration", 503, StatusCode::kUnavailable, true,
     "This VM has no accepted configuration yet."},
    {"quarantined", 422, StatusCode::kFailedPrecondition, true,
     "Targets failed while they ran this request; it is refused for a time."},
    {"operation_key_required", 428, StatusCode::kFailedPrecondition, true,
     "This call needs an operation key minted by the service."},
    {"operation_key_invalid", 400, StatusCode::kInvalidArgument, false,
     "The operation key is not genuine."},
    {"operation_key_expired", 410, StatusCode::kFailedPrecondition, false,
     "The operation key has expired."},
    {"operation_in_progress", 409, StatusCode::kAborted, true,
     "A call with this operation key is still running."},
    {"operation_owner_lost", 409, StatusCode::kAborted, false,
     "The VM that minted the operation key is gone or out of reach."},
    {"operation_key_reused", 422, StatusCode::kInvalidArgument, false,
     "The operation key was already used for a different call."},
    {"operation_keys_unavailable", 503, StatusCode::kUnavailable, false,
     "This VM has no deployment key to mint operation keys with."},
    {"operations_full", 503, StatusCode::kResourceExhausted, true,
     "This VM keeps as many unexpired operations as it can."},
    {"operation_answer_dropped", 410, StatusCode::kDataLoss, false,
     "The call has run, but its answer is no longer kept."},
    {"retry_budget_exhausted", 503, StatusCode::kUnavailable, true,
     "The attempt failed and the pool's retry budget is used up."},
    {"target_rejected", 503, StatusCode::kUnavailable, true,
     "The target refused the request before it ran."},
    {"target_lost", 502, StatusCode::kUnavailable, true,
     "The target failed while the request was running."},
    {"answer_corrupt", 502, StatusCode::kDataLoss, true,
     "The target's answer was incomplete or inconsistent."},
    {"deadline_exceeded", 504, StatusCode::kDeadlineExceeded, true,
     "The request did not finish before its deadline."},
    {"caller_gone", 499, StatusCode::kCancelled, false,
     "The caller closed its connection."},
    {"pool_evacuated", 503, StatusCode::kUnavailable, true,
     "All targets of the pool are in failure domains that are evacuated."},
}};

}  // namespace internal

const failure_description& Describe(failure_code code) noexcept {
  return internal::kDescriptions[static_cast<std::size_t>(code)];
}

std::string_view ToString(outcome value) noexcept {
  switch (value) {
    case outcome::kRan:
      return "ran";
    case outcome::kNotRun:
      return "not-run";
    case outcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

absl::Status ToStatus(const failure& value) {
  const failure_description& description = Describe(value.code);
  return MakeStatus(description.status, description.message);
}

absl::Status MakeStatus(absl::StatusCode code, std::string_view message) {
  return {code, absl::string_view(message.data(), message.size())};
}

}  // namespace acaciaferry
