#pragma once

#include <span>
#include <string_view>

namespace acaciaferry {

/** How the answer to a question is written. */
enum class answer_form { kText, kNumber, kDecimal, kYesNo, kHarm, kSize };

/**
 * @brief One question of the questionnaire.
 */
struct question {
  /** Section of the answers file that the answer belongs to. */
  std::string_view section;
  std::string_view key;
  std::string_view text;
  std::string_view unit;
  answer_form form{};
  /** Inclusive range of numbers. */
  double low{};
  double high{};
  std::string_view example;
  /** Taken when the answer is left out; empty when it must be given. */
  std::string_view default_answer;
};

/**
 * @brief Lists all questions in the order in which they are asked.
 * @return A static table. Sections `model`, `service`, `workload` and
 * `workspace` are repeated, once for each name.
 */
[[nodiscard]] std::span<const question> Questions() noexcept;

/**
 * @brief Tells whether a section is asked once for each name.
 * @param section The section.
 * @return True for `model`, `service`, `workload` and `workspace`.
 */
[[nodiscard]] bool IsRepeated(std::string_view section) noexcept;

/**
 * @brief Describes how an answer is written.
 * @param form The form.
 * @return For example `yes or no`.
 */
[[nodiscard]] std::string_view FormDescription(answer_form form) noexcept;

}  // namespace acaciaferry
