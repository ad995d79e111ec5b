#include "acaciaferry/entry/entry_metrics.hpp"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace acaciaferry;
using namespace acaciaferry::entry;
using std::chrono::milliseconds;

namespace {

bool Contains(const std::string& text, const std::string& line) {
  return ("\n" + text).find("\n" + line + "\n") != std::string::npos;
}

}  // namespace

TEST_GROUP(EntryMetrics){};

// Collectors reject a histogram whose sum or count is missing or differs from
// its buckets.
TEST(EntryMetrics, HistogramsHaveSumAndCount) {
  entry_metrics metrics;
  forwarding::record_latency observed;
  observed.queued = milliseconds(20);
  observed.first_event = milliseconds(250);
  observed.total = milliseconds(500);
  metrics.Observe(observed);
  metrics.Observe(observed);
  const std::string text = metrics.ToPrometheusText(decision_log("vm"), {});
  CHECK_TRUE(
      Contains(text,
               "acaciaferry_whole_answer_seconds_sum{kind=\"service_call\"} "
               "1.000000"));
  CHECK_TRUE(Contains(
      text, "acaciaferry_whole_answer_seconds_count{kind=\"service_call\"} 2"));
  CHECK_TRUE(Contains(text,
                      "acaciaferry_whole_answer_seconds_bucket{kind=\"service_"
                      "call\",le=\"+Inf\"} 2"));
  CHECK_TRUE(Contains(
      text, "acaciaferry_queued_seconds_sum{kind=\"service_call\"} 0.040000"));
  // Without a gap between events nothing is recorded.
  CHECK_TRUE(Contains(
      text, "acaciaferry_longest_gap_seconds_count{kind=\"service_call\"} 0"));
}

// Retries must be distinguishable by reason, and an unknown age must not look
// like a recent one.
TEST(EntryMetrics, CountsRepeatsByReasonAndReportsAges) {
  entry_metrics metrics;
  metrics.CountRepeat("silent");
  metrics.CountRepeat("silent");
  metrics.CountRepeat("broken");
  entry_gauges gauges;
  gauges.load_update_age_s = 1.5;
  gauges.limited_targets = 2;
  gauges.cold_targets = 3;
  gauges.missing_entries = 3;
  const std::string text = metrics.ToPrometheusText(decision_log("vm"), gauges);
  CHECK_TRUE(Contains(text, "acaciaferry_repeats_total{reason=\"silent\"} 2"));
  CHECK_TRUE(Contains(text, "acaciaferry_repeats_total{reason=\"broken\"} 1"));
  CHECK_TRUE(Contains(text, "acaciaferry_load_news_age_seconds 1.500000"));
  CHECK_TRUE(Contains(text, "acaciaferry_limited_targets 2"));
  CHECK_TRUE(Contains(text, "acaciaferry_cold_targets 3"));
  CHECK_TRUE(Contains(text, "acaciaferry_oldest_hello_age_seconds -1.000000"));
  CHECK_TRUE(Contains(text, "acaciaferry_view_complete 0"));
  CHECK_TRUE(Contains(text, "acaciaferry_missing_entries 3"));
}

// Guards against an operator who can't see which failure domains a VM takes for
// evacuated and what still runs there, and against names that break the format.
TEST(EntryMetrics, ReportsEvacuations) {
  const entry_metrics metrics;
  entry_gauges gauges;
  gauges.evacuations = {{{"a"}, 3}, {{"b\"\\\n"}, 0}};
  const std::string text = metrics.ToPrometheusText(decision_log("vm"), gauges);
  CHECK_TRUE(Contains(text, "acaciaferry_domain_evacuated{domain=\"a\"} 1"));
  CHECK_TRUE(Contains(text, "acaciaferry_evacuated_attempts{domain=\"a\"} 3"));
  CHECK_TRUE(Contains(
      text, "acaciaferry_evacuated_attempts{domain=\"b\\\"\\\\\\n\"} 0"));
}

// Guards against callers that are dropped without a trace for operators.
TEST(EntryMetrics, DroppedCallersAndHeldRequestsAreShown) {
  entry_metrics metrics;
  metrics.CountDrop(net::drop_reason::kStalled);
  metrics.CountDrop(net::drop_reason::kIdle);
  metrics.CountDrop(net::drop_reason::kIdle);
  entry_gauges gauges;
  gauges.request_bytes = {10, 20, 30};
  gauges.request_bytes_limit = 1'000;
  gauges.requests_waiting = 4;
  gauges.descriptors = 50;
  gauges.descriptor_limit = 96;
  const std::string text = metrics.ToPrometheusText(decision_log("vm"), gauges);
  for (const std::string line :
       {"acaciaferry_dropped_callers_total{reason=\"stalled\"} 1",
        "acaciaferry_dropped_callers_total{reason=\"idle\"} 2",
        "acaciaferry_dropped_callers_total{reason=\"no_room\"} 0",
        "acaciaferry_held_request_bytes{kind=\"reading\"} 10",
        "acaciaferry_held_request_bytes{kind=\"complete\"} 20",
        "acaciaferry_held_request_bytes{kind=\"tunnel\"} 30",
        "acaciaferry_request_bytes_limit 1000",
        "acaciaferry_requests_waiting 4", "acaciaferry_descriptors 50",
        "acaciaferry_descriptor_limit 96"}) {
    CHECK_TRUE(Contains(text, line));
  }
}

// Guards against refusals for want of slots that can't be told apart by reason.
TEST(EntryMetrics, CountsDecisionsOnSlots) {
  entry_gauges gauges;
  gauges.slots.scarce = 9;
  gauges.slots.admitted_after_wait = 3;
  gauges.slots.admitted_on_return = 2;
  gauges.slots.refusals[static_cast<std::size_t>(
      forwarding::slot_refusal::kWorkspaceShare)] = 4;
  gauges.waiting_for_slots = 5;
  gauges.remembered_callers = 6;
  const std::string text =
      entry_metrics().ToPrometheusText(decision_log("vm"), gauges);
  CHECK_TRUE(Contains(
      text, "acaciaferry_slot_refusals_total{reason=\"workspace_share\"} 4"));
  CHECK_TRUE(
      Contains(text, "acaciaferry_slot_refusals_total{reason=\"no_slot\"} 0"));
  CHECK_TRUE(Contains(text, "acaciaferry_slot_decisions_total 9"));
  CHECK_TRUE(Contains(text, "acaciaferry_slots_after_wait_total 3"));
  CHECK_TRUE(Contains(text, "acaciaferry_slots_on_return_total 2"));
  CHECK_TRUE(Contains(text, "acaciaferry_waiting_for_slots 5"));
  CHECK_TRUE(Contains(text, "acaciaferry_remembered_callers 6"));
}
