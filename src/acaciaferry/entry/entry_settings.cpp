#include "acaciaferry/entry/entry_settings.hpp"

#include <algorithm>
#include <array>

#include "acaciaferry/ini/reader.hpp"

namespace acaciaferry::entry {
namespace internal {

constexpr double kMaxCores = 1'024;
constexpr double kThousandths = 1'000;
constexpr std::uint64_t kDefaultDrainGraceMs = 8'000;
constexpr std::uint64_t kHourMs = 3'600'000;
constexpr double kMaxSlack = 1e6;
constexpr double kMaxWindowS = 3'600;
constexpr std::uint64_t kDefaultMaxUnusedMs = 9'000;
constexpr std::uint64_t kMinMaxUnusedMs = 1'000;
// The smallest VM.
constexpr std::uint64_t kDefaultMemoryMb = 160;
constexpr std::uint64_t kMaxMemoryMb = 1U << 20U;
constexpr std::uint64_t kMaxDescriptors = 1U << 20U;
constexpr std::array<std::string_view, 11> kSections{
    "vm",      "callers",      "readiness", "peers",  "configuration",
    "retries", "reservations", "admission", "memory", "descriptors",
    "logs"};

ini_section FindSection(const ini_document& document, std::string_view kind) {
  for (const ini_section& section : document.sections) {
    if (section.kind == kind && section.label.empty()) {
      return section;
    }
  }
  return {std::string(kind), "", {}};
}

std::vector<std::string> SplitList(std::string_view text) {
  std::vector<std::string> parts;
  while (!text.empty()) {
    const std::size_t comma = std::min(text.find(','), text.size());
    std::string_view part = text.substr(0, comma);
    while (!part.empty() && part.front() == ' ') {
      part.remove_prefix(1);
    }
    if (!part.empty()) {
      parts.emplace_back(part);
    }
    text.remove_prefix(std::min(comma + 1, text.size()));
  }
  return parts;
}

}  // namespace internal

bool IsEntrySettings(std::string_view text) {
  std::vector<setting_fault> ignored;
  const ini_document document = ParseIni(text, ignored);
  return std::any_of(
      document.sections.begin(), document.sections.end(),
      [](const ini_section& section) { return section.kind == "readiness"; });
}

entry_settings ParseEntrySettings(std::string_view text,
                                  std::vector<setting_fault>& faults) {
  const ini_document document = ParseIni(text, faults);
  entry_settings settings;
  const auto read_section = [&](std::string_view kind, auto read_keys) {
    const ini_section section = internal::FindSection(document, kind);
    ini_reader reader(section, faults);
    read_keys(reader);
    reader.RejectUnknownKeys();
  };
  read_section("vm", [&](ini_reader& reader) {
    settings.vm.value = reader.Text("name");
    settings.failure_domain.value = reader.Text("failure_domain");
    settings.capacity = static_cast<std::uint32_t>(std::max(
        1.0, reader.DecimalOr("processor_share", 0, 0, internal::kMaxCores) *
                 internal::kThousandths));
    settings.drain_grace = reader.MillisecondsOr(
        "drain_grace_ms", internal::kDefaultDrainGraceMs, 0, internal::kHourMs);
  });
  read_section("callers", [&](ini_reader& reader) {
    settings.callers_address = reader.Address("address");
  });
  read_section("readiness", [&](ini_reader& reader) {
    settings.readiness_address = reader.Address("address");
  });
  read_section("peers", [&](ini_reader& reader) {
    settings.control_address = reader.Address("control");
    settings.datagram_address = reader.Address("datagrams");
    settings.seeds = internal::SplitList(reader.TextOr("seeds", ""));
  });
  read_section("configuration", [&](ini_reader& reader) {
    settings.service_address = reader.Address("service");
  });
  read_section("retries", [&](ini_reader& reader) {
    settings.retries.ratio = reader.DecimalOr("ratio", 0.2, 0, 1);
    settings.retries.slack =
        reader.DecimalOr("slack", 0, 0, internal::kMaxSlack);
    settings.retries.window =
        FromSeconds(reader.DecimalOr("window_s", 10, 1, internal::kMaxWindowS));
  });
  read_section("reservations", [&](ini_reader& reader) {
    settings.max_unused_reservation =
        reader.MillisecondsOr("max_unused_ms", internal::kDefaultMaxUnusedMs,
                              internal::kMinMaxUnusedMs, internal::kHourMs);
  });
  read_section("memory", [&](ini_reader& reader) {
    settings.memory_limit_mb = reader.NumberOr(
        "limit_mb", internal::kDefaultMemoryMb, 1, internal::kMaxMemoryMb);
  });
  read_section("descriptors", [&](ini_reader& reader) {
    settings.descriptor_limit =
        reader.NumberOr("limit", 0, 1, internal::kMaxDescriptors);
  });
  read_section("admission", [&](ini_reader& reader) {
    settings.admits_by_slots =
        reader.ChoiceOrFirst("slots", {"on", "off"}) == "on";
  });
  read_section("logs", [&](ini_reader& reader) {
    settings.log_level = reader.TextOr("level", "info");
  });
  for (const ini_section& section : document.sections) {
    if (std::find(internal::kSections.begin(), internal::kSections.end(),
                  section.kind) == internal::kSections.end()) {
      faults.push_back(
          {section.kind, section.label, "",
           "the sections vm, callers, readiness, peers, "
           "configuration, retries, reservations, admission, memory, "
           "descriptors and logs"});
    }
  }
  return settings;
}

}  // namespace acaciaferry::entry
