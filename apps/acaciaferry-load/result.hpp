#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

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

/**
 * @brief A connection to an entry VM that ended before the whole reply.
 */
struct broken_connection {
  std::size_t entry{};
  time_point sent_at;
  /** The name of the exception, or "ended early" for a stream. */
  std::string reason;
};

struct request_result {
  planned_request request;
  ending end{ending::kFailed};
  /** When sending began, with the prompt already prepared. */
  time_point sent_at;
  time_point ended_at{};
  bool late{};
  /** How many entry VMs were asked, one after the other. */
  std::size_t entries_asked{1};
  /** When the last of them was asked. */
  time_point last_sent_at{};
  /** Told not-run by every VM that was asked. */
  bool told_not_run{};
  std::optional<duration> first_token;
  /** Identifies a service call in the journals; empty for completions. */
  std::string call;
  /** The failure code of the last error reply, for the report. */
  std::string reason;
  std::vector<broken_connection> broken{};
};

}  // namespace acaciaferry::load
