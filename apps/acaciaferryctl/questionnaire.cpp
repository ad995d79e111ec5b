#include <algorithm>
#include <array>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

#include "acaciaferry/questionnaire/answers.hpp"
#include "acaciaferry/questionnaire/document.hpp"
#include "acaciaferry/questionnaire/explain.hpp"
#include "command.hpp"
#include "dialogue.hpp"

namespace ctl {
namespace {

using acaciaferry::answers;
using acaciaferry::setting_fault;

constexpr std::string_view kHelp =
    "usage: acaciaferryctl questionnaire VERB ARGUMENTS\n"
    "\n"
    "  ask FILE          ask what FILE does not answer yet, and write FILE\n"
    "  check FILE        report every fault of the answers in FILE\n"
    "  generate FILE     print the deployment document\n"
    "  explain FILE KEY  tell which answers led to a setting, by which rule\n"
    "  diff OLD NEW      tell what changes for whom\n"
    "\n"
    "examples:\n"
    "  acaciaferryctl questionnaire check examples/works/answers.ini\n"
    "  acaciaferryctl questionnaire explain examples/works/answers.ini \\\n"
    "      workload.season-log.priority\n"
    "\n"
    "exit codes: 0 done, 1 failed, 2 wrong usage, 3 the answers have faults\n";

std::optional<std::string> ReadFile(const std::string& path) {
  const std::ifstream file(path);
  if (!file) {
    std::cerr << "acaciaferryctl: cannot read " << path << '\n';
    return std::nullopt;
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

void PrintFaults(const std::string& path,
                 const std::vector<setting_fault>& faults) {
  for (const setting_fault& fault : faults) {
    std::cerr << path << ": " << ToString(fault) << '\n';
  }
}

// Answers without faults, or nothing after the reason was printed; `code` is
// then the tool's exit code.
std::optional<answers> ReadGoodAnswers(const std::string& path, int& code) {
  const auto text = ReadFile(path);
  if (!text) {
    code = kFailed;
    return std::nullopt;
  }
  std::vector<setting_fault> faults;
  answers given = acaciaferry::ReadAnswers(*text, faults);
  PrintFaults(path, faults);
  if (!faults.empty()) {
    code = kFaults;
    return std::nullopt;
  }
  return given;
}

int Ask(arguments words) {
  return RunDialogue(words[0], std::cin, std::cout) ? kOk : kFaults;
}

int Check(arguments words) {
  int code = kOk;
  if (!ReadGoodAnswers(words[0], code)) {
    return code;
  }
  std::cout << words[0] << ": no faults\n";
  return kOk;
}

int Generate(arguments words) {
  int code = kOk;
  const auto given = ReadGoodAnswers(words[0], code);
  if (!given) {
    return code;
  }
  std::cout << GenerateDocument(*given);
  return kOk;
}

int Explain(arguments words) {
  int code = kOk;
  const auto given = ReadGoodAnswers(words[0], code);
  if (!given) {
    return code;
  }
  const auto found = ExplainSetting(*given, words[1]);
  if (!found) {
    std::cerr << "acaciaferryctl: no setting \"" << words[1] << "\"\n";
    return kFailed;
  }
  std::cout << words[1] << " = " << found->setting.value << "\n"
            << "rule: " << found->setting.rule << '\n';
  for (const auto& source : found->sources) {
    std::cout << "answer " << source.name << " = " << source.answer << "\n  "
              << source.question << '\n';
  }
  return kOk;
}

int Diff(arguments words) {
  int code = kOk;
  const auto before = ReadGoodAnswers(words[0], code);
  const auto after = ReadGoodAnswers(words[1], code);
  if (!before || !after) {
    return code;
  }
  for (const auto& change : CompareAnswers(*before, *after)) {
    std::cout << change.name << ": "
              << (change.before.empty() ? "(absent)" : change.before) << " -> "
              << (change.after.empty() ? "(absent)" : change.after)
              << "  [concerns " << change.scope << "]\n";
  }
  return kOk;
}

struct verb {
  std::string_view name;
  std::size_t words{};
  int (*run)(arguments);
};

constexpr std::array kVerbs{verb{"ask", 1, Ask}, verb{"check", 1, Check},
                            verb{"generate", 1, Generate},
                            verb{"explain", 2, Explain}, verb{"diff", 2, Diff}};

}  // namespace

int RunQuestionnaire(arguments words) {
  if (!words.empty() && words.front() == "--help") {
    std::cout << kHelp;
    return kOk;
  }
  const auto found =
      std::find_if(kVerbs.begin(), kVerbs.end(), [&words](const verb& each) {
        return !words.empty() && each.name == words.front() &&
               words.size() == each.words + 1;
      });
  if (found == kVerbs.end()) {
    std::cerr << kHelp;
    return kUsage;
  }
  return found->run(words.subspan(1));
}

}  // namespace ctl
