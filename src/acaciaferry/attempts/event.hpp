#pragma once

#include <cstdint>
#include <string>

#include "acaciaferry/core/failure.hpp"
#include "acaciaferry/core/request_id.hpp"

namespace acaciaferry {

/** The request's bytes have begun to leave this VM. */
struct attempt_sent {
  attempt_id attempt;
};

/** The target answered with a success status; execution has begun. */
struct attempt_accepted {
  attempt_id attempt;
  int http_status{};
  std::string content_type;
  /** What the minting VM reported of a forwarded call; unknown otherwise. */
  outcome reported{outcome::kUnknown};
};

/** The target refused before execution and said so. */
struct attempt_rejected {
  attempt_id attempt;
};

/** A heartbeat or other sign of life arrived on the stream. */
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

enum class transport_error {
  kConnectFailed,
  kConnectionLost,
  kMalformedAnswer,
  kUnknownStream,
  kServerError,
};

/** The attempt's connection failed. */
struct attempt_failed {
  attempt_id attempt;
  transport_error error{};
  /** Which connection of the attempt failed: 0 is the one that carried the
   * request, higher ones resumed it. */
  std::uint32_t connection_number{};
};

}  // namespace acaciaferry
