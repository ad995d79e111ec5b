#include "acaciaferry/administration/log_walk.hpp"

#include <algorithm>
#include <array>
#include <set>
#include <vector>

namespace acaciaferry {
namespace internal {
namespace {

struct outcome_explanation {
  std::string_view code;
  std::string_view sentence;
};

// Explains to an operator the codes that a request ends with, and names what to
// look at next.
constexpr std::array<outcome_explanation, 11> kOutcomeExplanations{{
    {"shed",
     "The engines' time was short and the prompt would have kept more from "
     "others than it is worth, or would have been late. See `busy`."},
    {"span_unavailable",
     "No engines had the memory for the prompt within half of its aim."},
    {"target_limit",
     "The targets of the pool had said how much they take, and got as much."},
    {"no_live_target", "No target of the pool could be reached."},
    {"pool_evacuated",
     "All targets of the pool are in failure domains that are evacuated."},
    {"target_rejected", "The targets refused the request before it ran."},
    {"target_lost", "The connection ended while the request may have run."},
    {"answer_corrupt", "The answer broke off or was none."},
    {"deadline_exceeded", "The time was over while a target had the request."},
    {"no_configuration",
     "The VM had no confirmed configuration: see service_lost."},
    {"quarantined", "Targets failed while they ran this request."},
}};

std::string FieldValue(std::string_view line, std::string_view key) {
  const std::string wanted = " " + std::string(key) + "=";
  const std::size_t at = line.find(wanted);
  if (at == std::string_view::npos) {
    return "";
  }
  line.remove_prefix(at + wanted.size());
  return std::string(line.substr(0, line.find(' ')));
}

std::string EventKind(std::string_view line) {
  const std::size_t at = line.find("event=");
  if (at == std::string_view::npos) {
    return "";
  }
  line.remove_prefix(at + std::string_view("event=").size());
  return std::string(line.substr(0, line.find(' ')));
}

std::string ExplainOutcome(std::string_view last_line) {
  const std::string event = EventKind(last_line);
  if (event == "answered") {
    return "It was answered.";
  }
  if (event == "caller_left") {
    return "Its caller left.";
  }
  const std::string code = FieldValue(last_line, "code");
  const auto* const found = std::find_if(
      kOutcomeExplanations.begin(), kOutcomeExplanations.end(),
      [&](const outcome_explanation& each) { return each.code == code; });
  if (found != kOutcomeExplanations.end()) {
    return std::string(found->sentence);
  }
  return code.empty() ? "The log ends while it ran."
                      : "It ended with " + code + ".";
}

}  // namespace
}  // namespace internal

std::optional<std::string> ExplainFromLog(std::istream& log,
                                          std::string_view id) {
  std::string text;
  std::string last_line;
  std::set<std::string> targets;
  for (std::string line; std::getline(log, line);) {
    const std::string event = internal::EventKind(line);
    const std::string subject_id = internal::FieldValue(line, "id");
    if (event.empty() || (subject_id != id && !targets.contains(subject_id))) {
      continue;
    }
    text += line + "\n";
    if (subject_id != id) {
      continue;
    }
    last_line = line;
    if (event == "sent") {
      targets.insert(internal::FieldValue(line, "target"));
    } else if (event == "answered" || event == "refused" || event == "failed" ||
               event == "caller_left") {
      targets.clear();
    }
  }
  if (last_line.empty()) {
    return std::nullopt;
  }
  return text + "\n" + internal::ExplainOutcome(last_line) + "\n";
}

}  // namespace acaciaferry
