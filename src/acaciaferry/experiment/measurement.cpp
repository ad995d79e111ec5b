#include "acaciaferry/experiment/measurement.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <nlohmann/json.hpp>

#include "acaciaferry/core/failure.hpp"
#include "acaciaferry/core/length_class.hpp"

namespace acaciaferry {
namespace internal {

// Divisors of the sending time that give the warm-up. Requests sent during it
// meet an empty fleet and are left out of the percentiles. Overload needs a
// longer warm-up: until queues have grown for the longest deadline, even a
// fleet that will answer nothing in time shows good figures.
constexpr int kWarmUpDivisor = 10;
constexpr int kOverloadWarmUpDivisor = 2;
constexpr double kP50 = 0.50;
constexpr double kP95 = 0.95;
constexpr double kP99 = 0.99;

std::string_view ReportedClass(const traffic_request& request) {
  return request.request.kind == request_kind::kServiceCall
             ? kServiceCallClass
             : ToString(ClassifyLength(request.prompt_tokens));
}

bool IsOverload(const run_plan& plan) noexcept {
  return plan.load > 1;
}

duration WarmUpTime(const run_plan& plan) noexcept {
  if (plan.scenario == scenario_kind::kIdle) {
    return duration{};
  }
  return plan.send_duration /
         (IsOverload(plan) ? kOverloadWarmUpDivisor : kWarmUpDivisor);
}

class class_statistics {
 public:
  class_statistics(const run_plan& plan, std::string_view name) {
    row_.plan = plan;
    row_.length_class = name;
  }

  void Add(const traffic_request& sent_request,
           const request_observation& observed) {
    const bool in_time = observed.result != request_result::kPending &&
                         observed.total_time <= observed.deadline;
    row_.late += in_time ? 0 : 1;
    row_.duplicated +=
        !sent_request.idempotent && observed.executions > 1 ? 1 : 0;
    const bool answered = observed.result == request_result::kAnswered;
    if (answered && in_time && CountsForGoodput(sent_request, observed)) {
      ++in_time_;
      in_time_tokens_ += sent_request.prompt_tokens;
    }
    if (sent_request.sent < WarmUpTime(row_.plan)) {
      return;
    }
    ++row_.requests;
    row_.answered += answered ? 1 : 0;
    row_.refused += observed.result == request_result::kRefused ? 1 : 0;
    row_.failed += observed.result == request_result::kFailed ? 1 : 0;
    if (observed.reason) {
      ++row_.reasons[Describe(*observed.reason).code];
    }
    const bool has_first_token = answered && observed.time_to_first_token;
    ttft_ms_.push_back(ToMilliseconds(
        has_first_token ? *observed.time_to_first_token : observed.deadline));
  }

  [[nodiscard]] measurement_row MakeRow(const simulation_result& result) {
    std::sort(ttft_ms_.begin(), ttft_ms_.end());
    row_.ttft_p50_ms = Percentile(ttft_ms_, kP50);
    row_.ttft_p95_ms = Percentile(ttft_ms_, kP95);
    row_.ttft_p99_ms = Percentile(ttft_ms_, kP99);
    const bool idle = row_.plan.scenario == scenario_kind::kIdle;
    const duration window = (idle ? result.elapsed : row_.plan.send_duration) -
                            WarmUpTime(row_.plan);
    const double seconds = ToSeconds(window);
    row_.goodput = static_cast<double>(in_time_) / seconds;
    row_.goodput_tokens = static_cast<double>(in_time_tokens_) / seconds;
    row_.leaked_bytes = result.leaked_bytes;
    return row_;
  }

