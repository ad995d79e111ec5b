#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "acaciaferry/questionnaire/answers.hpp"

namespace acaciaferry {

/** Version of the derivation rules, stored in every generated document.
 * Changes with every change of a rule. */
inline constexpr std::string_view kGeneratorVersion = "1";

/**
 * @brief A setting of a deployment document with the rule and answers that it
 * was derived from.
 */
struct derived_setting {
  /** Section of the document, such as `workload.audits`. */
  std::string section;
  std::string key;
  std::string value;
  /** One-sentence description of the derivation rule. */
  std::string rule;
  /** The answers that the rule depends on, as `section.key`. */
  std::vector<std::string> sources;
};

/**
 * @brief Derives every setting of a deployment document.
 * @param given Checked answers.
 * @return The settings, grouped by section.
 */
[[nodiscard]] std::vector<derived_setting> DeriveSettings(const answers& given);

}  // namespace acaciaferry
