#include "acaciaferry/metrics/registry.hpp"

#include <string_view>

namespace acaciaferry {
namespace internal {

void AppendHelp(std::string& text,
                std::string_view name,
                std::string_view help) {
  text.append("# HELP ").append(name).append(" ").append(help);
  text.append("\n# TYPE ").append(name).append(" counter\n");
}

void AppendValue(std::string& text,
                 std::string_view name,
                 std::string_view label,
                 std::string_view label_value,
                 std::uint64_t value) {
  text.append(name);
  if (!label.empty()) {
    text.append("{").append(label).append("=\"");
    text.append(label_value).append("\"}");
  }
  text.append(" ").append(std::to_string(value)).append("\n");
}

constexpr std::array<std::string_view, 5> kVerdictNames{
    "accepted", "unknown_target", "superseded_incarnation", "old_sequence",
    "implausible"};

constexpr std::array<std::string_view, 5> kCacheVerdictNames{
    "accepted", "gap", "unknown_target", "superseded_incarnation",
    "old_sequence"};

}  // namespace internal

void metrics_registry::Count(failure_code code) noexcept {
  ++refusals_[static_cast<std::size_t>(code)];
}

void metrics_registry::Count(retry_reason reason) noexcept {
  ++retries_[static_cast<std::size_t>(reason)];
}

void metrics_registry::Count(report_verdict verdict) noexcept {
  ++reports_[static_cast<std::size_t>(verdict)];
}

void metrics_registry::Count(cache_verdict verdict) noexcept {
  ++cache_events_[static_cast<std::size_t>(verdict)];
}

std::uint64_t metrics_registry::Value(failure_code code) const noexcept {
  return refusals_[static_cast<std::size_t>(code)];
}

std::string metrics_registry::ToPrometheusText() const {
  using internal::AppendHelp;
  using internal::AppendValue;
  std::string text;
  AppendHelp(text, "acaciaferry_requests_total", "Requests received.");
  AppendValue(text, "acaciaferry_requests_total", "", "", requests_);
  AppendHelp(text, "acaciaferry_answers_total", "Requests answered whole.");
  AppendValue(text, "acaciaferry_answers_total", "", "", answers_);
  AppendHelp(text, "acaciaferry_clock_steps_total",
             "Events with a time before that of an earlier event.");
  AppendValue(text, "acaciaferry_clock_steps_total", "", "", clock_steps_);
  AppendHelp(text, "acaciaferry_refusals_total",
             "Requests refused or failed, by reason.");
  for (std::size_t i = 0; i < refusals_.size(); ++i) {
    AppendValue(text, "acaciaferry_refusals_total", "code",
                Describe(static_cast<failure_code>(i)).code, refusals_[i]);
  }
  AppendHelp(text, "acaciaferry_retries_total",
             "Further attempts, by the reason of the one before.");
  for (std::size_t i = 0; i < retries_.size(); ++i) {
    AppendValue(text, "acaciaferry_retries_total", "reason",
                ToString(static_cast<retry_reason>(i)), retries_[i]);
  }
  AppendHelp(text, "acaciaferry_load_reports_total",
             "Load reports of targets, by what became of them.");
  for (std::size_t i = 0; i < reports_.size(); ++i) {
    AppendValue(text, "acaciaferry_load_reports_total", "verdict",
                internal::kVerdictNames[i], reports_[i]);
  }
  AppendHelp(text, "acaciaferry_cache_event_polls_total",
             "Answers to polls of cache events, by what became of them.");
  for (std::size_t i = 0; i < cache_events_.size(); ++i) {
    AppendValue(text, "acaciaferry_cache_event_polls_total", "verdict",
                internal::kCacheVerdictNames[i], cache_events_[i]);
  }
  return text;
}

}  // namespace acaciaferry
