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

answers ReadGood(const std::string& name) {
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

// Guards against a generator whose documents the daemon would refuse.
TEST(QuestionnaireDocument, ExamplesGenerateAcceptableDocuments) {
  for (const char* const name : {"works/answers.ini", "trust/answers.ini"}) {
    const std::string document = GenerateDocument(ReadGood(name));
    std::vector<setting_fault> faults;
    CHECK(CheckDocument(document, faults) == document_verdict::kFollows);
    static_cast<void>(ParseDeployment(document, 1, faults));
    CHECK_EQUAL(0U, faults.size());
  }
}

// Guards against answers that are written with an exponent ("2e+05"), which the
// daemon does not read as a whole number and so refuses the document.
TEST(QuestionnaireDocument, RoundNumbersGenerateAcceptableDocuments) {
  answers given = ReadGood("works/answers.ini");
  for (const double rate : {50'000., 100'000., 200'000., 1'000'000.}) {
    given.models.front().prefill_tokens_per_second = rate;
    std::vector<setting_fault> faults;
    const std::string document = GenerateDocument(given);
    CHECK(CheckDocument(document, faults) == document_verdict::kFollows);
    CHECK_EQUAL(0U, faults.size());
  }
}

// Guards against published examples that no longer follow from their answers.
TEST(QuestionnaireDocument, CommittedDocumentsAreUpToDate) {
  CHECK_EQUAL(ReadExample("works/deployment.ini"),
              GenerateDocument(ReadGood("works/answers.ini")));
  CHECK_EQUAL(ReadExample("trust/deployment.ini"),
              GenerateDocument(ReadGood("trust/answers.ini")));
}

// Guards against tuning by hand.
TEST(QuestionnaireDocument, EditedSettingIsRefused) {
  const std::string document = GenerateDocument(ReadGood("works/answers.ini"));
  std::vector<setting_fault> faults;
  const std::string edited =
      Replace(document, "short_weight = 3", "short_weight = 4");
  CHECK(CheckDocument(edited, faults) == document_verdict::kBadDigest);
}

// Guards against tuning by hand with a recomputed digest: the digest of other
// answers does not help when the settings do not follow from them.
TEST(QuestionnaireDocument, ForeignSettingsAreNamed) {
  const answers works = ReadGood("works/answers.ini");
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

// Guards against two deployments with unlike weights that behave alike.
TEST(QuestionnaireDocument, WeightsOfTheExamplesDiffer) {
  std::vector<setting_fault> faults;
  const deployment works = ParseDeployment(
      GenerateDocument(ReadGood("works/answers.ini")), 1, faults);
  const deployment trust = ParseDeployment(
      GenerateDocument(ReadGood("trust/answers.ini")), 1, faults);
  CHECK(works.policy.short_weight > trust.policy.short_weight);
  CHECK(works.policy.short_only_floor > trust.policy.short_only_floor);
}

// Guards against contradictions that are reported one at a time.
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

// Guards against an explanation that names no answer.
TEST(QuestionnaireDocument, ExplainsASettingByItsAnswers) {
  const auto found = ExplainSetting(ReadGood("works/answers.ini"),
                                    "workload.vat-release.idempotent");
  CHECK(found.has_value());
  CHECK_EQUAL(std::string("no"), found->setting.value);
  CHECK_EQUAL(1U, found->sources.size());
  CHECK_EQUAL(std::string("workload.vat-release.safe_to_repeat"),
              found->sources.front().name);
  CHECK_EQUAL(std::string("no"), found->sources.front().answer);
}
