#include "acaciaferry/questionnaire/answers.hpp"

#include <algorithm>

#include "acaciaferry/ini/reader.hpp"
#include "acaciaferry/questionnaire/question.hpp"

namespace acaciaferry {
namespace internal {

const question& FindQuestion(std::string_view section, std::string_view key) {
  const auto questions = Questions();
  return *std::find_if(questions.begin(), questions.end(),
                       [&](const question& each) {
                         return each.section == section && each.key == key;
                       });
}

// Reads the answers of one section and validates each against the range of its
// question.
class answer_reader {
 public:
  answer_reader(const ini_section& section, std::vector<setting_fault>& faults)
      : kind_(section.kind), reader_(section, faults) {}

  std::string Text(std::string_view key) {
    const question& definition = FindQuestion(kind_, key);
    const bool is_optional =
        !definition.default_answer.empty() || key == "path";
    return is_optional ? reader_.TextOr(key, definition.default_answer)
                       : reader_.Text(key);
  }

  std::uint64_t Number(std::string_view key) {
    const question& definition = FindQuestion(kind_, key);
    const auto low = static_cast<std::uint64_t>(definition.low);
    const auto high = static_cast<std::uint64_t>(definition.high);
    return definition.default_answer.empty()
               ? reader_.Number(key, low, high)
               : reader_.NumberOr(key, 0, low, high);
  }

  double Decimal(std::string_view key) {
    const question& definition = FindQuestion(kind_, key);
    return definition.default_answer.empty()
               ? reader_.Decimal(key, definition.low, definition.high)
               : reader_.DecimalOr(key, 0, definition.low, definition.high);
  }

  bool YesNo(std::string_view key) { return reader_.YesNo(key); }

  bool IsLarge(std::string_view key) {
    return reader_.Choice(key, {"small", "large"}) == "large";
  }

  harm HarmLevel(std::string_view key) {
    static const std::vector<std::string> kLevels{"none", "inconvenient",
                                                  "costly", "severe"};
    const std::string choice = reader_.Choice(key, kLevels);
    const auto found = std::find(kLevels.begin(), kLevels.end(), choice);
    return static_cast<harm>(found - kLevels.begin());
  }

  void RejectUnknownKeys() { reader_.RejectUnknownKeys(); }

 private:
  std::string kind_;
  ini_reader reader_;
};

model_answers ReadModel(const std::string& name, answer_reader& reader) {
  return {.name = name,
          .engines = reader.Number("engines"),
          .memory_tokens = reader.Number("memory_tokens"),
          .prefill_tokens_per_second =
              static_cast<double>(reader.Number("prefill_tokens_per_second")),
          .answer_tokens_per_second =
              static_cast<double>(reader.Number("answer_tokens_per_second")),
          .refuses_old_orders = reader.YesNo("refuses_old_orders"),
          .version = reader.Text("version"),
          .adapters = reader.Text("adapters")};
}

service_answers ReadService(const std::string& name, answer_reader& reader) {
  return {.name = name,
          .targets = reader.Number("targets"),
          .deduplicates = reader.YesNo("deduplicates")};
}

workload_answers ReadWorkload(const std::string& name, answer_reader& reader) {
  return {.name = name,
          .runs_on = reader.Text("runs_on"),
          .longest_prompt_tokens = reader.Number("longest_prompt_tokens"),
          .typical_prompt_tokens = reader.Number("typical_prompt_tokens"),
          .longest_answer_tokens = reader.Number("longest_answer_tokens"),
          .method = reader.Text("method"),
          .path = reader.Text("path"),
          .requests_per_minute = reader.Decimal("requests_per_minute"),
          .answer_within_seconds = reader.Decimal("answer_within_seconds"),
          .safe_to_repeat = reader.YesNo("safe_to_repeat"),
          .if_late = reader.HarmLevel("harm_if_late"),
          .if_lost = reader.HarmLevel("harm_if_lost"),
          .if_repeated = reader.HarmLevel("harm_if_repeated")};
}

workspace_answers ReadWorkspace(const std::string& name,
                                answer_reader& reader) {
  return {.name = name,
          .token_digest = reader.Text("token_digest"),
          .is_large = reader.IsLarge("size"),
          .limit_tokens_per_second = reader.Decimal("limit_tokens_per_second")};
}

void ReadTeam(answer_reader& reader, answers& result) {
  result.name = reader.Text("name");
  result.entry_vms = reader.Number("entry_vms");
  result.failure_domains = reader.Number("failure_domains");
  result.weight_store_reads_per_second =
      reader.Decimal("weight_store_reads_per_second");
}

void ReadPriorities(answer_reader& reader, answers& result) {
  result.short_requests = reader.Decimal("short_requests");
  result.long_requests = reader.Decimal("long_requests");
}

bool IsLabelValid(const ini_section& section) {
  constexpr std::string_view kAllowed = "abcdefghijklmnopqrstuvwxyz0123456789-";
  return IsRepeated(section.kind)
             ? !section.label.empty() && section.label.find_first_not_of(
                                             kAllowed) == std::string::npos
             : section.label.empty();
}

void ReadSection(const ini_section& section,
                 std::vector<setting_fault>& faults,
                 answers& result) {
  answer_reader reader(section, faults);
  if (section.kind == "team") {
    ReadTeam(reader, result);
  } else if (section.kind == "priorities") {
    ReadPriorities(reader, result);
  } else if (section.kind == "model") {
    result.models.push_back(ReadModel(section.label, reader));
  } else if (section.kind == "service") {
    result.services.push_back(ReadService(section.label, reader));
  } else if (section.kind == "workload") {
    result.workloads.push_back(ReadWorkload(section.label, reader));
  } else if (section.kind == "workspace") {
    result.workspaces.push_back(ReadWorkspace(section.label, reader));
  } else {
    faults.push_back({section.kind, section.label, "",
                      "the sections team, priorities, model.NAME, "
                      "service.NAME, workload.NAME and workspace.NAME"});
    return;
  }
  reader.RejectUnknownKeys();
}

}  // namespace internal

answers ParseAnswers(const ini_document& document,
                     std::vector<setting_fault>& faults) {
  answers result;
  for (const ini_section& section : document.sections) {
    if (!internal::IsLabelValid(section)) {
      faults.push_back({section.kind, "", section.label,
                        "a name of lower-case letters, digits and dashes"});
      continue;
    }
    internal::ReadSection(section, faults, result);
  }
  for (const std::string_view kind :
       {"team", "priorities", "workload", "workspace"}) {
    const bool found = std::any_of(
        document.sections.begin(), document.sections.end(),
        [kind](const ini_section& each) { return each.kind == kind; });
    if (!found) {
      faults.push_back(
          {std::string(kind), "", "(missing)", "at least one such section"});
    }
  }
  return result;
}

answers ReadAnswers(std::string_view text, std::vector<setting_fault>& faults) {
  const ini_document document = ParseIni(text, faults);
  answers result = ParseAnswers(document, faults);
  if (faults.empty()) {
    CheckAnswers(result, faults);
  }
  return result;
}

}  // namespace acaciaferry
