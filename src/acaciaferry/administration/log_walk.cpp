#include "acaciaferry/administration/log_walk.hpp"

#include <algorithm>
#include <array>
#include <set>
#include <vector>

namespace acaciaferry {
namespace internal {
namespace {

struct known_end {
  std::string_view code;
  std::string_view sentence;
};

// What an operator looks at next for each way in which a request ends.
constexpr std::array<known_end, 9> kEnds{{
    {"shed",
     "The engines' time was short and the prompt would have kept more from "
     "others than it is worth, or would have been late. See `busy`."},
    {"span_unavailable",
     "No engines had the memory for the prompt within half of its aim."},
    {"no_live_target", "No target of the pool could be reached."},
    {"target_rejected", "The targets refused the request before it ran."},
    {"target_lost", "The connection ended while the request may have run."},
    {"answer_corrupt", "The answer broke off or was none."},
    {"deadline_exceeded", "The time was over while a target had the request."},
    {"no_configuration",
     "The VM had no confirmed configuration: see service_lost."},
    {"quarantined", "Targets failed while they ran this request."},
}};

std::string Value(std::string_view line, std::string_view key) {
  const std::string wanted = " " + std::string(key) + "=";
  const std::size_t at = line.find(wanted);
  if (at == std::string_view::npos) {
    return "";
  }
  line.remove_prefix(at + wanted.size());
  return std::string(line.substr(0, line.find(' ')));
}

std::string EventOf(std::string_view line) {
  const std::size_t at = line.find("event=");
  if (at == std::string_view::npos) {
    return "";
  }
  line.remove_prefix(at + std::string_view("event=").size());
  return std::string(line.substr(0, line.find(' ')));
}

std::string Conclusion(std::string_view last) {
  const std::string event = EventOf(last);
  if (event == "answered") {
    return "It was answered.";
  }
  if (event == "caller_left") {
    return "Its caller left.";
  }
  const std::string code = Value(last, "code");
  const auto* const found =
      std::find_if(kEnds.begin(), kEnds.end(),
                   [&](const known_end& each) { return each.code == code; });
  if (found != kEnds.end()) {
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
  std::string last;
  std::set<std::string> targets;
  for (std::string line; std::getline(log, line);) {
    const std::string event = internal::EventOf(line);
    const std::string subject = internal::Value(line, "id");
    if (event.empty() || (subject != id && !targets.contains(subject))) {
      continue;
    }
    text += line + "\n";
    if (subject != id) {
      continue;
    }
    last = line;
    if (event == "sent") {
      targets.insert(internal::Value(line, "target"));
    } else if (event == "answered" || event == "refused" || event == "failed" ||
               event == "caller_left") {
      targets.clear();
    }
  }
  if (last.empty()) {
    return std::nullopt;
  }
  return text + "\n" + internal::Conclusion(last) + "\n";
}

}  // namespace acaciaferry
