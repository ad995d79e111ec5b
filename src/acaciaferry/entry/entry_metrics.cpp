#include "acaciaferry/entry/entry_metrics.hpp"

#include <array>
#include <boost/histogram.hpp>
#include <string_view>

#include "acaciaferry/core/length_class.hpp"

namespace acaciaferry::entry {
namespace internal {

namespace bh = boost::histogram;

// One series for calls of plain services and one for each length class of
// prompts.
constexpr int kSeries = 1 + static_cast<int>(kLengthClassCount);
constexpr double kSmallestBoundS = 0.001;
constexpr double kLargestBoundS = 32;
constexpr unsigned kBuckets = 15;

using time_axis = bh::axis::regular<double, bh::axis::transform::log>;
using bucket_counts = decltype(bh::make_histogram(
    bh::axis::integer<>(0, kSeries),
    time_axis(kBuckets, kSmallestBoundS, kLargestBoundS)));

// Buckets of each series and the sum of its values.
class time_histogram {
 public:
  void Add(int series, duration value) {
    counts_(series, ToSeconds(value));
    sums_[static_cast<std::size_t>(series)] += ToSeconds(value);
  }

  [[nodiscard]] const bucket_counts& Counts() const { return counts_; }
  [[nodiscard]] double Sum(int series) const {
    return sums_[static_cast<std::size_t>(series)];
  }

