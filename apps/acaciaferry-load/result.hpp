#pragma once

#include <optional>
#include <string>

#include "acaciaferry/core/time.hpp"
#include "plan.hpp"

namespace acaciaferry::load {

/**
 * @brief How a request ended for its caller. Each request has exactly one
 * ending; lateness is recorded apart.
 */
enum class ending {
  /** The whole and right answer. */
  kAnswered,
  /** Told that it was not run. */
  kRefused,
  /** An error, a lost connection, or an answer that ends visibly too early. */
  kFailed,
  /** An answer that looks whole but is wrong or cut. */
  kCorrupt
};

struct request_result {
  planned_request request;
  ending end{ending::kFailed};
  /** When sending began, with the prompt already prepared. */
  time_point sent_at;
  bool late{};
  /** Told not-run by every VM that was asked. */
  bool told_not_run{};
  std::optional<duration> first_token;
  /** Identifies a service call in the journals; empty for completions. */
  std::string call;
  /** The failure code of the last error reply, for the report. */
  std::string reason;
};

}  // namespace acaciaferry::load
