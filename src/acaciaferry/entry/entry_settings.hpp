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

/**
 * @brief Settings of a daemon that forwards calls by published routes.
 * Addresses have the form IP:PORT.
 */
struct entry_settings {
  vm_id vm;
  failure_domain_id failure_domain;
  /** From SIGTERM until the process has to be gone. */
  duration drain_grace{};
  std::string callers_address;
  std::string readiness_address;
  /** Where operators and peers ask for metrics and the published view. */
  std::string control_address;
  /** Where datagrams of peers arrive. */
  std::string datagram_address;
  /** Control addresses of VMs to begin with; they may be stale. */
  std::vector<std::string> seeds;
  /** The configuration service. */
  std::string service_address;
  forwarding::retry_bound retries;
  std::string log_level;
};

/** @return Whether a settings file asks for this kind of daemon. */
[[nodiscard]] bool IsEntrySettings(std::string_view text);

/**
 * @brief Parses the settings.
 * @param text INI text.
 * @param faults Receives every fault; the result is usable when it is empty.
 */
[[nodiscard]] entry_settings ParseEntrySettings(
    std::string_view text,
    std::vector<setting_fault>& faults);

}  // namespace acaciaferry::entry
