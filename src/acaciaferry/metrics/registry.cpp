#include "acaciaferry/metrics/registry.hpp"

#include <string_view>

namespace acaciaferry {
namespace internal {

void AppendCounterHeader(std::string& text,
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

constexpr std::array<std::string_view, 5> kReportVerdictNames{
    "accepted", "unknown_target", "superseded_incarnation", "old_sequence",
    "implausible"};

constexpr std::array<std::string_view, kPeerVerdictCount> kPeerVerdictNames{
    "accepted",
    "oversized",
    "malformed",
    "unknown_format",
    "forged",
    "replayed",
    "superseded_incarnation",
    "own_name",
    "too_many_peers",
    "unknown_kind",
    "unknown_fields"};

constexpr std::array<std::string_view, kConfigurationVerdictCount>
    kConfigurationVerdictNames{"accepted", "not_newer", "invalid", "too_large",
                               "digest_mismatch"};

void AppendCounter(std::string& text,
                   std::string_view name,
                   std::string_view help,
                   std::uint64_t value) {
  AppendCounterHeader(text, name, help);
  AppendValue(text, name, "", "", value);
}
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

void metrics_registry::Count(order_verdict verdict) noexcept {
  ++orders_[static_cast<std::size_t>(verdict)];
}

void metrics_registry::Count(release_reason reason) noexcept {
  ++releases_[static_cast<std::size_t>(reason)];
}

void metrics_registry::Count(cache_verdict verdict) noexcept {
  ++cache_events_[static_cast<std::size_t>(verdict)];
}

std::uint64_t metrics_registry::FailureCount(failure_code code) const noexcept {
  return refusals_[static_cast<std::size_t>(code)];
}

void metrics_registry::Count(peer_verdict verdict) noexcept {
  ++peer_messages_[static_cast<std::size_t>(verdict)];
}

void metrics_registry::Count(configuration_verdict verdict) noexcept {
  ++configuration_documents_[static_cast<std::size_t>(verdict)];
}

void metrics_registry::AppendPeers(std::string& text) const {
  internal::AppendCounterHeader(text, "acaciaferry_peer_messages_total",
                                "Messages from peers, by what became of them.");
  for (std::size_t i = 0; i < peer_messages_.size(); ++i) {
    internal::AppendValue(text, "acaciaferry_peer_messages_total", "verdict",
                          internal::kPeerVerdictNames[i], peer_messages_[i]);
  }
  const transport_totals* const totals = transport_totals_;
  if (totals == nullptr) {
    return;
  }
  using internal::AppendCounter;
  AppendCounter(text, "acaciaferry_peer_sent_messages_total",
                "Messages sent to peers.", totals->sent_messages);
  AppendCounter(text, "acaciaferry_peer_sent_bytes_total",
                "Bytes sent to peers.", totals->sent_bytes);
  AppendCounter(text, "acaciaferry_peer_dropped_messages_total",
                "Messages not sent to unreachable or slow peers.",
                totals->dropped_messages);
  AppendCounter(text, "acaciaferry_peer_received_messages_total",
                "Messages received from peers.", totals->received_messages);
  AppendCounter(text, "acaciaferry_peer_received_bytes_total",
                "Bytes received from peers.", totals->received_bytes);
}

void metrics_registry::AppendConfiguration(std::string& text) const {
  internal::AppendCounterHeader(
      text, "acaciaferry_configuration_documents_total",
      "Configuration documents, by what became of them.");
  for (std::size_t i = 0; i < configuration_documents_.size(); ++i) {
    internal::AppendValue(text, "acaciaferry_configuration_documents_total",
                          "verdict", internal::kConfigurationVerdictNames[i],
                          configuration_documents_[i]);
  }
  internal::AppendCounter(text, "acaciaferry_configuration_reads_total",
                          "Reads of the configuration service.",
                          configuration_reads_);
  internal::AppendCounter(text, "acaciaferry_vm_list_bytes_total",
                          "Bytes of the platform's VM list that were read.",
                          vm_list_bytes_);
  text.append(
      "# HELP acaciaferry_configuration_revision Revision in force.\n"
      "# TYPE acaciaferry_configuration_revision gauge\n");
  internal::AppendValue(text, "acaciaferry_configuration_revision", "", "",
                        configuration_revision_);
}

std::string metrics_registry::ToPrometheusText() const {
  using internal::AppendCounterHeader;
  using internal::AppendValue;
  std::string text;
  AppendCounterHeader(text, "acaciaferry_requests_total", "Requests received.");
  AppendValue(text, "acaciaferry_requests_total", "", "", requests_);
  AppendCounterHeader(text, "acaciaferry_answers_total",
                      "Requests answered whole.");
  AppendValue(text, "acaciaferry_answers_total", "", "", answers_);
  AppendCounterHeader(text, "acaciaferry_clock_steps_total",
                      "Events with a time before that of an earlier event.");
  AppendValue(text, "acaciaferry_clock_steps_total", "", "", clock_steps_);
  AppendCounterHeader(text, "acaciaferry_refusals_total",
                      "Requests refused or failed, by reason.");
  for (std::size_t i = 0; i < refusals_.size(); ++i) {
    AppendValue(text, "acaciaferry_refusals_total", "code",
                Describe(static_cast<failure_code>(i)).code, refusals_[i]);
  }
  AppendCounterHeader(text, "acaciaferry_retries_total",
                      "Further attempts, by the reason of the one before.");
  for (std::size_t i = 0; i < retries_.size(); ++i) {
    AppendValue(text, "acaciaferry_retries_total", "reason",
                ToString(static_cast<retry_reason>(i)), retries_[i]);
  }
  AppendCounterHeader(text, "acaciaferry_load_reports_total",
                      "Load reports of targets, by what became of them.");
  for (std::size_t i = 0; i < reports_.size(); ++i) {
    AppendValue(text, "acaciaferry_load_reports_total", "verdict",
                internal::kReportVerdictNames[i], reports_[i]);
  }
  AppendCounterHeader(text, "acaciaferry_orders_total",
                      "Orders to targets, by their answer.");
  for (std::size_t i = 0; i < orders_.size(); ++i) {
    AppendValue(text, "acaciaferry_orders_total", "verdict",
                ToString(static_cast<order_verdict>(i)), orders_[i]);
  }
  AppendCounterHeader(text, "acaciaferry_releases_total",
                      "Holdings released on engines, by reason.");
  for (std::size_t i = 0; i < releases_.size(); ++i) {
    AppendValue(text, "acaciaferry_releases_total", "reason",
                ToString(static_cast<release_reason>(i)), releases_[i]);
  }
  AppendPeers(text);
  AppendConfiguration(text);
  time_to_first_token_.AppendPrometheusText(
      text, "acaciaferry_time_to_first_token_seconds",
      "From a request's receipt to the first part of its answer.");
  time_to_last_byte_.AppendPrometheusText(
      text, "acaciaferry_time_to_last_byte_seconds",
      "From a request's receipt to the end of its whole answer.");
  AppendCounterHeader(
      text, "acaciaferry_cache_event_polls_total",
      "Answers to polls of cache events, by what became of them.");
  for (std::size_t i = 0; i < cache_events_.size(); ++i) {
    AppendValue(text, "acaciaferry_cache_event_polls_total", "verdict",
                internal::kCacheVerdictNames[i], cache_events_[i]);
  }
  return text;
}

}  // namespace acaciaferry
