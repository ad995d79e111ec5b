#include "acaciaferry/settings/daemon_settings.hpp"

#include <algorithm>
#include <array>

#include "acaciaferry/ini/reader.hpp"

namespace acaciaferry {
namespace internal {

// A prompt of a million tokens takes about 4 MB, and JSON escapes may double
// that.
constexpr std::uint64_t kDefaultMaxBodyBytes = 16 << 20;
constexpr std::uint64_t kMaxBodyBytesLimit = 256 << 20;
constexpr std::uint64_t kDefaultBodyTimeoutMs = 15'000;
constexpr std::uint64_t kDefaultMaxConnections = 1'024;
constexpr std::uint64_t kDefaultDrainGraceMs = 5'000;
constexpr std::uint64_t kHourMs = 3'600'000;

constexpr std::array<std::string_view, 6> kSections{
    "vm", "callers", "operators", "peers", "platform", "logs"};

ini_section FindSection(const ini_document& document, std::string_view kind) {
  for (const ini_section& section : document.sections) {
    if (section.kind == kind && section.label.empty()) {
      return section;
    }
  }
  return {std::string(kind), "", {}};
}

void RejectUnknownSections(const ini_document& document,
                           std::vector<setting_fault>& faults) {
  for (const ini_section& section : document.sections) {
    const bool known =
        section.label.empty() && std::find(kSections.begin(), kSections.end(),
                                           section.kind) != kSections.end();
    if (!known) {
      faults.push_back({section.kind, section.label, "",
                        "the sections vm, callers, operators, peers, platform "
                        "and logs"});
    }
  }
}

void ReadVm(ini_reader reader, daemon_settings& settings) {
  settings.vm.value = reader.Text("name");
  settings.failure_domain.value = reader.Text("failure_domain");
  settings.region.value = reader.Text("region");
  settings.drain_grace =
      reader.MillisecondsOr("drain_grace_ms", kDefaultDrainGraceMs, 0, kHourMs);
  reader.RejectUnknownKeys();
}

void ReadCallers(ini_reader reader, daemon_settings& settings) {
  settings.callers_address = reader.Address("address");
  settings.max_body_bytes = reader.NumberOr(
      "max_body_bytes", kDefaultMaxBodyBytes, 1024, kMaxBodyBytesLimit);
  settings.body_timeout = reader.MillisecondsOr(
      "body_timeout_ms", kDefaultBodyTimeoutMs, 100, kHourMs);
  settings.max_connections =
      reader.NumberOr("max_connections", kDefaultMaxConnections, 1, 65'536);
  reader.RejectUnknownKeys();
}

void ReadOperators(ini_reader reader, daemon_settings& settings) {
  settings.operators_address = reader.Address("address");
  settings.operators_token_file = reader.TextOr("token_file", "");
  reader.RejectUnknownKeys();
}

void ReadPeers(ini_reader reader, daemon_settings& settings) {
  settings.peers_address = reader.AddressOrNone("address");
  settings.key_file = reader.TextOr("key_file", "");
  if (!settings.peers_address.empty() && settings.key_file.empty()) {
    reader.AddFault("key_file", "the path of the file with the deployment key");
  }
  reader.RejectUnknownKeys();
}

void ReadPlatform(ini_reader reader, daemon_settings& settings) {
  settings.configuration_service =
      reader.AddressOrNone("configuration_service");
  settings.vm_list = reader.AddressOrNone("vm_list");
  settings.deployment_file = reader.TextOr("deployment_file", "");
  if (settings.configuration_service.empty() &&
      settings.deployment_file.empty()) {
    reader.AddFault("configuration_service",
                    "an address of the form IP:PORT, or a deployment_file");
  }
  if (settings.vm_list.empty()) {
    reader.AddFault("vm_list", "an address of the form IP:PORT");
  }
  reader.RejectUnknownKeys();
}

void ReadLogs(ini_reader reader, daemon_settings& settings) {
  settings.log_level = reader.TextOr("level", "info");
  constexpr std::array<std::string_view, 5> kLevels{"debug", "info", "warn",
                                                    "error", "off"};
  if (std::find(kLevels.begin(), kLevels.end(), settings.log_level) ==
      kLevels.end()) {
    reader.AddFault("level", "one of debug, info, warn, error, off");
  }
  reader.RejectUnknownKeys();
}

}  // namespace internal

daemon_settings ParseDaemonSettings(std::string_view text,
                                    std::vector<setting_fault>& faults) {
  const ini_document document = ParseIni(text, faults);
  internal::RejectUnknownSections(document, faults);
  daemon_settings settings;
  const auto read = [&](std::string_view kind, auto read_section) {
    const ini_section section = internal::FindSection(document, kind);
    read_section(ini_reader(section, faults), settings);
  };
  read("vm", internal::ReadVm);
  read("callers", internal::ReadCallers);
  read("operators", internal::ReadOperators);
  read("peers", internal::ReadPeers);
  read("platform", internal::ReadPlatform);
  read("logs", internal::ReadLogs);
  return settings;
}

}  // namespace acaciaferry
