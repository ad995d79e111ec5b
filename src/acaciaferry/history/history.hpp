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

inline constexpr std::size_t kMaxHistory = 1'024;
/** Further attempts of one request are counted but not described. */
inline constexpr std::size_t kMaxDescribedAttempts = 8;

/**
 * @brief One attempt of a request.
 */
struct attempt_history {
  std::uint32_t number{};
  target_id target;
  /** From the attempt's start; unknown for spans and forwarded calls. */
  std::optional<duration> predicted_first_token;
  time_point started_at{};
  /** Connections that asked for the stream again after a silence. */
  std::uint32_t resumes{};
  /** Set when it ended before the request did. */
  std::optional<time_point> ended_at;
  std::optional<retry_reason> ended_by;
};

/** How a request ended. */
struct answer_completed {};
struct abandoned_by_caller {};
using request_end =
    std::variant<answer_completed, abandoned_by_caller, failure>;

/**
 * @brief What was predicted for a request when it arrived.
 */
struct arrival_prediction {
  duration wait{};
  /** From the dispatch. */
  duration first_token{};
  duration run{};
  /** Whether targets had reported the rates that it rests on. */
  bool uses_reported_rates{};
};

/**
 * @brief What was decided about one request. It has no text that came from
 * the caller: workspace, workload and pool are named by the configuration.
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
 * @brief The last requests in the order of their arrival.
 */
struct history_state {
  /** A ring: once full, the entry at `next` is the oldest. */
  std::vector<request_history> entries;
  std::size_t next{};
  std::unordered_map<request_id, std::size_t> index;
};

/** @return What is known of a request, or null when it was overwritten. */
[[nodiscard]] const request_history* FindHistory(const history_state& state,
                                                 const request_id& id);

/**
 * @brief Begins the history of a request. The oldest one is overwritten.
 *
 * All other functions do nothing for a request whose history is not there.
 */
void RecordArrival(history_state& state,
                   const request& request,
                   time_point now);

/** @brief Notes the workload and the time that it gives the request. */
void RecordWorkload(history_state& state,
                    const request& request,
                    const workload_id& workload,
                    duration time_limit);

/** @brief Notes what admission predicted. */
void RecordPrediction(history_state& state,
                      const request_id& id,
                      const arrival_prediction& predicted);

/** @brief Notes that the request was queued or started. */
void RecordAdmission(history_state& state,
                     const request_id& id,
                     time_point now);

/** @brief Notes the start of an attempt. */
void RecordAttempt(history_state& state,
                   const attempt_id& id,
                   const target_id& target,
                   std::optional<duration> predicted_first_token,
                   time_point now);

/** @brief Notes that the attempt's stream was asked for again. */
void RecordResume(history_state& state, const attempt_id& id);

/** @brief Notes why the request's last attempt ended. */
void RecordAttemptEnd(history_state& state,
                      const request_id& id,
                      retry_reason reason,
                      time_point now);

/** @brief Notes the first part of the answer that went to the caller. */
void RecordFirstPart(history_state& state,
                     const request_id& id,
                     time_point now);

/** @brief Notes how the request ended for its caller; the first end counts. */
void RecordEnd(history_state& state,
               const request_id& id,
               const request_end& end,
               time_point now);

}  // namespace acaciaferry
