#include <array>
#include <cstdio>
#include <string>
#include <vector>

#include "acaciaferry/forwarding/flights.hpp"

namespace acaciaferry::forwarding::internal {
namespace {

// Hashes in hexadecimal, joined by plus signs.
std::string ToText(const std::vector<prompt_part>& parts) {
  std::string text;
  for (const prompt_part part : parts) {
    std::array<char, 24> digits{};
    std::snprintf(digits.data(), digits.size(), "%016llx",
                  static_cast<unsigned long long>(part));
    text += (text.empty() ? "" : "+") + std::string(digits.data());
  }
  return text;
}

}  // namespace

bool IsRefusedForParts(state& current, pending_call& pending, time_point now) {
  const call& request = pending.request;
  // An answer has begun on the parts of a stream that is resumed.
  if (pending.partially_delivered ||
      !HasRefusedParts(current.parts, request.shared_parts)) {
    return false;
  }
  pending.tests_refused_parts =
      pending.attempts == 0 &&
      (pending.tests_refused_parts ||
       TryTestParts(current.parts, current.self, request.shared_parts, now));
  return !pending.tests_refused_parts;
}

void RecordCrashOfParts(state& current,
                        const pending_call& pending,
                        time_point now,
                        effects& out) {
  const call& request = pending.request;
  if (request.shared_parts.empty()) {
    return;
  }
  const target_id& id = pending.running_attempt->target;
  const part_verdicts verdicts = RecordPartCrash(current.parts, current.self,
                                                 id, request.shared_parts, now);
  LogDecision(out, decision_kind::kTargetCrashed, request.caller_request_id,
              {{"target", id.value},
               {"parts", ToText(request.shared_parts)},
               {"crashes", std::to_string(current.parts.crashes.size())}});
  ApplyVerdicts(verdicts, out);
}

void RecordAnswer(state& current,
                  const pending_call& pending,
                  time_point now,
                  effects& out) {
  ApplyVerdicts(
      RecordAnswerBegun(current.parts, pending.request.shared_parts, now), out);
}

void ApplyVerdicts(const part_verdicts& verdicts, effects& out) {
  for (const auto& group : verdicts.added) {
    LogDecision(out, decision_kind::kPartRefused, ToText(group), {});
  }
  for (const auto& group : verdicts.dropped) {
    LogDecision(out, decision_kind::kPartCleared, ToText(group), {});
  }
  if (!verdicts.crashes_to_tell.empty()) {
    out.emplace_back(share_part_crashes{verdicts.crashes_to_tell});
  }
  if (!verdicts.to_tell.empty()) {
    out.emplace_back(share_begun_parts{verdicts.to_tell});
  }
}

}  // namespace acaciaferry::forwarding::internal
