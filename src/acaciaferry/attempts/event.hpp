#pragma once

#include <cstdint>
#include <string>

#include "acaciaferry/core/failure.hpp"
#include "acaciaferry/core/request_id.hpp"

namespace acaciaferry {

/** Sending of the request has started. */
struct attempt_sent {
  attempt_id attempt;
};

/** The target answered with a success status; execution has begun. */
struct attempt_accepted {
  attempt_id attempt;
  int http_status{};
  std::string content_type;
  /** For a forwarded call, the outcome that the minting VM reported; unknown
   * otherwise. */
  outcome reported{outcome::kUnknown};
};

/** The target reported that it refused the request before executing it. */
struct attempt_rejected {
  attempt_id attempt;
};

/** A heartbeat or other data without answer text arrived on the stream. */
struct attempt_progressed {
  attempt_id attempt;
};

/** A part of the answer arrived. */
struct answer_chunk {
  attempt_id attempt;
  std::uint64_t offset{};
  std::string text;
};

/** The answer's end marker arrived. */
struct answer_ended {
  attempt_id attempt;
  /** Length of the whole answer in bytes. */
  std::uint64_t length{};
  std::string finish_reason;
};

/** How an attempt's connection failed. */
enum class transport_error {
  kConnectFailed,
  kConnectionLost,
  kMalformedAnswer,
  /** The target refused to resume the stream, for example because it has lost
   * it. */
  kUnknownStream,
  kServerError,
};

/** The attempt's connection failed. */
struct attempt_failed {
  attempt_id attempt;
  transport_error error{};
  /** Number of the connection that failed: 0 for the one that carried the
   * request, higher for those that resumed the stream. */
  std::uint32_t connection_number{};
};

}  // namespace acaciaferry
