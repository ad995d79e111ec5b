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
 * @brief The process's counters. Thread-safe.
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
  [[nodiscard]] std::uint64_t Value(failure_code code) const noexcept;
  void Count(peer_verdict verdict) noexcept;
  void Count(configuration_verdict verdict) noexcept;
  void CountConfigurationRead() noexcept { ++configuration_reads_; }
  void CountVmListBytes(std::uint64_t bytes) noexcept {
    vm_list_bytes_ += bytes;
  }
  void SetRevision(std::uint64_t revision) noexcept { revision_ = revision; }

  /** From a request's complete receipt to the first part of its answer. */
  [[nodiscard]] latency_histogram& FirstToken() noexcept {
    return first_token_;
  }
  [[nodiscard]] const latency_histogram& FirstToken() const noexcept {
    return first_token_;
  }

  /** From a request's complete receipt to the end of its whole answer. */
  [[nodiscard]] latency_histogram& LastByte() noexcept { return last_byte_; }

  /** @brief Includes the bytes and messages between peers.
   * @param totals Must outlive the registry's use. */
  void Observe(const transport_totals& totals) noexcept { peers_ = &totals; }

  /** @return All counters in the Prometheus text format. */
  [[nodiscard]] std::string ToPrometheusText() const;

 private:
  static constexpr std::size_t kVerdicts =
      static_cast<std::size_t>(report_verdict::kImplausible) + 1;
  static constexpr std::size_t kCacheVerdicts =
      static_cast<std::size_t>(cache_verdict::kOldSequence) + 1;

  void AppendPeers(std::string& text) const;
  void AppendConfiguration(std::string& text) const;

  std::atomic<std::uint64_t> requests_{};
  std::atomic<std::uint64_t> answers_{};
  std::atomic<std::uint64_t> clock_steps_{};
  std::array<std::atomic<std::uint64_t>, kFailureCodeCount> refusals_{};
  std::array<std::atomic<std::uint64_t>, kRetryReasons> retries_{};
  std::array<std::atomic<std::uint64_t>, kVerdicts> reports_{};
  std::array<std::atomic<std::uint64_t>, kOrderVerdicts> orders_{};
  std::array<std::atomic<std::uint64_t>, kReleaseReasons> releases_{};
  std::array<std::atomic<std::uint64_t>, kPeerVerdictCount> peer_messages_{};
  std::array<std::atomic<std::uint64_t>, kConfigurationVerdictCount>
      documents_{};
  std::atomic<std::uint64_t> configuration_reads_{};
  std::atomic<std::uint64_t> vm_list_bytes_{};
  std::atomic<std::uint64_t> revision_{};
  std::atomic<const transport_totals*> peers_{};
  latency_histogram first_token_;
  latency_histogram last_byte_;
  std::array<std::atomic<std::uint64_t>, kCacheVerdicts> cache_events_{};
};

}  // namespace acaciaferry
