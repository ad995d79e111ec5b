#include "dialogue.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <fstream>
#include <istream>
#include <map>
#include <optional>
#include <ostream>
#include <sstream>
#include <string_view>
#include <vector>

#include "acaciaferry/ini/document.hpp"
#include "acaciaferry/questionnaire/answers.hpp"
#include "acaciaferry/questionnaire/question.hpp"

namespace ctl {
namespace {

using acaciaferry::answer_form;
using acaciaferry::ini_section;
using acaciaferry::question;
using acaciaferry::setting_fault;

constexpr std::array<std::string_view, 4> kRepeatedSections{
    "model", "service", "workload", "workspace"};

bool IsOneOf(const std::string& text,
             std::initializer_list<std::string_view> words) {
  return std::find(words.begin(), words.end(), text) != words.end();
}

bool IsNumberWithin(const std::string& text, const question& asked) {
  double value{};
  const char* const last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), last, value);
  const bool is_whole = text.find('.') == std::string::npos;
  return error == std::errc{} && end == last && value >= asked.low &&
         value <= asked.high &&
         (is_whole || asked.form == answer_form::kDecimal);
}

bool IsAllowed(const std::string& text, const question& asked) {
  switch (asked.form) {
    case answer_form::kText:
      return !text.empty() || asked.key == "path";
    case answer_form::kNumber:
    case answer_form::kDecimal:
      return IsNumberWithin(text, asked);
    case answer_form::kYesNo:
      return IsOneOf(text, {"yes", "no"});
    case answer_form::kHarm:
      return IsOneOf(text, {"none", "inconvenient", "costly", "severe"});
    case answer_form::kSize:
      return IsOneOf(text, {"small", "large"});
  }
  return false;
}

std::string Heading(std::string_view kind, std::string_view label) {
  std::string heading(kind);
  if (!label.empty()) {
    heading.append(".").append(label);
  }
  return heading;
}

// The file's answers by heading and key, and the names of repeated sections.
class answers_file {
 public:
  explicit answers_file(std::string path) : path_(std::move(path)) {
    const std::ifstream file(path_);
    std::ostringstream text;
    text << file.rdbuf();
    std::vector<setting_fault> faults;
    for (const ini_section& section :
         acaciaferry::ParseIni(text.str(), faults).sections) {
      auto& entries = answers_[Heading(section.kind, section.label)];
      for (const auto& entry : section.entries) {
        entries[entry.key] = entry.value;
      }
    }
  }

  [[nodiscard]] std::vector<std::string> Labels(std::string_view kind) const {
    std::vector<std::string> labels;
    const std::string prefix = std::string(kind) + ".";
    for (const auto& [heading, entries] : answers_) {
      if (heading.starts_with(prefix)) {
        labels.push_back(heading.substr(prefix.size()));
      }
    }
    return labels;
  }

  [[nodiscard]] bool Has(const std::string& heading,
                         std::string_view key) const {
    const auto found = answers_.find(heading);
    return found != answers_.end() && found->second.contains(std::string(key));
  }

  void Set(const std::string& heading,
           std::string_view key,
           const std::string& value) {
    answers_[heading][std::string(key)] = value;
    Write();
  }

  [[nodiscard]] std::string Text() const {
    std::string text;
    for (const auto& [heading, entries] : answers_) {
      text += "[" + heading + "]\n";
      for (const auto& [key, value] : entries) {
        text += key + " = " + value + "\n";
      }
      text += "\n";
    }
    return text;
  }

 private:
  void Write() const {
    std::ofstream file(path_);
    file << Text();
  }

  std::string path_;
  std::map<std::string, std::map<std::string, std::string>> answers_;
};

class dialogue {
 public:
  dialogue(answers_file& file, std::istream& in, std::ostream& out)
      : file_(file), in_(in), out_(out) {}

  // False when the input ended before all questions were answered.
  bool Run() {
    if (!AskSection("team", "") || !AskSection("priorities", "")) {
      return false;
    }
    return std::all_of(
        kRepeatedSections.begin(), kRepeatedSections.end(),
        [this](std::string_view kind) { return AskRepeated(kind); });
  }

 private:
  bool AskRepeated(std::string_view kind) {
    for (const std::string& label : file_.Labels(kind)) {
      if (!AskSection(kind, label)) {
        return false;
      }
    }
    while (true) {
      out_ << "\nName of a further " << kind
           << " (lower-case letters, digits, dashes; empty for none): "
           << std::flush;
      const auto label = ReadLine();
      if (!label) {
        return false;
      }
      if (label->empty()) {
        return true;
      }
      if (!AskSection(kind, *label)) {
        return false;
      }
    }
  }

  bool AskSection(std::string_view kind, std::string_view label) {
    const std::string heading = Heading(kind, label);
    for (const question& asked : acaciaferry::Questions()) {
      const bool is_open =
          asked.section == kind && !file_.Has(heading, asked.key);
      if (is_open && !AskOne(heading, asked)) {
        return false;
      }
    }
    return true;
  }

  bool AskOne(const std::string& heading, const question& asked) {
    while (true) {
      Print(heading, asked);
      auto line = ReadLine();
      if (!line) {
        return false;
      }
      if (line->empty()) {
        *line = asked.default_answer;
      }
      if (IsAllowed(*line, asked)) {
        file_.Set(heading, asked.key, *line);
        return true;
      }
      out_ << "That is not an allowed answer.\n";
    }
  }

  void Print(const std::string& heading, const question& asked) {
    out_ << "\n[" << heading << "] " << asked.text << "\n  "
         << FormDescription(asked.form);
    const bool has_range = asked.form == answer_form::kNumber ||
                           asked.form == answer_form::kDecimal;
    if (has_range) {
      out_ << " from " << asked.low << " to " << asked.high;
    }
    if (!asked.unit.empty()) {
      out_ << " (" << asked.unit << ")";
    }
    out_ << ", for example " << asked.example;
    if (!asked.default_answer.empty()) {
      out_ << "; empty for " << asked.default_answer;
    }
    out_ << "\n> " << std::flush;
  }

  std::optional<std::string> ReadLine() {
    std::string line;
    if (!std::getline(in_, line)) {
      return std::nullopt;
    }
    const auto first = line.find_first_not_of(" \t\r");
    const auto last = line.find_last_not_of(" \t\r");
    return first == std::string::npos ? ""
                                      : line.substr(first, last - first + 1);
  }

  answers_file& file_;
  std::istream& in_;
  std::ostream& out_;
};

}  // namespace

bool RunDialogue(const std::string& path, std::istream& in, std::ostream& out) {
  answers_file file(path);
  if (!dialogue(file, in, out).Run()) {
    out << "\nThe answers so far are in " << path
        << "; call the same command to go on.\n";
    return false;
  }
  std::vector<setting_fault> faults;
  static_cast<void>(acaciaferry::ReadAnswers(file.Text(), faults));
  for (const setting_fault& fault : faults) {
    out << ToString(fault) << '\n';
  }
  out << (faults.empty() ? "\nAll answers fit together; they are in "
                         : "\nThese answers must be revised in ")
      << path << ".\n";
  return faults.empty();
}

}  // namespace ctl
