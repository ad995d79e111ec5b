#include "acaciaferry/metrics/latency.hpp"

#include <algorithm>
#include <array>
#include <boost/histogram/axis/integer.hpp>
#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>
#include <mutex>
#include <nlohmann/json.hpp>
#include <vector>

namespace acaciaferry {
namespace internal {

namespace bh = boost::histogram;

// Upper bounds of the buckets in seconds. 0.54 is the design's bound on
// the time to first token; the largest prompts take minutes.
constexpr std::array kBucketBounds{0.025, 0.05, 0.1,  0.2,  0.35,  0.54, 0.75,
                                   1.0,   1.5,  2.5,  5.0,  10.0,  20.0, 40.0,
                                   80.0,  160., 320., 640., 1280.0};
constexpr std::size_t kBuckets = kBucketBounds.size() + 1;

// Completions have one row per length class; service calls have the last row.
constexpr std::size_t kServiceRow = kLengthClassCount;
constexpr std::size_t kRows = kLengthClassCount + 1;
constexpr std::size_t kWorkspaceClasses = 2;
constexpr std::size_t kSeries = kRows * kWorkspaceClasses;

std::size_t SeriesIndex(const latency_labels& labels) noexcept {
  const std::size_t row = labels.kind == request_kind::kServiceCall
                              ? kServiceRow
                              : static_cast<std::size_t>(labels.length);
  return row * kWorkspaceClasses + static_cast<std::size_t>(labels.workspace);
}

// A Prometheus bucket includes its upper bound, but a Boost.Histogram bin
// excludes its upper edge. Values are whole microseconds, so each edge is one
// above the bound.
std::vector<double> BinEdges() {
  std::vector<double> edges;
  edges.reserve(kBucketBounds.size());
  for (const double bound : kBucketBounds) {
    edges.push_back(static_cast<double>(FromSeconds(bound).count() + 1));
  }
  return edges;
}

// The underflow and overflow bins count values below the first and above the
// last edge.
auto MakeHistogram() {
  return bh::make_histogram_with(
      bh::dense_storage<std::uint64_t>(),
      bh::axis::integer<int, bh::use_default, bh::axis::option::none_t>(
          0, static_cast<int>(kSeries)),
      bh::axis::variable<>(BinEdges()));
}

std::string FormatLabels(std::size_t series) {
  const std::size_t row = series / kWorkspaceClasses;
  const bool is_service = row == kServiceRow;
  std::string text = is_service ? R"(kind="service_call")"
                                : R"(kind="completion",length_class=")";
  if (!is_service) {
    text.append(ToString(static_cast<length_class>(row))).append("\"");
  }
  const bool is_large = series % kWorkspaceClasses != 0;
  return text + R"(,workspace_class=")" + (is_large ? "large\"" : "small\"");
}

// Returns the shortest decimal form, independent of the locale.
std::string FormatNumber(double value) {
  return nlohmann::json(value).dump();
}

duration BucketBound(std::size_t bucket) noexcept {
  return bucket < kBucketBounds.size() ? FromSeconds(kBucketBounds.at(bucket))
                                       : duration::max();
}

using bucket_counts = std::array<std::uint64_t, kBuckets>;

duration Quantile(const bucket_counts& values,
                  std::uint64_t count,
                  double quantile) {
  const auto rank = static_cast<double>(count) * quantile;
  std::uint64_t cumulative = 0;
  for (std::size_t i = 0; i < values.size(); ++i) {
    cumulative += values.at(i);
    if (cumulative > 0 && static_cast<double>(cumulative) >= rank) {
      return BucketBound(i);
    }
  }
  return {};
}

}  // namespace internal

class latency_histogram::storage {
 public:
  void Observe(std::size_t series, duration value) {
    const std::lock_guard lock(mutex_);
    histogram_(static_cast<int>(series), static_cast<double>(value.count()));
    sums_.at(series) += value;
  }

  void AddTo(std::size_t series, internal::bucket_counts& totals) const {
    const std::lock_guard lock(mutex_);
    for (std::size_t i = 0; i < totals.size(); ++i) {
      // Bin -1 is the underflow bin.
      totals.at(i) +=
          histogram_.at(static_cast<int>(series), static_cast<int>(i) - 1);
    }
  }

  [[nodiscard]] duration Sum(std::size_t series) const {
    const std::lock_guard lock(mutex_);
    return sums_.at(series);
  }

 private:
  mutable std::mutex mutex_;
  decltype(internal::MakeHistogram()) histogram_{internal::MakeHistogram()};
  std::array<duration, internal::kSeries> sums_{};
};

latency_histogram::latency_histogram()
    : storage_(std::make_unique<storage>()) {}

latency_histogram::~latency_histogram() = default;

void latency_histogram::Observe(const latency_labels& labels, duration value) {
  storage_->Observe(internal::SeriesIndex(labels),
                    std::max(value, duration::zero()));
}

latency_summary latency_histogram::Summarize(length_class length) const {
  internal::bucket_counts all{};
  for (const auto each : {workspace_class::kSmall, workspace_class::kLarge}) {
    storage_->AddTo(
        internal::SeriesIndex({request_kind::kCompletion, length, each}), all);
  }
  latency_summary summary;
  for (const std::uint64_t each : all) {
    summary.count += each;
  }
  constexpr double kP50 = 0.5;
  constexpr double kP95 = 0.95;
  summary.p50 = internal::Quantile(all, summary.count, kP50);
  summary.p95 = internal::Quantile(all, summary.count, kP95);
  return summary;
}

void latency_histogram::AppendPrometheusText(std::string& text,
                                             std::string_view name,
                                             std::string_view help) const {
  text.append("# HELP ").append(name).append(" ").append(help);
  text.append("\n# TYPE ").append(name).append(" histogram\n");
  for (std::size_t series = 0; series < internal::kSeries; ++series) {
    internal::bucket_counts each{};
    storage_->AddTo(series, each);
    const std::string labels = internal::FormatLabels(series);
    const auto line = [&](std::string_view suffix, const std::string& with,
                          const std::string& value) {
      text.append(name).append(suffix).append("{").append(with);
      text.append("} ").append(value).append("\n");
    };
    std::uint64_t count = 0;
    for (std::size_t i = 0; i < each.size(); ++i) {
      count += each.at(i);
      const std::string bound =
          i < internal::kBucketBounds.size()
              ? internal::FormatNumber(internal::kBucketBounds.at(i))
              : "+Inf";
      line("_bucket", labels + ",le=\"" + bound + "\"", std::to_string(count));
    }
    line("_sum", labels,
         internal::FormatNumber(ToSeconds(storage_->Sum(series))));
    line("_count", labels, std::to_string(count));
  }
}

}  // namespace acaciaferry
