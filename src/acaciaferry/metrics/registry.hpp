#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <string>

#include "acaciaferry/attempts/attempt.hpp"
#include "acaciaferry/core/failure.hpp"
#include "acaciaferry/prefix_cache/event.hpp"
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
  void Count(cache_verdict verdict) noexcept;

  /** @return How many requests were refused or failed for this reason. */
  [[nodiscard]] std::uint64_t Value(failure_code code) const noexcept;

  /** @return All counters in the Prometheus text format. */
  [[nodiscard]] std::string ToPrometheusText() const;

 private:
  static constexpr std::size_t kVerdicts =
      static_cast<std::size_t>(report_verdict::kImplausible) + 1;
  static constexpr std::size_t kCacheVerdicts =
      static_cast<std::size_t>(cache_verdict::kOldSequence) + 1;

  std::atomic<std::uint64_t> requests_{};
  std::atomic<std::uint64_t> answers_{};
  std::atomic<std::uint64_t> clock_steps_{};
  std::array<std::atomic<std::uint64_t>, kFailureCodes> refusals_{};
  std::array<std::atomic<std::uint64_t>, kRetryReasons> retries_{};
  std::array<std::atomic<std::uint64_t>, kVerdicts> reports_{};
  std::array<std::atomic<std::uint64_t>, kCacheVerdicts> cache_events_{};
};

}  // namespace acaciaferry
