#include "acaciaferry/administration/explanation.hpp"

#include <string>
#include <string_view>
#include <variant>

#include "acaciaferry/core/length_class.hpp"

namespace acaciaferry {
namespace internal {

using nlohmann::json;

// Adds the result of the request to its view.
struct result_writer {
  json& view;

  void operator()(const answer_completed& /*end*/) const {
    view["result"] = "answered";
  }
  void operator()(const abandoned_by_caller& /*end*/) const {
    view["result"] = "caller_gone";
  }
  void operator()(const failure& end) const {
    const failure_description& description = Describe(end.code);
    view["result"] = "failed";
    view["failure"] = {{"code", description.code},
                       {"outcome", ToString(end.result)},
                       {"meaning", description.message},
                       {"retryable", description.retryable}};
    if (end.retry_after) {
      view["failure"]["retry_after_ms"] = ToMilliseconds(*end.retry_after);
    }
  }
};

bool WasAdmitted(const request_history& value) noexcept {
  return value.admitted_at || value.attempts_made > 0;
}

// A request leaves the queue when its first attempt starts, or when it ends
// without an attempt.
time_point QueueExitTime(const request_history& value, time_point now) {
  if (!value.attempts.empty()) {
    return value.attempts.front().started_at;
  }
  return value.ended_at.value_or(now);
}

std::string AdmissionReason(const request_history& value) {
  const auto milliseconds = [](duration time) {
    return std::to_string(static_cast<std::int64_t>(ToMilliseconds(time)));
  };
  if (!WasAdmitted(value)) {
    const auto* const reason =
        value.end ? std::get_if<failure>(&*value.end) : nullptr;
    return reason == nullptr ? "answered without a run"
                             : std::string(Describe(reason->code).message);
  }
  if (!value.predicted) {
    return "started without a prediction";
  }
  const duration end = value.predicted->wait + value.predicted->run;
  const std::string limit =
      " of the time limit of " + milliseconds(value.time_limit) + " ms";
  return value.predicted->uses_reported_rates
             ? "predicted to take " + milliseconds(end) + " ms" + limit
             : "no target has reported its rates, so only the length of the "
               "queue was checked";
}

std::string_view AttemptResult(const request_history& value,
                               const attempt_history& each) {
  if (each.ended_by) {
    return ToString(*each.ended_by);
  }
  if (!value.end) {
    return "running";
  }
  return std::holds_alternative<answer_completed>(*value.end) ? "answered"
                                                              : "given_up";
}

json AttemptView(const request_history& value,
                 const attempt_history& each,
                 time_point now) {
  const time_point end = each.ended_at.value_or(value.ended_at.value_or(now));
  json view{{"number", each.number},
            {"target", each.target.value},
            {"started_ms", ToMilliseconds(each.started_at - value.arrived_at)},
            {"took_ms", ToMilliseconds(end - each.started_at)},
            {"resumes", each.resumes},
            {"result", AttemptResult(value, each)}};
  if (each.predicted_first_token) {
    view["predicted_first_token_ms"] =
        ToMilliseconds(*each.predicted_first_token);
  }
  return view;
}

void AddRequestFields(const request_history& value, json& view) {
  const bool is_completion = value.kind == request_kind::kCompletion;
  view["id"] = ToString(value.id);
  view["workspace"] = value.workspace.value;
  view["kind"] = is_completion ? "completion" : "service_call";
  if (is_completion) {
    view["prompt_tokens"] = value.prompt_tokens;
    view["length_class"] = ToString(ClassifyLength(value.prompt_tokens));
  }
  if (!value.workload.empty()) {
    view["workload"] = value.workload.value;
    view["pool"] = value.pool.value;
    view["time_limit_ms"] = ToMilliseconds(value.time_limit);
  }
  if (value.predicted) {
    view["predicted_wait_ms"] = ToMilliseconds(value.predicted->wait);
    view["predicted_first_token_ms"] =
        ToMilliseconds(value.predicted->first_token);
    view["predicted_run_ms"] = ToMilliseconds(value.predicted->run);
  }
}

}  // namespace internal

nlohmann::json ExplanationView(const request_history& value, time_point now) {
  nlohmann::json view;
  internal::AddRequestFields(value, view);
  view["admission"] = internal::WasAdmitted(value) ? "admitted" : "refused";
  view["admission_reason"] = internal::AdmissionReason(value);
  view["arrived_ago_ms"] = ToMilliseconds(now - value.arrived_at);
  view["queue_ms"] =
      ToMilliseconds(internal::QueueExitTime(value, now) - value.arrived_at);
  if (value.first_part_at) {
    view["first_part_ms"] =
        ToMilliseconds(*value.first_part_at - value.arrived_at);
  }
  if (value.ended_at) {
    view["ended_ms"] = ToMilliseconds(*value.ended_at - value.arrived_at);
  }
  view["attempts_made"] = value.attempts_made;
  view["attempts"] = nlohmann::json::array();
  for (const attempt_history& each : value.attempts) {
    view["attempts"].push_back(internal::AttemptView(value, each, now));
  }
  if (value.end) {
    std::visit(internal::result_writer{view}, *value.end);
  } else {
    view["result"] = "running";
  }
  return view;
}

}  // namespace acaciaferry
