#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "acaciaferry/experiment/scenario.hpp"

namespace acaciaferry {

/**
 * @brief The figures of one class of requests in one run.
 */
struct measurement_row {
  run_plan plan;
  /** A length class, or `service_call`, whose first token is the answer. */
  std::string_view length_class;
  std::uint64_t requests{};
  double ttft_p50_ms{};
  double ttft_p95_ms{};
  double ttft_p99_ms{};
  /** p95 of `up_to_4k` over its p95 in `short_only`; nothing when
   * `short_only` was not run at the same rate. */
  std::optional<double> short_slowdown_p95;
  /** Requests answered in time, a second: of those sent in the measured part
   * of the run or, in overload, of those whose answer ended in it. */
  double goodput{};
  /** Prompt tokens of requests answered in time, a second. */
  double goodput_tokens{};
  std::uint64_t answered{};
  std::uint64_t refused{};
  std::uint64_t failed{};
  /** Refused and failed requests by failure code. */
  std::map<std::string_view, std::uint64_t> reasons;
  /** Ended after the deadline, or never. */
  std::uint64_t late{};
  /** Calls that are not idempotent and ran more than once. */
  std::uint64_t duplicated{};
  /** Of the whole run. */
  std::uint64_t leaked_bytes{};
};

inline constexpr std::string_view kServiceCallClass = "service_call";

/**
 * @brief Simulates a run and measures it.
 *
 * Percentiles are exact, over requests sent after a tenth of the run, or after
 * its first half in overload. A request that was not answered counts with its
 * deadline as time to first token, so that no policy gains by refusing or
 * losing requests.
 *
 * @param plan The run.
 * @return One row for each class that has requests.
 */
[[nodiscard]] std::vector<measurement_row> Measure(const run_plan& plan);

/** @brief Fills in the slowdown of short requests. */
void AddSlowdowns(std::vector<measurement_row>& rows);

/**
 * @brief The value at a rank of a sample.
 * @param sorted The sample, ascending.
 * @param rank In [0, 1].
 * @return The smallest value that this share of the sample does not exceed,
 * or zero for an empty sample.
 */
[[nodiscard]] double Percentile(std::span<const double> sorted,
                                double quantile) noexcept;

/** @return The row as one JSON object on one line. */
[[nodiscard]] std::string ToJson(const measurement_row& row);

}  // namespace acaciaferry
