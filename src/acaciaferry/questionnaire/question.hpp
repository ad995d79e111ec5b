#pragma once

#include <span>
#include <string_view>

namespace acaciaferry {

/** Format of the answer to a question. */
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
  /** Inclusive range; used by kNumber and kDecimal. */
  double low{};
  double high{};
  std::string_view example;
  /** Used when the answer is omitted; empty when the answer is required. */
  std::string_view default_answer;
};

/**
 * @brief Lists all questions in the order in which they are asked.
 * @return A table with static storage. The questions of the sections `model`,
 * `service`, `workload` and `workspace` are asked once for each name.
 */
[[nodiscard]] std::span<const question> Questions() noexcept;

/**
 * @brief Returns whether a section may occur several times, once for each name.
 * @param section The section.
 * @return True for `model`, `service`, `workload` and `workspace`.
 */
[[nodiscard]] bool IsRepeated(std::string_view section) noexcept;

/**
 * @brief Describes the format of an answer.
 * @param form The format.
 * @return A phrase such as `yes or no`.
 */
[[nodiscard]] std::string_view FormDescription(answer_form form) noexcept;

}  // namespace acaciaferry
