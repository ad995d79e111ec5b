#include "acaciaferry/routing/load_estimate.hpp"

#include <algorithm>

#include "acaciaferry/core/length_class.hpp"

namespace acaciaferry {
namespace internal {

// Delay of a dispatch to the target plus that of a report to this VM: a
// dispatch made less than this before a report arrived is not in that report.
constexpr duration kReportDelay = std::chrono::milliseconds(20);
// An older report is less accurate than this VM's own dispatches.
constexpr duration kMaxReportAge = std::chrono::seconds(5);
constexpr auto kLongPrompt = static_cast<double>(kLengthClassLimits[1]);

// A dispatch counts as overdue once it has taken this many times its predicted
// time; before that it is no evidence that the target is slower than it
// reports.
constexpr int kOverdueFactor = 2;

// Sums over this VM's dispatches to one target. "Reported" are those that are
// old enough to be in the target's last report, or all when there is no recent
// report.
struct dispatched_work {
  double reported_short{};
  double reported_long{};
  double unreported_short{};
  double unreported_long{};
  double unreported_kv_tokens{};
  double unreported_running{};
  double kv{};
  duration overdue{};
};

// Subtracts the prefill that the target has completed since the oldest
// unanswered dispatch, short prompts first.
void SubtractCompletedPrefill(dispatched_work& sum,
                              double completed_tokens) noexcept {
  const double from_short = std::min(sum.reported_short, completed_tokens);
  sum.reported_short -= from_short;
  sum.reported_long =
      std::max(0.0, sum.reported_long - (completed_tokens - from_short));
}

dispatched_work SumDispatches(std::span<const dispatch> own,
                              const target_rates& rates,
                              time_point reported_until,
                              time_point now) {
  dispatched_work sum;
  time_point oldest = now;
  for (const dispatch& each : own) {
    const bool is_in_report = each.started_at <= reported_until;
    const double pending = each.HasAnswered() ? 0 : each.prefill_tokens;
    if (is_in_report) {
      (each.is_long ? sum.reported_long : sum.reported_short) += pending;
    } else {
      (each.is_long ? sum.unreported_long : sum.unreported_short) += pending;
      sum.unreported_kv_tokens += each.kv_tokens;
      sum.unreported_running += 1;
    }
    sum.kv += each.kv_tokens;
    if (!each.HasAnswered()) {
      oldest = std::min(oldest, each.started_at);
      sum.overdue = std::max(
          sum.overdue,
          now - each.started_at - kOverdueFactor * each.predicted_first_token);
    }
  }
  SubtractCompletedPrefill(
      sum, ToSeconds(now - oldest) * rates.prefill_tokens_per_s);
  return sum;
}

load_estimate EstimateFromDispatches(const dispatched_work& own,
                                     std::size_t running) {
  return {.short_prefill_tokens = own.reported_short,
          .long_prefill_tokens = own.reported_long,
          .kv_used = own.kv,
          .running = static_cast<double>(running),
          .overdue = own.overdue};
}

}  // namespace internal

load_estimate EstimateLoad(const target& target,
                           std::span<const dispatch> own,
                           const target_rates& rates,
                           time_point now) {
  const duration age = std::max(duration::zero(), now - target.reported_at);
  if (!target.report || age > internal::kMaxReportAge) {
    load_estimate estimate = internal::EstimateFromDispatches(
        internal::SumDispatches(own, rates, time_point::max(), now),
        own.size());
    estimate.report_age = target.report ? age : duration::max();
    estimate.kv_capacity =
        target.report ? static_cast<double>(target.report->kv_capacity_tokens)
                      : 0;
    return estimate;
  }
  const load_report& report = *target.report;
  const internal::dispatched_work sum = internal::SumDispatches(
      own, rates, target.reported_at - internal::kReportDelay, now);
  const auto queued = static_cast<double>(report.queued_prefill_tokens);
  const double left =
      std::max(0.0, queued - ToSeconds(age) * rates.prefill_tokens_per_s);
  // The report has only the total of the queued prompts; a high mean shows that
  // they are long. The lengths of this VM's own prompts are known.
  const double own_long = std::min(left, sum.reported_long);
  const double rest = left - own_long;
  const auto waiting =
      static_cast<double>(std::max<std::uint64_t>(1, report.waiting));
  const bool rest_is_long = queued / waiting > internal::kLongPrompt;
  return {.short_prefill_tokens =
              std::max(rest_is_long ? 0 : rest, sum.reported_short) +
              sum.unreported_short,
          .long_prefill_tokens = std::max(own_long + (rest_is_long ? rest : 0),
                                          sum.reported_long) +
                                 sum.unreported_long,
          .kv_used = std::max(static_cast<double>(report.kv_used_tokens),
                              sum.kv - sum.unreported_kv_tokens) +
                     sum.unreported_kv_tokens,
          .kv_capacity = static_cast<double>(report.kv_capacity_tokens),
          .running = static_cast<double>(report.running + report.waiting) +
                     sum.unreported_running,
          .is_reported = true,
          .report_age = age,
          .overdue = sum.overdue};
}

}  // namespace acaciaferry
