#pragma once

#include <absl/status/status.h>

#include <cstddef>
#include <optional>
#include <span>
#include <string_view>

#include "acaciaferry/core/time.hpp"

namespace acaciaferry {

/**
 * @brief Whether a request was executed, as reported to its caller.
 */
enum class outcome { kRan, kNotRun, kUnknown };

/**
 * @brief Reasons for which a request is refused or fails.
 */
enum class failure_code {
  kMalformedRequest,
  kRequestTooLarge,
  kRequestTooSlow,
  kUnauthenticated,
  kUnknownModel,
  kUnknownService,
  kPromptTooLong,
  kDeadlineTooShort,
  kQueueFull,
  kShed,
  kWorkspaceLimit,
  kNoLiveTarget,
  kTargetLimit,
  kSpanUnavailable,
  kDraining,
  kNoConfiguration,
  kQuarantined,
  kOperationKeyRequired,
  kOperationKeyInvalid,
  kOperationKeyExpired,
  kOperationInProgress,
  kOperationOwnerLost,
  kOperationKeyReused,
  kOperationKeysUnavailable,
  kOperationsFull,
  kOperationAnswerDropped,
  kRetryBudgetExhausted,
  kTargetRejected,
  kTargetLost,
  kAnswerCorrupt,
  kDeadlineExceeded,
  kCallerGone,
  kPoolEvacuated,
};

inline constexpr std::size_t kFailureCodeCount =
    static_cast<std::size_t>(failure_code::kPoolEvacuated) + 1;

/**
 * @brief Fixed properties of a failure code.
 */
struct failure_description {
  std::string_view code;
  int http_status{};
  absl::StatusCode status{};
  bool retryable{};
  std::string_view message;
};

/**
 * @brief A refusal or failure of one request.
 */
struct failure {
  failure_code code{};
  outcome result{outcome::kNotRun};
  std::optional<duration> retry_after;

  [[nodiscard]] bool operator==(const failure&) const = default;
};

/**
 * @brief Describes a failure code.
 * @param code The code.
 * @return Its name, HTTP status, canonical status and message.
 */
[[nodiscard]] const failure_description& Describe(failure_code code) noexcept;

/**
 * @brief Formats an outcome as the Acaciaferry-Outcome header carries it.
 * @param value The outcome.
 * @return `ran`, `not-run` or `unknown`.
 */
[[nodiscard]] std::string_view ToString(outcome value) noexcept;

/**
 * @brief Converts a failure to an absl::Status.
 * @param value The failure.
 * @return A status with the failure's code and message.
 */
[[nodiscard]] absl::Status ToStatus(const failure& value);

/**
 * @brief Makes a status from a standard string view.
 *
 * Debian's build of Abseil has an absl::string_view that does not convert from
 * std::string_view.
 *
 * @param code The canonical code.
 * @param message Text of any length.
 * @return The status.
 */
[[nodiscard]] absl::Status MakeStatus(absl::StatusCode code,
                                      std::string_view message);

}  // namespace acaciaferry
