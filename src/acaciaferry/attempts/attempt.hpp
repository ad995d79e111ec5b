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
  /** Connections opened to resume the stream; zero for the first one. */
  std::uint32_t connection_number{};
  /** Connections opened to resume the stream since its last progress. */
  std::uint32_t silent_resumes{};
  /** Whether a crash of the target was already counted for this attempt. */
  bool crash_counted{};
  /** Whether the target is the VM that minted the call's operation key. */
  bool forwarded{};
};

/**
 * @brief Why a request is tried again.
 */
enum class retry_reason {
  kConnectFailed,
  kRejected,
  kConnectionLost,
  kStalled,
  kSpanMemberLost,
};

inline constexpr std::size_t kRetryReasons =
    static_cast<std::size_t>(retry_reason::kSpanMemberLost) + 1;

/** @return The name of the reason as metrics print it. */
[[nodiscard]] std::string_view ToString(retry_reason reason) noexcept;

/** Why an attempt ends without a whole answer. */
enum class attempt_end {
  /** The target refused before execution. */
  kRejected,
  /** The connection could not be opened. */
  kConnectFailed,
  /** The connection broke, or the answer on it was unusable. */
  kConnectionLost,
  /** This VM gave the attempt up: a deadline, a stall, a caller gone. */
  kAbandoned,
};

/**
 * @brief What may truthfully be said of an attempt that did not finish.
 * @param value The attempt, in its last phase.
 * @param end Why it ended.
 * @return Not run when it is certain that nothing was sent or that the target
 * refused; else unknown.
 */
[[nodiscard]] outcome UnfinishedOutcome(const attempt& value,
                                        attempt_end end) noexcept;

/**
 * @brief Tells whether a stream has been silent beyond the progress bound.
 * @param value The attempt.
 * @param now The time.
 * @return True when neither a chunk nor a heartbeat came in time.
 */
[[nodiscard]] bool IsSilent(const attempt& value, time_point now) noexcept;

/**
 * @brief Tells whether a silent stream is asked for again on a new connection.
 * @param value The silent attempt.
 * @return False when the connection before it was already a resumption without
 * any progress; the request then fails over.
 */
[[nodiscard]] bool ShouldResume(const attempt& value) noexcept;

}  // namespace acaciaferry
