#include "acaciaferry/attempts/attempt.hpp"

namespace acaciaferry {
namespace internal {

// Engines send a chunk or a heartbeat every second. Three missed ones rule out
// a single late packet.
constexpr duration kProgressTimeout = std::chrono::seconds(3);
// If a resumed connection makes no progress either, the target itself has
// stopped and not only the connection.
constexpr std::uint32_t kMaxResumesWithoutProgress = 1;

}  // namespace internal

outcome UnfinishedOutcome(const attempt& value, attempt_end end) noexcept {
  switch (end) {
    case attempt_end::kRejected:
      return outcome::kNotRun;
    case attempt_end::kConnectFailed:
      // Only the first connection carries the request, so a failed resumption
      // does not tell whether the request was sent.
      return value.phase == attempt_phase::kUnsent &&
                     value.connection_number == 0
                 ? outcome::kNotRun
                 : outcome::kUnknown;
    case attempt_end::kConnectionLost:
    case attempt_end::kAbandoned:
      // The `attempt_sent` event may still be queued behind the timer event, so
      // an abandoned attempt in phase `kUnsent` may have been sent.
      return outcome::kUnknown;
  }
  return outcome::kUnknown;
}

bool IsStalled(const attempt& value, time_point now) noexcept {
  return now - value.progress_at >= internal::kProgressTimeout;
}

bool ShouldResume(const attempt& value) noexcept {
  return value.resumes_without_progress < internal::kMaxResumesWithoutProgress;
}

std::string_view ToString(retry_reason reason) noexcept {
  switch (reason) {
    case retry_reason::kConnectFailed:
      return "connect_failed";
    case retry_reason::kRejected:
      return "rejected";
    case retry_reason::kConnectionLost:
      return "connection_lost";
    case retry_reason::kStalled:
      return "stalled";
    case retry_reason::kSpanMemberLost:
      return "span_member_lost";
  }
  return "unknown";
}

}  // namespace acaciaferry
