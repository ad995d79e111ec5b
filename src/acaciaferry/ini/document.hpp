#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace acaciaferry {

struct ini_entry {
  std::string key;
  std::string value;
};

/**
 * @brief A section. The heading `[workload.audits]` has the kind `workload`
 * and the label `audits`; `[policy]` has no label.
 */
struct ini_section {
  std::string kind;
  std::string label;
  std::vector<ini_entry> entries;
};

struct ini_document {
  std::vector<ini_section> sections;
};

/**
 * @brief A setting that is missing, unknown or out of range.
 */
struct setting_fault {
  std::string section;
  std::string key;
  std::string value;
  /** Description of the values that are accepted. */
  std::string allowed;

  [[nodiscard]] bool operator==(const setting_fault&) const = default;
};

/**
 * @brief Formats a fault as one line with section, key, value and what is
 * allowed.
 * @param fault The fault.
 * @return A line without a line feed.
 */
[[nodiscard]] std::string ToString(const setting_fault& fault);

/**
 * @brief Parses INI text with POCO.
 * @param text Text of at most a few megabytes.
 * @param faults Receives one fault when the text is not valid INI.
 * @return The sections in alphabetical order.
 */
[[nodiscard]] ini_document ParseIni(std::string_view text,
                                    std::vector<setting_fault>& faults);

}  // namespace acaciaferry
