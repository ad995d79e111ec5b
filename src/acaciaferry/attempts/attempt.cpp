#include "acaciaferry/attempts/attempt.hpp"

namespace acaciaferry {
namespace internal {

// Engines send a chunk or a heartbeat every second; three missed ones exclude
// a single late packet.
constexpr duration kProgressBound = std::chrono::seconds(3);
// A second silent connection in a row shows that the target itself has
// stopped, not only the connection.
constexpr std::uint32_t kMaxSilentResumes = 1;

}  // namespace internal

outcome UnfinishedOutcome(const attempt& value, attempt_end end) noexcept {
  switch (end) {
    case attempt_end::kRejected:
      return outcome::kNotRun;
    case attempt_end::kConnectFailed:
      // Only the first connection carries the request. A failed resumption
      // says nothing about what that one sent.
      return value.phase == attempt_phase::kUnsent &&
                     value.connection_number == 0
                 ? outcome::kNotRun
                 : outcome::kUnknown;
    case attempt_end::kConnectionLost:
    case attempt_end::kAbandoned:
      // The event that the request was sent may still be queued behind the
      // timer, so an abandoned attempt that looks unsent may have been sent.
      return outcome::kUnknown;
  }
  return outcome::kUnknown;
}

bool IsSilent(const attempt& value, time_point now) noexcept {
  return now - value.progress_at >= internal::kProgressBound;
}

bool ShouldResume(const attempt& value) noexcept {
  return value.silent_resumes < internal::kMaxSilentResumes;
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
