#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "acaciaferry/core/name.hpp"
#include "acaciaferry/core/time.hpp"
#include "acaciaferry/ini/document.hpp"

namespace acaciaferry {

/**
 * @brief Settings of one daemon, read from its settings file. Addresses have
 * the form IP:PORT; optional ones are empty when unset.
 */
struct daemon_settings {
  vm_id vm;
  failure_domain_id failure_domain;
  region_id region;

  std::string callers_address;
  std::uint64_t max_body_bytes{};
  duration body_timeout{};
  std::uint64_t max_connections{};

  std::string operators_address;
  std::string operators_token_file;

  std::string peers_address;
  std::string key_file;

  std::string configuration_service;
  std::string vm_list;
  /** Path; used when no configuration service is set. */
  std::string deployment_file;

  std::string log_level;
  duration drain_grace{};
};

/**
 * @brief Parses a daemon's settings.
 * @param text INI text.
 * @param faults Receives every fault; the result is usable when it is empty.
 * @return The settings, with defaults for absent optional keys.
 */
[[nodiscard]] daemon_settings ParseDaemonSettings(
    std::string_view text,
    std::vector<setting_fault>& faults);

}  // namespace acaciaferry
