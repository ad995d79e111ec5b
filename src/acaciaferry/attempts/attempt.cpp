#include "acaciaferry/attempts/attempt.hpp"

namespace acaciaferry {

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
    case retry_reason::kTargetLeft:
      return "target_left";
  }
  return "unknown";
}

}  // namespace acaciaferry
