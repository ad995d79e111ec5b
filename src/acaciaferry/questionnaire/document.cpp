#include "acaciaferry/questionnaire/document.hpp"

#include <Poco/DigestEngine.h>
#include <Poco/SHA2Engine.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <map>
#include <utility>

#include "acaciaferry/questionnaire/derive.hpp"

namespace acaciaferry {
namespace internal {

constexpr std::string_view kAnswerPrefix = "answer-";
constexpr std::string_view kGeneratorSection = "generator";

std::string_view HarmName(harm value) {
  constexpr std::array<std::string_view, 4> kNames{"none", "inconvenient",
                                                   "costly", "severe"};
  return kNames[static_cast<std::size_t>(value)];
}

class ini_writer {
 public:
  void Section(std::string_view prefix,
               std::string_view kind,
               std::string_view label) {
    text_.append(text_.empty() ? "[" : "\n[").append(prefix).append(kind);
    if (!label.empty()) {
      text_.append(".").append(label);
    }
    text_.append("]\n");
  }

  void Entry(std::string_view key, std::string_view value) {
    text_.append(key).append(" = ").append(value).append("\n");
  }

  void Entry(std::string_view key, std::uint64_t value) {
    Entry(key, std::string_view(std::to_string(value)));
  }

  // Writes without an exponent, since ini_reader::Number does not accept one.
  void Entry(std::string_view key, double value) {
    std::array<char, 32> digits{};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(),
                                   value, std::chars_format::fixed);
    Entry(key, std::string_view(digits.data(), static_cast<std::size_t>(
                                                   end.ptr - digits.data())));
  }

  void Entry(std::string_view key, harm value) { Entry(key, HarmName(value)); }

  void YesNo(std::string_view key, bool value) {
    Entry(key, std::string_view(value ? "yes" : "no"));
  }

  [[nodiscard]] std::string Take() && { return std::move(text_); }

 private:
  std::string text_;
};

void WriteWorkload(ini_writer& out, const workload_answers& each) {
  out.Entry("runs_on", each.runs_on);
  out.Entry("longest_prompt_tokens", each.longest_prompt_tokens);
  out.Entry("typical_prompt_tokens", each.typical_prompt_tokens);
  out.Entry("longest_answer_tokens", each.longest_answer_tokens);
  out.Entry("method", each.method);
  out.Entry("path", each.path);
  out.Entry("requests_per_minute", each.requests_per_minute);
  out.Entry("answer_within_seconds", each.answer_within_seconds);
  out.YesNo("safe_to_repeat", each.safe_to_repeat);
  out.Entry("harm_if_late", each.if_late);
  out.Entry("harm_if_lost", each.if_lost);
  out.Entry("harm_if_repeated", each.if_repeated);
}

std::string WriteSettings(const answers& given) {
  ini_writer out;
  std::string section;
  for (const derived_setting& each : DeriveSettings(given)) {
    if (each.section != section) {
      section = each.section;
      out.Section("", section, "");
    }
    out.Entry(each.key, each.value);
  }
  return std::move(out).Take();
}

// Digest over all sections except the generator section, in a canonical form
// that does not depend on spaces, comments or the order of lines.
std::string Digest(const ini_document& document) {
  Poco::SHA2Engine engine(Poco::SHA2Engine::SHA_256);
  const auto add = [&engine](const std::string& text) {
    engine.update(text + '\n');
  };
  for (const ini_section& section : document.sections) {
    if (section.kind == kGeneratorSection) {
      continue;
    }
    add("[" + section.kind + "." + section.label + "]");
    for (const ini_entry& entry : section.entries) {
      add(entry.key + "=" + entry.value);
    }
  }
  return Poco::DigestEngine::digestToHex(engine.digest());
}

using setting_map = std::map<std::pair<std::string, std::string>, std::string>;

// Maps section and key to the value, without the answer sections and the
// generator section.
setting_map CollectSettings(const ini_document& document) {
  setting_map settings;
  for (const ini_section& section : document.sections) {
    const bool is_settings_section = section.kind != kGeneratorSection &&
                                     !section.kind.starts_with(kAnswerPrefix);
    const std::string heading = section.label.empty()
                                    ? section.kind
                                    : section.kind + "." + section.label;
    for (const ini_entry& entry : section.entries) {
      if (is_settings_section) {
        settings[{heading, entry.key}] = entry.value;
      }
    }
  }
  return settings;
}

bool ReportDifferences(const setting_map& published,
                       const setting_map& generated,
                       std::vector<setting_fault>& faults) {
  const std::size_t before = faults.size();
  for (const auto& [key, value] : published) {
    const auto found = generated.find(key);
    if (found == generated.end()) {
      faults.push_back({key.first, key.second, value,
                        "no such setting follows from the answers"});
    } else if (found->second != value) {
      faults.push_back({key.first, key.second, value,
                        found->second + ", as it follows from the answers"});
    }
  }
  for (const auto& [key, value] : generated) {
    if (!published.contains(key)) {
      faults.push_back({key.first, key.second, "(missing)",
                        value + ", as it follows from the answers"});
    }
  }
  return faults.size() != before;
}

ini_document ExtractAnswers(const ini_document& document) {
  ini_document extracted;
  for (const ini_section& section : document.sections) {
    if (section.kind.starts_with(kAnswerPrefix)) {
      extracted.sections.push_back({section.kind.substr(kAnswerPrefix.size()),
                                    section.label, section.entries});
    }
  }
  return extracted;
}

std::string GeneratorEntry(const ini_document& document, std::string_view key) {
  for (const ini_section& section : document.sections) {
    if (section.kind != kGeneratorSection) {
      continue;
    }
    for (const ini_entry& entry : section.entries) {
      if (entry.key == key) {
        return entry.value;
      }
    }
  }
  return "";
}

}  // namespace internal

