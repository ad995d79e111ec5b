#include "acaciaferry/questionnaire/explain.hpp"

#include <algorithm>
#include <map>
#include <utility>

#include "acaciaferry/questionnaire/document.hpp"
#include "acaciaferry/questionnaire/question.hpp"

namespace acaciaferry {
namespace internal {

std::string FullName(const derived_setting& setting) {
  return setting.section + "." + setting.key;
}

// Splits `workload.audits.deadline_ms` at the last dot.
std::pair<std::string, std::string> SplitName(const std::string& name) {
  const std::size_t dot = name.rfind('.');
  return {name.substr(0, dot), name.substr(dot + 1)};
}

std::string QuestionText(const std::string& section, const std::string& key) {
  const std::string kind = section.substr(0, section.find('.'));
  for (const question& each : Questions()) {
    if (each.section == kind && each.key == key) {
      return std::string(each.text);
    }
  }
  return "";
}

std::string AnswerText(const ini_document& answers_file,
                       const std::string& section,
                       const std::string& key) {
  for (const ini_section& each : answers_file.sections) {
    const std::string heading =
        each.label.empty() ? each.kind : each.kind + "." + each.label;
    if (heading != section) {
      continue;
    }
    for (const ini_entry& entry : each.entries) {
      if (entry.key == key) {
        return entry.value;
      }
    }
  }
  return "";
}

// Returns what the settings of a section apply to, such as `workload audits`.
std::string ScopeOf(const std::string& section) {
  const std::size_t dot = section.find('.');
  if (dot == std::string::npos) {
    return "everybody";
  }
  return section.substr(0, dot) + " " + section.substr(dot + 1);
}

std::map<std::string, derived_setting> SettingsByName(const answers& given) {
  std::map<std::string, derived_setting> settings;
  for (derived_setting& each : DeriveSettings(given)) {
    settings.emplace(FullName(each), std::move(each));
  }
  return settings;
}

}  // namespace internal

std::optional<explanation> ExplainSetting(const answers& given,
                                          std::string_view name) {
  const auto settings = internal::SettingsByName(given);
  const auto found = settings.find(std::string(name));
  if (found == settings.end()) {
    return std::nullopt;
  }
  std::vector<setting_fault> faults;
  const ini_document answers_file = ParseIni(WriteAnswers(given, ""), faults);
  explanation result{found->second, {}};
  for (const std::string& source : found->second.sources) {
    const auto [section, key] = internal::SplitName(source);
    result.sources.push_back(
        {source, internal::QuestionText(section, key),
         internal::AnswerText(answers_file, section, key)});
  }
  return result;
}

std::vector<setting_change> CompareAnswers(const answers& before,
                                           const answers& after) {
  const auto old_settings = internal::SettingsByName(before);
  const auto new_settings = internal::SettingsByName(after);
  std::vector<setting_change> changes;
  for (const auto& [name, setting] : old_settings) {
    const auto found = new_settings.find(name);
    const std::string scope = internal::ScopeOf(setting.section);
    if (found == new_settings.end()) {
      changes.push_back(
          {change_kind::kRemoved, name, setting.value, "", scope});
    } else if (found->second.value != setting.value) {
      changes.push_back({change_kind::kChanged, name, setting.value,
                         found->second.value, scope});
    }
  }
  for (const auto& [name, setting] : new_settings) {
    if (!old_settings.contains(name)) {
      changes.push_back({change_kind::kAdded, name, "", setting.value,
                         internal::ScopeOf(setting.section)});
    }
  }
  std::sort(changes.begin(), changes.end(),
            [](const setting_change& a, const setting_change& b) {
              return a.name < b.name;
            });
  return changes;
}

}  // namespace acaciaferry
