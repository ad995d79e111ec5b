#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "acaciaferry/questionnaire/answers.hpp"
#include "acaciaferry/questionnaire/derive.hpp"

namespace acaciaferry {

/**
 * @brief An answer that a setting was derived from.
 */
struct explained_source {
  /** As `section.key`. */
  std::string name;
  /** The text of the question. */
  std::string question;
  std::string answer;
};

/**
 * @brief A setting with the answers that determine its value.
 */
struct explanation {
  derived_setting setting;
  std::vector<explained_source> sources;
};

/**
 * @brief Explains a setting of the generated document.
 * @param given Checked answers.
 * @param name The setting as `section.key`, for example
 * `workload.audits.deadline_ms`.
 * @return The explanation, or nothing when there is no such setting.
 */
[[nodiscard]] std::optional<explanation> ExplainSetting(const answers& given,
                                                        std::string_view name);

/** How a setting differs between two documents. */
enum class change_kind { kAdded, kRemoved, kChanged };

/**
 * @brief One difference between the settings of two sets of answers.
 */
struct setting_change {
  change_kind kind{};
  /** As `section.key`. */
  std::string name;
  std::string before;
  std::string after;
  /** The workload, workspace or pool it applies to, or `everybody`. */
  std::string scope;
};

/**
 * @brief Compares the settings derived from two sets of answers.
 * @param before Checked answers.
 * @param after Checked answers.
 * @return The differences, sorted by setting name.
 */
[[nodiscard]] std::vector<setting_change> CompareAnswers(const answers& before,
                                                         const answers& after);

}  // namespace acaciaferry
