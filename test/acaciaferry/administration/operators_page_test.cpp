#include <algorithm>
#include <fstream>
#include <regex>
#include <sstream>
#include <string>

#include "acaciaferry/attempts/attempt.hpp"
#include "acaciaferry/core/failure.hpp"
#include "acaciaferry/questionnaire/question.hpp"

#include <CppUTest/TestHarness.h>

using namespace acaciaferry;

TEST_GROUP(OperatorsPage) {
  std::string page;

  void setup() override {
    const std::ifstream file(std::string(ACACIAFERRY_TEST_DIR) +
                             "/../docs/operators.md");
    std::ostringstream text;
    text << file.rdbuf();
    page = text.str();
  }

  bool HasRow(std::string_view name) const {
    return page.find("\n| `" + std::string(name) + "` |") != std::string::npos;
  }
};

// Guards against a refusal code or retry reason that the page does not explain.
TEST(OperatorsPage, ExplainsEveryReason) {
  for (std::size_t i = 0; i < kFailureCodeCount; ++i) {
    const auto code = Describe(static_cast<failure_code>(i)).code;
    CHECK_TEXT(HasRow(code), std::string(code).c_str());
  }
  for (std::size_t i = 0; i < kRetryReasonCount; ++i) {
    const auto reason = ToString(static_cast<retry_reason>(i));
    CHECK_TEXT(HasRow(reason), std::string(reason).c_str());
  }
}

// Guards against advice to change an answer that the questionnaire lacks.
TEST(OperatorsPage, NamesOnlyAnswersOfTheQuestionnaire) {
  const std::regex name(
      "`(team|priorities|model|service|workload|workspace)\\.([a-z_]+)`");
  const auto questions = Questions();
  int found = 0;
  for (std::sregex_iterator at(page.begin(), page.end(), name), end; at != end;
       ++at) {
    ++found;
    CHECK_TEXT(std::any_of(questions.begin(), questions.end(),
                           [&at](const question& each) {
                             return each.section == (*at)[1].str() &&
                                    each.key == (*at)[2].str();
                           }),
               at->str().c_str());
  }
  CHECK(found > 0);
}
