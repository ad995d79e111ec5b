#include "acaciaferry/questionnaire/document.hpp"

#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include "acaciaferry/deployment/deployment.hpp"
#include "acaciaferry/questionnaire/explain.hpp"

#include <CppUTest/TestHarness.h>

using namespace acaciaferry;

namespace {

std::string ReadExample(const std::string& name) {
  const std::ifstream file(std::string(ACACIAFERRY_EXAMPLES) + "/" + name);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

answers ReadValidAnswers(const std::string& name) {
  std::vector<setting_fault> faults;
  answers given = ReadAnswers(ReadExample(name), faults);
  for (const setting_fault& fault : faults) {
    FAIL(ToString(fault).c_str());
  }
  return given;
}

std::string Replace(std::string text,
                    const std::string& from,
                    const std::string& to) {
  const std::size_t at = text.find(from);
  CHECK(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

}  // namespace

TEST_GROUP(QuestionnaireDocument){};

// Guards against generated documents that the daemon rejects.
TEST(QuestionnaireDocument, ExamplesGenerateAcceptableDocuments) {
  for (const char* const name : {"works/answers.ini", "trust/answers.ini"}) {
    const std::string document = GenerateDocument(ReadValidAnswers(name));
    std::vector<setting_fault> faults;
    CHECK(CheckDocument(document, faults) == document_verdict::kMatchesAnswers);
    static_cast<void>(ParseDeployment(document, 1, faults));
    CHECK_EQUAL(0U, faults.size());
  }
}

// Guards against numbers written with an exponent ("2e+05"), which the daemon
// does not accept as integers, so that it rejects the document.
TEST(QuestionnaireDocument, RoundNumbersGenerateAcceptableDocuments) {
  answers given = ReadValidAnswers("works/answers.ini");
  for (const double rate : {50'000., 100'000., 200'000., 1'000'000.}) {
    given.models.front().prefill_tokens_per_second = rate;
    std::vector<setting_fault> faults;
    const std::string document = GenerateDocument(given);
    CHECK(CheckDocument(document, faults) == document_verdict::kMatchesAnswers);
    CHECK_EQUAL(0U, faults.size());
  }
}

// Guards against example documents that differ from what their answers
// generate.
TEST(QuestionnaireDocument, CommittedDocumentsAreUpToDate) {
  CHECK_EQUAL(ReadExample("works/deployment.ini"),
              GenerateDocument(ReadValidAnswers("works/answers.ini")));
  CHECK_EQUAL(ReadExample("trust/deployment.ini"),
              GenerateDocument(ReadValidAnswers("trust/answers.ini")));
}

// Guards against accepting a document whose settings were edited by hand.
TEST(QuestionnaireDocument, EditedSettingIsADigestMismatch) {
  const std::string document =
      GenerateDocument(ReadValidAnswers("works/answers.ini"));
  std::vector<setting_fault> faults;
  const std::string edited =
      Replace(document, "short_weight = 3", "short_weight = 4");
  CHECK(CheckDocument(edited, faults) == document_verdict::kDigestMismatch);
}

// Guards against documents that are tuned by hand with a recomputed digest:
// other answers must give other settings, and the comparison must list each of
// them.
TEST(QuestionnaireDocument, DifferentAnswersGiveDifferentSettings) {
  const answers works = ReadValidAnswers("works/answers.ini");
  answers other = works;
  other.short_requests = 5;
  const std::string document = GenerateDocument(works);
  const auto changes = CompareAnswers(works, other);
  CHECK(!changes.empty());
  for (const setting_change& change : changes) {
    CHECK_FALSE(change.before == change.after);
  }
  CHECK_FALSE(document == GenerateDocument(other));
}

// Guards against a policy that ignores the priorities of the answers.
TEST(QuestionnaireDocument, WeightsOfTheExamplesDiffer) {
  std::vector<setting_fault> faults;
  const deployment works = ParseDeployment(
      GenerateDocument(ReadValidAnswers("works/answers.ini")), 1, faults);
  const deployment trust = ParseDeployment(
      GenerateDocument(ReadValidAnswers("trust/answers.ini")), 1, faults);
  CHECK(works.policy.short_weight > trust.policy.short_weight);
  CHECK(works.policy.short_only_floor > trust.policy.short_only_floor);
}

// Guards against a check that stops at the first contradiction.
TEST(QuestionnaireDocument, AllContradictionsAreReported) {
  std::string text = ReadExample("works/answers.ini");
  text = Replace(text, "failure_domains = 3", "failure_domains = 9");
  text = Replace(text, "safe_to_repeat = no", "safe_to_repeat = yes");
  text = Replace(text, "answer_within_seconds = 300",
                 "answer_within_seconds = 20");
  text = Replace(text, "requests_per_minute = 1200",
                 "requests_per_minute = 90000");
  std::vector<setting_fault> faults;
  static_cast<void>(ReadAnswers(text, faults));
  CHECK_EQUAL(4U, faults.size());
}

// Guards against an explanation that does not list the source answers.
TEST(QuestionnaireDocument, ExplainsSettingWithItsAnswers) {
  const auto found = ExplainSetting(ReadValidAnswers("works/answers.ini"),
                                    "workload.vat-release.idempotent");
  CHECK(found.has_value());
  CHECK_EQUAL(std::string("no"), found->setting.value);
  CHECK_EQUAL(1U, found->sources.size());
  CHECK_EQUAL(std::string("workload.vat-release.safe_to_repeat"),
              found->sources.front().name);
  CHECK_EQUAL(std::string("no"), found->sources.front().answer);
}