std::string_view ToString(document_verdict verdict) noexcept {
  switch (verdict) {
    case document_verdict::kMatchesAnswers:
      return "follows";
    case document_verdict::kDigestOnly:
      return "digest_only";
    case document_verdict::kInvalidAnswers:
      return "bad_answers";
    case document_verdict::kSettingsMismatch:
      return "edited";
    case document_verdict::kDigestMismatch:
      return "bad_digest";
  }
  return "unknown";
}

std::string WriteAnswers(const answers& given, std::string_view prefix) {
  internal::ini_writer out;
  out.Section(prefix, "team", "");
  out.Entry("name", given.name);
  out.Entry("entry_vms", given.entry_vms);
  out.Entry("failure_domains", given.failure_domains);
  out.Entry("weight_store_reads_per_second",
            given.weight_store_reads_per_second);
  out.Section(prefix, "priorities", "");
  out.Entry("short_requests", given.short_requests);
  out.Entry("long_requests", given.long_requests);
  for (const model_answers& each : given.models) {
    out.Section(prefix, "model", each.name);
    out.Entry("engines", each.engines);
    out.Entry("memory_tokens", each.memory_tokens);
    out.Entry("prefill_tokens_per_second", each.prefill_tokens_per_second);
    out.Entry("answer_tokens_per_second", each.answer_tokens_per_second);
    out.YesNo("refuses_old_orders", each.refuses_old_orders);
    out.Entry("version", each.version);
    out.Entry("adapters", each.adapters);
  }
  for (const service_answers& each : given.services) {
    out.Section(prefix, "service", each.name);
    out.Entry("targets", each.targets);
    out.YesNo("deduplicates", each.deduplicates);
  }
  for (const workload_answers& each : given.workloads) {
    out.Section(prefix, "workload", each.name);
    internal::WriteWorkload(out, each);
  }
  for (const workspace_answers& each : given.workspaces) {
    out.Section(prefix, "workspace", each.name);
    out.Entry("token_digest", each.token_digest);
    out.Entry("size", std::string_view(each.is_large ? "large" : "small"));
    out.Entry("limit_tokens_per_second", each.limit_tokens_per_second);
  }
  return std::move(out).Take();
}

std::string GenerateDocument(const answers& given) {
  const std::string content = internal::WriteSettings(given) + "\n" +
                              WriteAnswers(given, internal::kAnswerPrefix);
  std::vector<setting_fault> faults;
  internal::ini_writer out;
  out.Section("", internal::kGeneratorSection, "");
  out.Entry("version", kGeneratorVersion);
  out.Entry("digest", internal::Digest(ParseIni(content, faults)));
  return std::move(out).Take() + "\n" + content;
}

document_verdict CheckDocument(std::string_view text,
                               std::vector<setting_fault>& faults) {
  const ini_document document = ParseIni(text, faults);
  if (internal::GeneratorEntry(document, "digest") !=
      internal::Digest(document)) {
    faults.push_back({"generator", "digest",
                      internal::GeneratorEntry(document, "digest"),
                      "the digest of the content; the document was changed "
                      "after it was generated"});
    return document_verdict::kDigestMismatch;
  }
  if (internal::GeneratorEntry(document, "version") != kGeneratorVersion) {
    return document_verdict::kDigestOnly;
  }
  const answers given =
      ParseAnswers(internal::ExtractAnswers(document), faults);
  if (faults.empty()) {
    CheckAnswers(given, faults);
  }
  if (!faults.empty()) {
    return document_verdict::kInvalidAnswers;
  }
  const ini_document expected =
      ParseIni(internal::WriteSettings(given), faults);
  return internal::ReportDifferences(internal::CollectSettings(document),
                                     internal::CollectSettings(expected),
                                     faults)
             ? document_verdict::kSettingsMismatch
             : document_verdict::kMatchesAnswers;
}

}  // namespace acaciaferry
