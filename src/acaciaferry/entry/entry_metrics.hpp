#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "acaciaferry/core/failure.hpp"
#include "acaciaferry/core/time.hpp"
#include "acaciaferry/entry/decision_log.hpp"
#include "acaciaferry/forwarding/effect.hpp"

namespace acaciaferry::entry {

/** @brief Values that are read when the metrics are asked for. */
struct entry_gauges {
  std::size_t calls_in_flight{};
  std::size_t jobs{};
  std::size_t targets{};
  std::size_t connections{};
  std::uint64_t vms{};
  std::uint64_t configuration_version{};
  /** Age of the last answer of the configuration service; negative before any.
   */
  double view_age_s{};
  std::uint64_t service_calls{};
  /** Ages of the other knowledge that decisions rest on; negative when there is
   * none: the configuration's acceptance, the last news of peers' dispatches,
   * and the hello of the live peer that was heard least recently. */
  double configuration_age_s{-1};
  double load_news_age_s{-1};
  double oldest_heartbeat_age_s{-1};
};

/**
 * @brief Counters and histograms of forwarded calls.
 */
class entry_metrics {
 public:
  entry_metrics();
  ~entry_metrics();
  entry_metrics(const entry_metrics&) = delete;
  entry_metrics& operator=(const entry_metrics&) = delete;

  void CountRefusal(failure_code code) noexcept;
  /** @brief Counts a request that was refused before it was whole. */
  void CountReadRefusal(int status) { ++read_refusals_[status]; }
  void CountMalformedDatagram() noexcept { ++malformed_datagrams_; }
  /** @brief Counts a datagram that names a VM that is not live. */
  void CountUnknownSender() noexcept { ++unknown_senders_; }
  void CountDocumentFault() noexcept { ++document_faults_; }
  /** @brief Counts an attempt that follows another one. */
  void CountRepeat(const std::string& reason) { ++repeats_[reason]; }
  /** @brief Takes the times of an answered call. */
  void Observe(const forwarding::record_latency& answered);

  /** @return All values in the Prometheus text format. */
  [[nodiscard]] std::string ToPrometheusText(const decision_log& log,
                                             const entry_gauges& gauges) const;

 private:
  // Keeps Boost.Histogram's headers out of this one.
  class histograms;
  std::unique_ptr<histograms> histograms_;
  std::array<std::uint64_t, kFailureCodes> refusals_{};
  /** By reason; reasons are static names of the reducer. */
  std::map<std::string, std::uint64_t> repeats_;
  /** By status. */
  std::map<int, std::uint64_t> read_refusals_;
  std::uint64_t unknown_senders_{};
  std::uint64_t malformed_datagrams_{};
  std::uint64_t document_faults_{};
};

}  // namespace acaciaferry::entry
