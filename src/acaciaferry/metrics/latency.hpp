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

/** Workspaces by their weight; their names would make too many series. */
enum class workspace_class { kSmall, kLarge };

/** @return Large for a weight above 1, the weight of a small workspace. */
[[nodiscard]] constexpr workspace_class ClassifyWeight(double weight) noexcept {
  return weight > 1 ? workspace_class::kLarge : workspace_class::kSmall;
}

/**
 * @brief What a latency is reported by. Service calls have no prompt, so their
 * length class is not looked at.
 */
struct latency_labels {
  request_kind kind{request_kind::kCompletion};
  length_class length{length_class::kUpTo4k};
  workspace_class workspace{workspace_class::kSmall};
};

/**
 * @brief The distribution of some latencies.
 */
struct latency_summary {
  std::uint64_t count{};
  /** Upper bounds of the buckets that hold these quantiles; the longest
   * duration above the last bound, and zero when nothing was observed. */
  duration p50{};
  duration p95{};
};

/**
 * @brief A histogram of one latency for each set of labels. Thread-safe.
 */
class latency_histogram {
 public:
  latency_histogram();
  ~latency_histogram();

  latency_histogram(const latency_histogram&) = delete;
  latency_histogram& operator=(const latency_histogram&) = delete;

  /**
   * @brief Counts one latency.
   * @param labels The series.
   * @param value The latency; a negative one counts as zero.
   */
  void Observe(const latency_labels& labels, duration value);

  /** @return The completions of a length class, over all workspaces. */
  [[nodiscard]] latency_summary Summarize(length_class length) const;

  /**
   * @brief Appends all series in the Prometheus text format, in seconds.
   * @param text Receives the lines.
   * @param name The metric's name.
   * @param help One sentence.
   */
  void AppendPrometheusText(std::string& text,
                            std::string_view name,
                            std::string_view help) const;

 private:
  // Keeps Boost.Histogram's headers out of this one.
  class counts;
  std::unique_ptr<counts> counts_;
};

}  // namespace acaciaferry
