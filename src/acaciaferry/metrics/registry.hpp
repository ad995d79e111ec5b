#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <string>

#include "acaciaferry/attempts/attempt.hpp"
#include "acaciaferry/configuration/effect.hpp"
#include "acaciaferry/core/failure.hpp"
#include "acaciaferry/membership/message.hpp"
#include "acaciaferry/metrics/latency.hpp"
#include "acaciaferry/metrics/transport_totals.hpp"
#include "acaciaferry/orders/order.hpp"
#include "acaciaferry/prefix_cache/event.hpp"
#include "acaciaferry/reclamation/reclamation.hpp"
#include "acaciaferry/targets/state.hpp"

namespace acaciaferry {

/**
 * @brief The counters and latency histograms of the process. Thread-safe.
 */
class metrics_registry {
 public:
  void CountRequest() noexcept { ++requests_; }
  void CountAnswer() noexcept { ++answers_; }
  void CountClockStep() noexcept { ++clock_steps_; }
  void Count(failure_code code) noexcept;
  void Count(retry_reason reason) noexcept;
  void Count(report_verdict verdict) noexcept;
  void Count(order_verdict verdict) noexcept;
  void Count(release_reason reason) noexcept;
  void Count(cache_verdict verdict) noexcept;

  /** @return How many requests were refused or failed for this reason. */
  [[nodiscard]] std::uint64_t FailureCount(failure_code code) const noexcept;
  void Count(peer_verdict verdict) noexcept;
  void Count(configuration_verdict verdict) noexcept;
  void CountConfigurationRead() noexcept { ++configuration_reads_; }
  void CountVmListBytes(std::uint64_t bytes) noexcept {
    vm_list_bytes_ += bytes;
  }
  void SetConfigurationRevision(std::uint64_t revision) noexcept {
    configuration_revision_ = revision;
  }

  /** Time from the receipt of a whole request to the first part of its answer.
   */
  [[nodiscard]] latency_histogram& TimeToFirstToken() noexcept {
    return time_to_first_token_;
  }
  [[nodiscard]] const latency_histogram& TimeToFirstToken() const noexcept {
    return time_to_first_token_;
  }

  /** Time from the receipt of a whole request to the end of its whole answer.
   */
  [[nodiscard]] latency_histogram& TimeToLastByte() noexcept {
    return time_to_last_byte_;
  }

  /** @brief Adds the totals of the connections between peers to the metrics.
   * @param totals Must outlive all calls of ToPrometheusText(). */
  void SetTransportTotals(const transport_totals& totals) noexcept {
    transport_totals_ = &totals;
  }

  /** @return All metrics in the Prometheus text format. */
  [[nodiscard]] std::string ToPrometheusText() const;

 private:
  static constexpr std::size_t kReportVerdictCount =
      static_cast<std::size_t>(report_verdict::kImplausible) + 1;
  static constexpr std::size_t kCacheVerdictCount =
      static_cast<std::size_t>(cache_verdict::kOldSequence) + 1;

  void AppendPeers(std::string& text) const;
  void AppendConfiguration(std::string& text) const;

  std::atomic<std::uint64_t> requests_{};
  std::atomic<std::uint64_t> answers_{};
  std::atomic<std::uint64_t> clock_steps_{};
  std::array<std::atomic<std::uint64_t>, kFailureCodeCount> refusals_{};
  std::array<std::atomic<std::uint64_t>, kRetryReasonCount> retries_{};
  std::array<std::atomic<std::uint64_t>, kReportVerdictCount> reports_{};
  std::array<std::atomic<std::uint64_t>, kOrderVerdictCount> orders_{};
  std::array<std::atomic<std::uint64_t>, kReleaseReasonCount> releases_{};
  std::array<std::atomic<std::uint64_t>, kPeerVerdictCount> peer_messages_{};
  std::array<std::atomic<std::uint64_t>, kConfigurationVerdictCount>
      configuration_documents_{};
  std::atomic<std::uint64_t> configuration_reads_{};
  std::atomic<std::uint64_t> vm_list_bytes_{};
  std::atomic<std::uint64_t> configuration_revision_{};
  std::atomic<const transport_totals*> transport_totals_{};
  latency_histogram time_to_first_token_;
  latency_histogram time_to_last_byte_;
  std::array<std::atomic<std::uint64_t>, kCacheVerdictCount> cache_events_{};
};

}  // namespace acaciaferry
