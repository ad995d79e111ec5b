#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "acaciaferry/core/failure.hpp"
#include "acaciaferry/core/name.hpp"
#include "acaciaferry/core/request_id.hpp"
#include "acaciaferry/core/time.hpp"

namespace acaciaferry {

/**
 * @brief How far an attempt has come.
 */
enum class attempt_phase { kUnsent, kSent, kAccepted, kFinished, kRejected };

/**
 * @brief One try to run a request on a target.
 */
struct attempt {
  attempt_id id;
  target_id target;
  std::string address;
  attempt_phase phase{attempt_phase::kUnsent};
  /** When the target last showed progress. */
  time_point progress_at{};
};

/**
 * @brief Why a request is tried again.
 */
enum class retry_reason {
  kConnectFailed,
  kRejected,
  kConnectionLost,
  kStalled,
  kTargetLeft,
};

inline constexpr std::size_t kRetryReasons =
    static_cast<std::size_t>(retry_reason::kTargetLeft) + 1;

/** @return The name of the reason as metrics print it. */
[[nodiscard]] std::string_view ToString(retry_reason reason) noexcept;

/**
 * @brief What may truthfully be said of an attempt that did not finish.
 * @param phase The attempt's last phase.
 * @return Not run when nothing was sent or the target refused; else unknown.
 */
[[nodiscard]] constexpr outcome UnfinishedOutcome(
    attempt_phase phase) noexcept {
  const bool not_run =
      phase == attempt_phase::kUnsent || phase == attempt_phase::kRejected;
  return not_run ? outcome::kNotRun : outcome::kUnknown;
}

}  // namespace acaciaferry
