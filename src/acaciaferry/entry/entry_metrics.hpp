#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "acaciaferry/core/failure.hpp"
#include "acaciaferry/core/name.hpp"
#include "acaciaferry/core/time.hpp"
#include "acaciaferry/entry/decision_log.hpp"
#include "acaciaferry/forwarding/admission/slot_admission.hpp"
#include "acaciaferry/forwarding/effect.hpp"
#include "acaciaferry/net/request_memory.hpp"

namespace acaciaferry::entry {

/** What is under way in a failure domain that is evacuated. */
struct evacuation_gauge {
  failure_domain_id domain;
  /** Attempts of this VM that still run there. */
  std::size_t attempts{};
};

/**
 * @brief Values sampled when the metrics are scraped. Ages are negative while
 * unknown.
 */
struct entry_gauges {
  std::size_t calls_in_flight{};
  std::size_t jobs{};
  std::size_t targets{};
  /** Targets that have named a limit. */
  std::size_t limited_targets{};
  /** Targets that get less since they are cold, or were a short while ago. */
  std::size_t cold_targets{};
  /** Targets that have said that they leave. */
  std::size_t leaving_targets{};
  /** Targets that want no request from this VM now. */
  std::size_t refusing_targets{};
  /** Whether no target can be reached directly. */
  bool targets_out_of_reach{};
  /** VMs whose tunnels this VM may use. */
  std::size_t known_tunnels{};
  /** Tunnels to targets that other VMs have open here. */
  std::size_t tunnels{};
  std::size_t connections{};
  /** Bytes of answers that were not passed on yet. */
  std::size_t held_bytes{};
  /** Answers and connections dropped since they held too much. */
  std::uint64_t dropped_for_memory{};
  /** Bytes held for requests, by kind. */
  std::array<std::size_t, net::kRequestKindCount> request_bytes{};
  /** Bytes that may be held for requests. */
  std::size_t request_bytes_limit{};
  /** Requests that are not read for lack of room. */
  std::size_t requests_waiting{};
  /** Descriptors that connections use, and those that they may use. */
  std::size_t descriptors{};
  std::size_t descriptor_limit{};
  std::uint64_t vms{};
  std::uint64_t configuration_version{};
  /** Time since the configuration service last responded. */
  double view_age_s{};
  /** Era of the configuration service; 0 while unknown. */
  std::uint64_t service_era{};
  /** Number of calls made to the configuration service. */
  std::uint64_t service_calls{};
  /** Time since the configuration was accepted. */
  double configuration_age_s{-1};
  /** Time since a peer last reported its dispatches. */
  double load_update_age_s{-1};
  /**
   * Time since the last heartbeat of the live peer that has been silent
   * longest.
   */
  double oldest_heartbeat_age_s{-1};
  std::vector<evacuation_gauge> evacuations{};
  /** Whether all published documents are known up to the view's revision. */
  bool view_complete{};
  /** Entries that disappeared around an outage and may come back. */
  std::size_t missing_entries{};
  /** Decisions of this VM on calls while slots were scarce. */
  forwarding::slot_counts slots{};
  /** Calls that wait for a slot by this VM's decision. */
  std::size_t waiting_for_slots{};
  /** Refused callers that are recognised if they return. */
  std::size_t remembered_callers{};
};

/** @brief Counters and latency histograms of forwarded calls. */
class entry_metrics {
 public:
  entry_metrics();
  ~entry_metrics();
  entry_metrics(const entry_metrics&) = delete;
  entry_metrics& operator=(const entry_metrics&) = delete;

  void CountRefusal(failure_code code) noexcept;
  /** @brief Counts a request that was refused before it was read completely. */
  void CountReadRefusal(int status) { ++read_refusals_[status]; }
  /** @brief Counts a caller that was dropped for lack of memory or descriptors.
   */
  void CountDrop(net::drop_reason reason) noexcept {
    ++drops_[static_cast<std::size_t>(reason)];
  }
  void CountMalformedDatagram() noexcept { ++malformed_datagrams_; }
  /** @brief Counts a datagram whose sender is not a live VM. */
  void CountUnknownSender() noexcept { ++unknown_senders_; }
  void CountDocumentFault() noexcept { ++document_faults_; }
  /** @brief Counts an attempt after the first one. */
  void CountRepeat(const std::string& reason) { ++repeats_[reason]; }
  /** @brief Records the latencies of an answered call. */
  void Observe(const forwarding::record_latency& observed);

  /** @return All values in the Prometheus text format. */
  [[nodiscard]] std::string ToPrometheusText(const decision_log& log,
                                             const entry_gauges& gauges) const;

 private:
  // Defined in the source file, to keep the Boost.Histogram headers out of this
  // one.
  class histograms;
  std::unique_ptr<histograms> histograms_;
  std::array<std::uint64_t, kFailureCodeCount> refusals_{};
  /** By reason, as the reducer names it. */
  std::map<std::string, std::uint64_t> repeats_;
  /** By HTTP status. */
  std::map<int, std::uint64_t> read_refusals_;
  std::array<std::uint64_t, net::kDropReasonCount> drops_{};
  std::uint64_t unknown_senders_{};
  std::uint64_t malformed_datagrams_{};
  std::uint64_t document_faults_{};
};

}  // namespace acaciaferry::entry
