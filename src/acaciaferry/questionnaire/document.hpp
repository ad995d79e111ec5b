#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "acaciaferry/ini/document.hpp"
#include "acaciaferry/questionnaire/answers.hpp"

namespace acaciaferry {

/** Result of checking a deployment document. */
enum class document_verdict {
  /** Its settings are those derived from its answers. */
  kMatchesAnswers,
  /** It was written by another generator version; only the digest was checked.
   */
  kDigestOnly,
  /** Its answers are missing, invalid or inconsistent. */
  kInvalidAnswers,
  /** A setting differs from the one derived from the answers. */
  kSettingsMismatch,
  /** The stored digest does not match the content. */
  kDigestMismatch,
};

/**
 * @brief Formats a verdict as metrics and logs print it.
 * @param verdict The verdict.
 * @return A name with static storage.
 */
[[nodiscard]] std::string_view ToString(document_verdict verdict) noexcept;

/**
 * @brief Generates a deployment document.
 * @param given Checked answers.
 * @return INI text: settings, answers, generator version and digest.
 */
[[nodiscard]] std::string GenerateDocument(const answers& given);

/**
 * @brief Verifies the digest of a document and that its settings are those
 * derived from its answers.
 * @param text INI text of at most 1 MB.
 * @param faults Receives one fault for each invalid answer or differing
 * setting.
 * @return The verdict; kMatchesAnswers and kDigestOnly are acceptable.
 */
[[nodiscard]] document_verdict CheckDocument(
    std::string_view text,
    std::vector<setting_fault>& faults);

/**
 * @brief Writes answers as an answers file.
 * @param given The answers.
 * @param prefix Prepended to each section name; empty for an answers file.
 * @return INI text.
 */
[[nodiscard]] std::string WriteAnswers(const answers& given,
                                       std::string_view prefix);

}  // namespace acaciaferry