 private:
  // In overload, the time of the answer must be in the measured window, because
  // the last requests are answered after the load has ended. Otherwise the time
  // of sending must be, so that policies that answer every request in time have
  // equal goodput.
  [[nodiscard]] bool CountsForGoodput(
      const traffic_request& sent_request,
      const request_observation& observed) const {
    if (!IsOverload(row_.plan)) {
      return sent_request.sent >= WarmUpTime(row_.plan);
    }
    const duration answered = sent_request.sent + observed.total_time;
    return answered >= WarmUpTime(row_.plan) &&
           answered < row_.plan.send_duration;
  }

  measurement_row row_;
  std::uint64_t in_time_{};
  std::uint64_t in_time_tokens_{};
  std::vector<double> ttft_ms_;
};

bool SameExceptScenario(const run_plan& a, const run_plan& b) noexcept {
  return a.deployment == b.deployment && a.policy == b.policy &&
         a.load == b.load && a.seed == b.seed;
}

}  // namespace internal

double Percentile(std::span<const double> sorted, double quantile) noexcept {
  if (sorted.empty()) {
    return 0;
  }
  const double position =
      std::ceil(quantile * static_cast<double>(sorted.size()));
  const auto index = static_cast<std::size_t>(std::max(position, 1.0)) - 1;
  return sorted[std::min(index, sorted.size() - 1)];
}

std::vector<measurement_row> Measure(const run_plan& plan) {
  const std::vector<traffic_request> traffic = MakeTraffic(plan);
  const simulation_plan simulation = MakeSimulationPlan(plan);
  const simulation_result result = Simulate(simulation, traffic);
  std::vector<measurement_row> rows;
  for (const std::string_view name :
       {ToString(length_class::kUpTo4k), ToString(length_class::kUpTo32k),
        ToString(length_class::kUpTo128k), ToString(length_class::kOver128k),
        kServiceCallClass}) {
    internal::class_statistics statistics(plan, name);
    for (std::size_t i = 0; i < traffic.size(); ++i) {
      if (internal::ReportedClass(traffic[i]) == name) {
        statistics.Add(traffic[i], result.requests[i]);
      }
    }
    measurement_row row = statistics.MakeRow(result);
    if (row.requests > 0) {
      rows.push_back(row);
    }
  }
  return rows;
}

void AddSlowdowns(std::vector<measurement_row>& rows) {
  const std::string_view short_class = ToString(length_class::kUpTo4k);
  for (const measurement_row& reference : rows) {
    if (reference.plan.scenario != scenario_kind::kShortOnly ||
        reference.length_class != short_class || reference.ttft_p95_ms <= 0) {
      continue;
    }
    for (measurement_row& row : rows) {
      if (row.length_class == short_class &&
          row.plan.scenario != scenario_kind::kIdle &&
          internal::SameExceptScenario(row.plan, reference.plan)) {
        row.short_slowdown_p95 = row.ttft_p95_ms / reference.ttft_p95_ms;
      }
    }
  }
}

std::string ToJson(const measurement_row& row) {
  nlohmann::ordered_json json{{"deployment", ToString(row.plan.deployment)},
                              {"policy", ToString(row.plan.policy)},
                              {"scenario", ToString(row.plan.scenario)},
                              {"load", row.plan.load},
                              {"seed", row.plan.seed},
                              {"length_class", row.length_class},
                              {"requests", row.requests},
                              {"ttft_p50_ms", row.ttft_p50_ms},
                              {"ttft_p95_ms", row.ttft_p95_ms},
                              {"ttft_p99_ms", row.ttft_p99_ms},
                              {"short_slowdown_p95", nullptr},
                              {"goodput", row.goodput},
                              {"goodput_tokens", row.goodput_tokens},
                              {"answered", row.answered},
                              {"refused", row.refused},
                              {"failed", row.failed},
                              {"reasons", row.reasons},
                              {"late", row.late},
                              {"duplicated", row.duplicated},
                              {"leaked_bytes", row.leaked_bytes}};
  if (row.short_slowdown_p95) {
    json["short_slowdown_p95"] = *row.short_slowdown_p95;
  }
  return json.dump();
}

}  // namespace acaciaferry
