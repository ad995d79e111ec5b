#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "acaciaferry/attempts/attempt.hpp"
#include "acaciaferry/configuration/effect.hpp"
#include "acaciaferry/core/failure.hpp"
#include "acaciaferry/core/request.hpp"
#include "acaciaferry/membership/effect.hpp"
#include "acaciaferry/orders/order.hpp"
#include "acaciaferry/prefix_cache/event.hpp"
#include "acaciaferry/reclamation/holding.hpp"
#include "acaciaferry/spans/reservation.hpp"
#include "acaciaferry/targets/state.hpp"

namespace acaciaferry {

/** Send a request to a target. */
struct start_attempt {
  attempt_id attempt;
  target_id target;
  std::string address;
  request_kind kind{};
  std::uint64_t prompt_tokens{};
  /** Time left until the request's deadline. */
  duration remaining{};
  std::uint32_t priority{};
  /** Reservation ids of a span, head engine first; empty for one engine. */
  std::vector<std::string> reservations;
  /** Whether the target is the callers' listener of another VM. */
  bool forward{};
};

/** Resume a stream from an offset over a new connection. */
struct resume_attempt {
  attempt_id attempt;
  std::string address;
  std::uint64_t offset{};
  /** Number of the new connection, from 1; reported with its failures. */
  std::uint32_t connection_number{};
};

/** Stop an attempt and release what it holds on the target. */
struct cancel_attempt {
  attempt_id attempt;
  std::string address;
  request_kind kind{};
};

/** Tell the caller the status and type of the answer. */
struct deliver_head {
  request_id request;
  int http_status{};
  std::string content_type;
  /** For a forwarded call, the outcome that the minting VM reported. */
  outcome result{outcome::kRan};
};

/** Send a part of the answer to the caller. */
struct deliver_chunk {
  request_id request;
  std::string text;
};

/** The answer is complete. */
struct finish_request {
  request_id request;
  std::string finish_reason;
};

/** The request was refused or failed. */
struct fail_request {
  request_id request;
  failure reason;
  /** A new key if the call needs one; otherwise empty. */
  std::string operation_key;
};

/** All in-flight work has ended after a drain; the process may exit. */
struct drain_completed {};

/** Increment the counter of refused and failed requests. */
struct count_refusal {
  failure_code code{};
};
/** Increment the counter of retries and resumptions. */
struct count_retry {
  retry_reason reason{};
};
/** Increment the counter of load reports. */
struct count_load_report {
  report_verdict verdict{};
};
/** Increment the counter of answered orders. */
struct count_order {
  order_verdict verdict{};
};

/** Increment the counter of polled cache events. */
struct count_cache_events {
  cache_verdict verdict{};
};

/** Count a backward step of the clock; the reducer continued with its latest
 * time. */
struct count_clock_step {};

using effect = std::variant<start_attempt,
                            resume_attempt,
                            cancel_attempt,
                            deliver_head,
                            deliver_chunk,
                            finish_request,
                            fail_request,
                            drain_completed,
                            count_refusal,
                            count_retry,
                            count_load_report,
                            count_order,
                            reserve_memory,
                            renew_reservation,
                            release_reservation,
                            list_holdings,
                            release_holding,
                            issue_order,
                            send_to_peers,
                            count_peer_message,
                            check_configuration,
                            apply_configuration,
                            record_configuration_verdict,
                            count_cache_events,
                            count_clock_step>;

using effects = std::vector<effect>;

}  // namespace acaciaferry