 private:
  bucket_counts counts_{
      bh::make_histogram(bh::axis::integer<>(0, kSeries),
                         time_axis(kBuckets, kSmallestBoundS, kLargestBoundS))};
  std::array<double, kSeries> sums_{};
};

int SeriesIndex(const forwarding::call& call) {
  return call.prompt_tokens == 0
             ? 0
             : 1 + static_cast<int>(ClassifyLength(call.prompt_tokens));
}

std::string_view SeriesName(int series) {
  return series == 0 ? std::string_view("service_call")
                     : ToString(static_cast<length_class>(series - 1));
}

void AppendHistogram(std::string& text,
                     std::string_view name,
                     const time_histogram& histogram) {
  const bucket_counts& values = histogram.Counts();
  text += "# TYPE " + std::string(name) + " histogram\n";
  for (int series = 0; series < kSeries; ++series) {
    double total = 0;
    const std::string kind =
        "{kind=\"" + std::string(SeriesName(series)) + "\"";
    const std::string label = kind + ",le=\"";
    for (int bucket = -1; bucket < static_cast<int>(kBuckets); ++bucket) {
      total += values.at(series, bucket);
      const double upper =
          values.axis(1).value(static_cast<double>(bucket + 1));
      text += std::string(name) + "_bucket" + label + std::to_string(upper) +
              "\"} " + std::to_string(static_cast<std::uint64_t>(total)) + "\n";
    }
    total += values.at(series, static_cast<int>(kBuckets));
    const auto count = std::to_string(static_cast<std::uint64_t>(total));
    text += std::string(name) + "_bucket" + label + "+Inf\"} " + count + "\n";
    text += std::string(name) + "_sum" + kind + "} " +
            std::to_string(histogram.Sum(series)) + "\n";
    text += std::string(name) + "_count" + kind + "} " + count + "\n";
  }
}

void AppendValue(std::string& text,
                 std::string_view type,
                 std::string_view name,
                 const std::string& value) {
  text += "# TYPE " + std::string(name) + " " + std::string(type) + "\n" +
          std::string(name) + " " + value + "\n";
}

// Escapes a label's value as the text format requires.
std::string EscapeLabel(std::string_view value) {
  std::string escaped;
  for (const char character : value) {
    if (character == '\n') {
      escaped += "\\n";
      continue;
    }
    if (character == '"' || character == '\\') {
      escaped += '\\';
    }
    escaped += character;
  }
  return escaped;
}

// One series for each evacuated failure domain.
void AppendEvacuations(std::string& text,
                       const std::vector<evacuation_gauge>& evacuations) {
  std::string attempts;
  text += "# TYPE acaciaferry_domain_evacuated gauge\n";
  for (const evacuation_gauge& each : evacuations) {
    const std::string label =
        "{domain=\"" + EscapeLabel(each.domain.value) + "\"} ";
    text += "acaciaferry_domain_evacuated" + label + "1\n";
    attempts += "acaciaferry_evacuated_attempts" + label +
                std::to_string(each.attempts) + "\n";
  }
  text += "# TYPE acaciaferry_evacuated_attempts gauge\n" + attempts;
}

}  // namespace internal

class entry_metrics::histograms {
 public:
  internal::time_histogram queued;
  internal::time_histogram first_event;
  internal::time_histogram longest_gap;
  internal::time_histogram whole;
};

entry_metrics::entry_metrics() : histograms_(std::make_unique<histograms>()) {}
entry_metrics::~entry_metrics() = default;

void entry_metrics::CountRefusal(failure_code code) noexcept {
  ++refusals_[static_cast<std::size_t>(code)];
}

void entry_metrics::Observe(const forwarding::record_latency& observed) {
  const int series = internal::SeriesIndex(observed.request);
  histograms_->queued.Add(series, observed.queued);
  histograms_->first_event.Add(series, observed.first_event);
  histograms_->whole.Add(series, observed.total);
  if (observed.longest_gap > duration{}) {
    histograms_->longest_gap.Add(series, observed.longest_gap);
  }
}

std::string entry_metrics::ToPrometheusText(const decision_log& log,
                                            const entry_gauges& gauges) const {
  std::string text = "# TYPE acaciaferry_decisions_total counter\n";
  for (std::size_t index = 0; index < forwarding::kDecisionKindCount; ++index) {
    const auto kind = static_cast<forwarding::decision_kind>(index);
    text += "acaciaferry_decisions_total{kind=\"" +
            std::string(forwarding::ToString(kind)) + "\"} " +
            std::to_string(log.Count(kind)) + "\n";
  }
  text += "# TYPE acaciaferry_refusals_total counter\n";
  for (std::size_t index = 0; index < kFailureCodeCount; ++index) {
    if (refusals_[index] > 0) {
      text += "acaciaferry_refusals_total{code=\"" +
              std::string(Describe(static_cast<failure_code>(index)).code) +
              "\"} " + std::to_string(refusals_[index]) + "\n";
    }
  }
  text += "# TYPE acaciaferry_repeats_total counter\n";
  for (const auto& [reason, count] : repeats_) {
    text += "acaciaferry_repeats_total{reason=\"" + reason + "\"} " +
            std::to_string(count) + "\n";
  }
  text += "# TYPE acaciaferry_read_refusals_total counter\n";
  for (const auto& [status, count] : read_refusals_) {
    text += "acaciaferry_read_refusals_total{status=\"" +
            std::to_string(status) + "\"} " + std::to_string(count) + "\n";
  }
  text += "# TYPE acaciaferry_dropped_callers_total counter\n";
  for (std::size_t index = 0; index < net::kDropReasonCount; ++index) {
    text += "acaciaferry_dropped_callers_total{reason=\"" +
            std::string(ToString(static_cast<net::drop_reason>(index))) +
            "\"} " + std::to_string(drops_[index]) + "\n";
  }
  text += "# TYPE acaciaferry_held_request_bytes gauge\n";
  for (std::size_t index = 0; index < net::kRequestKindCount; ++index) {
    text += "acaciaferry_held_request_bytes{kind=\"" +
            std::string(ToString(static_cast<net::request_kind>(index))) +
            "\"} " + std::to_string(gauges.request_bytes[index]) + "\n";
  }
  text += "# TYPE acaciaferry_slot_refusals_total counter\n";
  for (std::size_t index = 0; index < forwarding::kSlotRefusalCount; ++index) {
    text += "acaciaferry_slot_refusals_total{reason=\"" +
            std::string(forwarding::ToString(
                static_cast<forwarding::slot_refusal>(index))) +
            "\"} " + std::to_string(gauges.slots.refusals[index]) + "\n";
  }
  const auto counter = [&](std::string_view name, std::uint64_t value) {
    internal::AppendValue(text, "counter", name, std::to_string(value));
  };
  const auto gauge = [&](std::string_view name, const std::string& value) {
    internal::AppendValue(text, "gauge", name, value);
  };
  counter("acaciaferry_unknown_senders_total", unknown_senders_);
  counter("acaciaferry_malformed_datagrams_total", malformed_datagrams_);
  counter("acaciaferry_document_faults_total", document_faults_);
  counter("acaciaferry_log_lines_left_out_total", log.SuppressedLines());
  counter("acaciaferry_log_lines_not_written_total", LinesNotWritten());
  counter("acaciaferry_service_calls_total", gauges.service_calls);
  gauge("acaciaferry_calls_in_flight", std::to_string(gauges.calls_in_flight));
  gauge("acaciaferry_jobs", std::to_string(gauges.jobs));
  gauge("acaciaferry_targets", std::to_string(gauges.targets));
  gauge("acaciaferry_limited_targets", std::to_string(gauges.limited_targets));
  gauge("acaciaferry_cold_targets", std::to_string(gauges.cold_targets));
  gauge("acaciaferry_leaving_targets", std::to_string(gauges.leaving_targets));
  gauge("acaciaferry_refusing_targets",
        std::to_string(gauges.refusing_targets));
  gauge("acaciaferry_targets_out_of_reach",
        gauges.targets_out_of_reach ? "1" : "0");
  gauge("acaciaferry_known_tunnels", std::to_string(gauges.known_tunnels));
  gauge("acaciaferry_tunnels", std::to_string(gauges.tunnels));
  gauge("acaciaferry_connections", std::to_string(gauges.connections));
  gauge("acaciaferry_held_answer_bytes", std::to_string(gauges.held_bytes));
  counter("acaciaferry_dropped_for_memory_total", gauges.dropped_for_memory);
  gauge("acaciaferry_request_bytes_limit",
        std::to_string(gauges.request_bytes_limit));
  gauge("acaciaferry_requests_waiting",
        std::to_string(gauges.requests_waiting));
  gauge("acaciaferry_descriptors", std::to_string(gauges.descriptors));
  gauge("acaciaferry_descriptor_limit",
        std::to_string(gauges.descriptor_limit));
  gauge("acaciaferry_vms", std::to_string(gauges.vms));
  gauge("acaciaferry_configuration_version",
        std::to_string(gauges.configuration_version));
  gauge("acaciaferry_view_age_seconds", std::to_string(gauges.view_age_s));
  gauge("acaciaferry_service_era", std::to_string(gauges.service_era));
  gauge("acaciaferry_configuration_age_seconds",
        std::to_string(gauges.configuration_age_s));
  gauge("acaciaferry_load_news_age_seconds",
        std::to_string(gauges.load_update_age_s));
  gauge("acaciaferry_oldest_hello_age_seconds",
        std::to_string(gauges.oldest_heartbeat_age_s));
  internal::AppendEvacuations(text, gauges.evacuations);
  gauge("acaciaferry_view_complete", gauges.view_complete ? "1" : "0");
  gauge("acaciaferry_missing_entries", std::to_string(gauges.missing_entries));
  counter("acaciaferry_slot_decisions_total", gauges.slots.scarce);
  counter("acaciaferry_slots_after_wait_total",
          gauges.slots.admitted_after_wait);
  counter("acaciaferry_slots_on_return_total", gauges.slots.admitted_on_return);
  gauge("acaciaferry_waiting_for_slots",
        std::to_string(gauges.waiting_for_slots));
  gauge("acaciaferry_remembered_callers",
        std::to_string(gauges.remembered_callers));
  internal::AppendHistogram(text, "acaciaferry_queued_seconds",
                            histograms_->queued);
  internal::AppendHistogram(text, "acaciaferry_first_event_seconds",
                            histograms_->first_event);
  internal::AppendHistogram(text, "acaciaferry_longest_gap_seconds",
                            histograms_->longest_gap);
  internal::AppendHistogram(text, "acaciaferry_whole_answer_seconds",
                            histograms_->whole);
  return text;
}

}  // namespace acaciaferry::entry
