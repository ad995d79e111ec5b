#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

#include "acaciaferry/attempts/attempt.hpp"
#include "acaciaferry/core/failure.hpp"
#include "acaciaferry/core/name.hpp"
#include "acaciaferry/core/request.hpp"
#include "acaciaferry/core/time.hpp"

namespace acaciaferry {

/** Number of requests that are kept. */
inline constexpr std::size_t kMaxHistoryEntries = 1'024;
/** Maximum attempts of one request with a record; further ones are only
 * counted. */
inline constexpr std::size_t kMaxAttemptRecords = 8;

/**
 * @brief Record of one attempt of a request.
 */
struct attempt_history {
  std::uint32_t number{};
  target_id target;
  /** Time to the first token, from the attempt's start; unknown for spans and
   * forwarded calls. */
  std::optional<duration> predicted_first_token;
  time_point started_at{};
  /** Number of reconnections that resumed a silent stream. */
  std::uint32_t resumes{};
  /** Set when the attempt ended before the request. */
  std::optional<time_point> ended_at;
  std::optional<retry_reason> ended_by;
};

/** How a request ended. */
struct answer_completed {};
struct abandoned_by_caller {};
using request_end =
    std::variant<answer_completed, abandoned_by_caller, failure>;

/**
 * @brief Times that were predicted for a request when it arrived.
 */
struct arrival_prediction {
  duration wait{};
  /** From the dispatch to the first token. */
  duration first_token{};
  duration run{};
  /** Whether the prediction is based on rates that targets reported. */
  bool uses_reported_rates{};
};

/**
 * @brief Record of the decisions about one request. It holds no text of the
 * caller: names of workspace, workload and pool are those of the configuration.
 */
struct request_history {
  request_id id;
  workspace_id workspace;
  request_kind kind{};
  std::uint64_t prompt_tokens{};
  time_point arrived_at{};
  /** Set once the request is known to match a workload. */
  workload_id workload;
  pool_id pool;
  /** Time from the arrival to the deadline. */
  duration time_limit{};
  std::optional<arrival_prediction> predicted;
  std::optional<time_point> admitted_at;
  std::vector<attempt_history> attempts;
  std::uint32_t attempts_made{};
  std::optional<time_point> first_part_at;
  std::optional<time_point> ended_at;
  std::optional<request_end> end;
};

/**
 * @brief Records of the most recent requests.
 */
struct history_state {
  /** Ring buffer; once it is full, the entry at `next` is the oldest. */
  std::vector<request_history> entries;
  std::size_t next{};
  std::unordered_map<request_id, std::size_t> index;
};

/** @return The record of a request, or null when it has none any more. */
[[nodiscard]] const request_history* FindHistory(const history_state& state,
                                                 const request_id& id);

/**
 * @brief Adds the record of a request and overwrites the oldest one when full.
 *
 * All other functions ignore requests without a record.
 */
void RecordArrival(history_state& state,
                   const request& request,
                   time_point now);

/** @brief Records the matched workload and the time limit of the request. */
void RecordWorkload(history_state& state,
                    const request& request,
                    const workload_id& workload,
                    duration time_limit);

/** @brief Records the times that were predicted at the arrival. */
void RecordPrediction(history_state& state,
                      const request_id& id,
                      const arrival_prediction& predicted);

/** @brief Records that the request was queued or started. */
void RecordAdmission(history_state& state,
                     const request_id& id,
                     time_point now);

/** @brief Records the start of an attempt. */
void RecordAttempt(history_state& state,
                   const attempt_id& id,
                   const target_id& target,
                   std::optional<duration> predicted_first_token,
                   time_point now);

/** @brief Records that the attempt's stream was resumed. */
void RecordResume(history_state& state, const attempt_id& id);

/** @brief Records why the request's last attempt ended. */
void RecordAttemptEnd(history_state& state,
                      const request_id& id,
                      retry_reason reason,
                      time_point now);

/** @brief Records when the first part of the answer went to the caller. */
void RecordFirstPart(history_state& state,
                     const request_id& id,
                     time_point now);

/** @brief Records how the request ended for its caller, unless an end is
 * already recorded. */
void RecordEnd(history_state& state,
               const request_id& id,
               const request_end& end,
               time_point now);

}  // namespace acaciaferry
