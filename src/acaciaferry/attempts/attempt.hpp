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
 * @brief The progress of an attempt.
 */
enum class attempt_phase { kUnsent, kSent, kAccepted, kFinished, kRejected };

/**
 * @brief One attempt to run a request on a target.
 */
struct attempt {
  attempt_id id;
  target_id target;
  std::string address;
  attempt_phase phase{attempt_phase::kUnsent};
  /** When the attempt was started, sent, accepted or resumed, or when the last
   * chunk or heartbeat arrived. A pause of this process restarts the time. */
  time_point progress_at{};
  /** Number of the current connection: 0 for the one that carries the
   * request, higher for those that resume the stream. */
  std::uint32_t connection_number{};
  /** Resumptions of the stream since its last progress. */
  std::uint32_t resumes_without_progress{};
  /** Whether a crash of the target was already recorded as evidence against
   * this attempt's request. */
  bool crash_recorded{};
  /** Whether the target is the VM that minted the call's operation key. */
  bool forwarded{};
};

/**
 * @brief Why a request is retried or its stream is resumed.
 */
enum class retry_reason {
  kConnectFailed,
  kRejected,
  kConnectionLost,
  kStalled,
  kSpanMemberLost,
};

inline constexpr std::size_t kRetryReasonCount =
    static_cast<std::size_t>(retry_reason::kSpanMemberLost) + 1;

/** @return The name of the reason as metrics print it. */
[[nodiscard]] std::string_view ToString(retry_reason reason) noexcept;

/** Why an attempt ends without a complete answer. */
enum class attempt_end {
  /** The target refused the request before executing it. */
  kRejected,
  /** The connection could not be opened. */
  kConnectFailed,
  /** The connection broke, or the answer on it was unusable. */
  kConnectionLost,
  /** This VM abandoned the attempt: the deadline passed, the stream stalled or
   * the caller disconnected. */
  kAbandoned,
};

/**
 * @brief Tells the outcome of an attempt that did not finish.
 * @param value The attempt, in its last phase.
 * @param end Why it ended.
 * @return Not run if the request was certainly not sent or the target refused
 * it; otherwise unknown.
 */
[[nodiscard]] outcome UnfinishedOutcome(const attempt& value,
                                        attempt_end end) noexcept;

/**
 * @brief Tells whether a stream has exceeded the progress timeout.
 * @param value The attempt.
 * @param now The time.
 * @return True if neither a chunk nor a heartbeat arrived in time.
 */
[[nodiscard]] bool IsStalled(const attempt& value, time_point now) noexcept;

/**
 * @brief Tells whether a stalled stream is resumed on a new connection.
 * @param value The stalled attempt.
 * @return False if the last resumption made no progress either; the request
 * then fails over.
 */
[[nodiscard]] bool ShouldResume(const attempt& value) noexcept;

}  // namespace acaciaferry
