#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "acaciaferry/ini/document.hpp"
#include "acaciaferry/questionnaire/answers.hpp"

namespace acaciaferry {

/** What a check of a deployment document found. */
enum class document_verdict {
  /** Its settings are those that follow from its answers. */
  kFollows,
  /** Another generator version wrote it; only the digest was checked. */
  kDigestOnly,
  /** It carries no answers, or answers with faults. */
  kBadAnswers,
  /** A setting does not follow from the answers. */
  kEdited,
  /** The digest is not that of the content. */
  kBadDigest,
};

/**
 * @brief Names a verdict as metrics and logs print it.
 * @param verdict The verdict.
 * @return A static name.
 */
[[nodiscard]] std::string_view ToString(document_verdict verdict) noexcept;

/**
 * @brief Generates a deployment document.
 * @param given Checked answers.
 * @return INI text: settings, answers, generator version and digest.
 */
[[nodiscard]] std::string GenerateDocument(const answers& given);

/**
 * @brief Checks that a document's settings follow from its answers.
 * @param text INI text of at most 1 MB.
 * @param faults Receives one fault for each answer or setting at fault.
 * @return The verdict; kFollows and kDigestOnly are acceptable.
 */
[[nodiscard]] document_verdict CheckDocument(
    std::string_view text,
    std::vector<setting_fault>& faults);

/**
 * @brief Writes answers as an answers file.
 * @param given The answers.
 * @param prefix Put before each section's name; empty for an answers file.
 * @return INI text.
 */
[[nodiscard]] std::string WriteAnswers(const answers& given,
                                       std::string_view prefix);

}  // namespace acaciaferry
