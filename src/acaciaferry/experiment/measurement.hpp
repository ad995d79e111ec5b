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
 * @brief The results of one class of requests in one run.
 */
struct measurement_row {
  run_plan plan;
  /** A length class, or `service_call`; the first token of a service call is
   * its whole answer. */
  std::string_view length_class;
  std::uint64_t requests{};
  double ttft_p50_ms{};
  double ttft_p95_ms{};
  double ttft_p99_ms{};
  /** p95 of `up_to_4k` divided by its p95 in `short_only`; empty when
   * `short_only` was not run at the same load. */
  std::optional<double> short_slowdown_p95;
  /** Requests per second answered before their deadline. Counts requests sent
   * in the measured part of the run or, in overload, answered in it. */
  double goodput{};
  /** Prompt tokens per second of the requests that count for goodput. */
  double goodput_tokens{};
  std::uint64_t answered{};
  std::uint64_t refused{};
  std::uint64_t failed{};
  /** Refused and failed requests by failure code. */
  std::map<std::string_view, std::uint64_t> reasons;
  /** Requests that ended after their deadline or not at all. */
  std::uint64_t late{};
  /** Calls that ran more than once although they are not idempotent. */
  std::uint64_t duplicated{};
  /** KV memory leaked in the whole run, by all classes. */
  std::uint64_t leaked_bytes{};
};

inline constexpr std::string_view kServiceCallClass = "service_call";

/**
 * @brief Simulates a run and measures it.
 *
 * Percentiles are exact. They cover the requests sent after the first tenth of
 * the run or, in overload, after its first half. A request that was not
 * answered counts with its deadline as time to first token, so that no policy
 * gains by refusing or losing requests.
 *
 * @param plan The run.
 * @return One row for each class that has requests.
 */
[[nodiscard]] std::vector<measurement_row> Measure(const run_plan& plan);

/** @brief Sets `short_slowdown_p95` of the rows of short requests. */
void AddSlowdowns(std::vector<measurement_row>& rows);

/**
 * @brief Computes a percentile by the nearest-rank method.
 * @param sorted The sample in ascending order.
 * @param quantile In [0, 1].
 * @return The smallest value that at least this share of the sample does not
 * exceed, or zero for an empty sample.
 */
[[nodiscard]] double Percentile(std::span<const double> sorted,
                                double quantile) noexcept;

/** @return The row as one JSON object on one line. */
[[nodiscard]] std::string ToJson(const measurement_row& row);

}  // namespace acaciaferry
