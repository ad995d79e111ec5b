#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "acaciaferry/questionnaire/answers.hpp"

namespace acaciaferry {

/** Changes whenever a rule changes, so that documents can be told apart. */
inline constexpr std::string_view kGeneratorVersion = "1";

/**
 * @brief One setting of a deployment document, and where it came from.
 */
struct derived_setting {
  /** Section of the document, such as `workload.audits`. */
  std::string section;
  std::string key;
  std::string value;
  /** The rule in a sentence. */
  std::string rule;
  /** The answers that the rule read, as `section.key`. */
  std::vector<std::string> sources;
};

/**
 * @brief Derives every setting of a deployment document.
 * @param given Checked answers.
 * @return The settings, those of one section together.
 */
[[nodiscard]] std::vector<derived_setting> DeriveSettings(const answers& given);

}  // namespace acaciaferry
