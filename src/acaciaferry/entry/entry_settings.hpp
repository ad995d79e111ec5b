#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "acaciaferry/core/name.hpp"
#include "acaciaferry/core/time.hpp"
#include "acaciaferry/forwarding/retry_allowance.hpp"
#include "acaciaferry/ini/document.hpp"

namespace acaciaferry::entry {

/** @brief Settings of the entry daemon. Addresses have the form IP:PORT. */
struct entry_settings {
  vm_id vm;
  failure_domain_id failure_domain;
  /** Share of a core that this VM has, in thousandths, at least 1. */
  std::uint32_t capacity{1};
  /** Longest time between SIGTERM and the exit of the process. */
  duration drain_grace{};
  /** Address for callers. */
  std::string callers_address;
  /** Address for readiness probes. */
  std::string readiness_address;
  /** Address for operators and peers: metrics and the published view. */
  std::string control_address;
  /** UDP address for datagrams from peers. */
  std::string datagram_address;
  /** Control addresses of the VMs to contact first; some may be out of date. */
  std::vector<std::string> seeds;
  /** Address of the configuration service. */
  std::string service_address;
  forwarding::retry_bound retries;
  /** Longest time that memory may be set aside at a target without use. */
  duration max_unused_reservation{};
  /** Memory of this VM in MiB. */
  std::uint64_t memory_limit_mb{};
  /** Number of descriptors that the process may have open; 0 for the limit of
   * the operating system. */
  std::uint64_t descriptor_limit{};
  /** Whether calls wait, or are refused, while the targets' slots are scarce.
   */
  bool admits_by_slots{true};
  std::string log_level;
};

/**
 * @return Whether a settings file is for the entry daemon: it has a section
 * `readiness`.
 */
[[nodiscard]] bool IsEntrySettings(std::string_view text);

/**
 * @brief Parses the settings.
 * @param text INI text.
 * @param faults Receives every error; the result is valid only if none was
 * added.
 */
[[nodiscard]] entry_settings ParseEntrySettings(
    std::string_view text,
    std::vector<setting_fault>& faults);

}  // namespace acaciaferry::entry
