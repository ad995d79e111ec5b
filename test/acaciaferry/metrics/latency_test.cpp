#include "acaciaferry/metrics/latency.hpp"

#include <algorithm>
#include <string>

#include "acaciaferry/metrics/registry.hpp"

#include <CppUTest/TestHarness.h>

using namespace acaciaferry;
using std::chrono::milliseconds;

namespace {

constexpr latency_labels kLongPromptLabels{request_kind::kCompletion,
                                           length_class::kOver128k,
                                           workspace_class::kSmall};

}  // namespace

TEST_GROUP(LatencyHistogram) {
  latency_histogram histogram;

  bool HasLine(const std::string& line) const {
    std::string text;
    histogram.AppendPrometheusText(text, "t", "Help.");
    return text.find("\n" + line + "\n") != std::string::npos;
  }
};

// Guards against buckets that are not cumulative, or that exclude a latency
// equal to their bound.
TEST(LatencyHistogram, BucketsAreCumulativeAndIncludeTheirBound) {
  histogram.Observe(kLongPromptLabels, milliseconds(540));
  histogram.Observe(kLongPromptLabels, milliseconds(541));
  histogram.Observe(kLongPromptLabels, std::chrono::hours(1));
  const std::string series =
      R"(kind="completion",length_class="over_128k",workspace_class="small")";
  CHECK_TRUE(HasLine("t_bucket{" + series + R"(,le="0.35"} 0)"));
  CHECK_TRUE(HasLine("t_bucket{" + series + R"(,le="0.54"} 1)"));
  CHECK_TRUE(HasLine("t_bucket{" + series + R"(,le="0.75"} 2)"));
  CHECK_TRUE(HasLine("t_bucket{" + series + R"(,le="1280.0"} 2)"));
  CHECK_TRUE(HasLine("t_bucket{" + series + R"(,le="+Inf"} 3)"));
  CHECK_TRUE(HasLine("t_count{" + series + "} 3"));
  CHECK_TRUE(HasLine("t_sum{" + series + "} 3601.081"));
}

// Guards against a latency that is counted in the wrong series, and against a
// length class for calls that have no prompt.
TEST(LatencyHistogram, ServiceCallsAndLargeWorkspacesHaveTheirOwnSeries) {
  histogram.Observe({request_kind::kServiceCall, length_class::kUpTo4k,
                     workspace_class::kLarge},
                    milliseconds(1));
  CHECK_TRUE(
      HasLine(R"(t_count{kind="service_call",workspace_class="large"} 1)"));
  CHECK_TRUE(
      HasLine(R"(t_count{kind="service_call",workspace_class="small"} 0)"));
  CHECK_EQUAL(0U, histogram.Summarize(length_class::kUpTo4k).count);
}

// Guards against quantiles that skip a workspace class or an empty bucket.
TEST(LatencyHistogram, SummaryCoversBothWorkspaceClasses) {
  latency_labels labels = kLongPromptLabels;
  for (int i = 0; i < 94; ++i) {
    histogram.Observe(labels, milliseconds(90));
  }
  labels.workspace = workspace_class::kLarge;
  for (int i = 0; i < 6; ++i) {
    histogram.Observe(labels, milliseconds(1'100));
  }
  const latency_summary summary = histogram.Summarize(length_class::kOver128k);
  CHECK_EQUAL(100U, summary.count);
  CHECK(summary.p50 == milliseconds(100));
  CHECK(summary.p95 == milliseconds(1'500));
  labels.length = length_class::kUpTo32k;
  histogram.Observe(labels, std::chrono::hours(1));
  CHECK(histogram.Summarize(length_class::kUpTo32k).p95 == duration::max());
  CHECK(histogram.Summarize(length_class::kUpTo4k).p95 == duration::zero());
}

// Guards against a label whose values grow with the number of workspaces.
TEST(LatencyHistogram, NumberOfLinesDoesNotDependOnRequests) {
  std::string before;
  histogram.AppendPrometheusText(before, "t", "Help.");
  histogram.Observe(kLongPromptLabels, milliseconds(1));
  std::string after;
  histogram.AppendPrometheusText(after, "t", "Help.");
  CHECK_EQUAL(std::count(before.begin(), before.end(), '\n'),
              std::count(after.begin(), after.end(), '\n'));
  CHECK(ClassifyWeight(1) == workspace_class::kSmall);
  CHECK(ClassifyWeight(3) == workspace_class::kLarge);
}
