#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "acaciaferry/core/length_class.hpp"
#include "acaciaferry/core/request.hpp"
#include "acaciaferry/core/time.hpp"

namespace acaciaferry {

/** Class of a workspace's weight. Used as a metric label, because workspace
 * names would make too many series. */
enum class workspace_class { kSmall, kLarge };

/** @return Large for a weight above 1, which is the weight of a small
 * workspace. */
[[nodiscard]] constexpr workspace_class ClassifyWeight(double weight) noexcept {
  return weight > 1 ? workspace_class::kLarge : workspace_class::kSmall;
}

/**
 * @brief Labels that select the series of a latency. Service calls have no
 * prompt, so their length class is ignored.
 */
struct latency_labels {
  request_kind kind{request_kind::kCompletion};
  length_class length{length_class::kUpTo4k};
  workspace_class workspace{workspace_class::kSmall};
};

/**
 * @brief Count and quantiles of observed latencies.
 */
struct latency_summary {
  std::uint64_t count{};
  /** Upper bounds of the buckets that contain these quantiles; duration::max()
   * above the last bound, and zero when nothing was observed. */
  duration p50{};
  duration p95{};
};

/**
 * @brief Histograms of one kind of latency, one per set of labels. Thread-safe.
 */
class latency_histogram {
 public:
  latency_histogram();
  ~latency_histogram();

  latency_histogram(const latency_histogram&) = delete;
  latency_histogram& operator=(const latency_histogram&) = delete;

  /**
   * @brief Records one latency.
   * @param labels Selects the series.
   * @param value The latency; a negative value is recorded as zero.
   */
  void Observe(const latency_labels& labels, duration value);

  /** @return Summary of the completions of a length class, over all workspaces.
   */
  [[nodiscard]] latency_summary Summarize(length_class length) const;

  /**
   * @brief Appends all series in the Prometheus text format, in seconds.
   * @param text Receives the lines.
   * @param name The metric's name.
   * @param help The metric's help text, one sentence.
   */
  void AppendPrometheusText(std::string& text,
                            std::string_view name,
                            std::string_view help) const;

 private:
  // Defined in the .cpp file, which keeps Boost.Histogram out of this header.
  class storage;
  std::unique_ptr<storage> storage_;
};

}  // namespace acaciaferry
