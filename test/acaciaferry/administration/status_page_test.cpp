#include "acaciaferry/administration/status_page.hpp"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace acaciaferry;

namespace {

class fixed_clock final : public clock_source {
 public:
  [[nodiscard]] time_point Now() const noexcept override { return {}; }
};

}  // namespace

TEST_GROUP(StatusPage) {
  fixed_clock clock;
  metrics_registry metrics;
  state current;
  administration_context context{
      [this](const std::function<void(const state&)>& function) {
        function(current);
      },
      [] {}, clock, metrics};

  bool PageContains(const std::string& part) const {
    return StatusPage(context, true).find(part) != std::string::npos;
  }
};

// Guards against markup in a name becoming part of the page.
TEST(StatusPage, EscapesNames) {
  current.self.vm = {"<script>alert(\"1\")</script>&"};
  CHECK_FALSE(PageContains("<script"));
  CHECK_TRUE(
      PageContains("&lt;script&gt;alert(&quot;1&quot;)&lt;/script&gt;&amp;"));
}

// Guards against targets, latencies or refusals that are missing or counted
// in the wrong row.
TEST(StatusPage, ShowsCounts) {
  target reporting{.id = {"e1"}, .failure_domain = {"tx-a"}};
  reporting.report.emplace();
  reporting.report->running = 4;
  reporting.report->waiting = 5;
  current.targets.targets = {
      reporting,
      {.id = {"e2"}, .failure_domain = {"tx-a"}, .leaving = true},
      {.id = {"e3"}, .failure_domain = {"tx-b"}}};
  metrics.TimeToFirstToken().Observe(
      {request_kind::kCompletion, length_class::kUpTo32k},
      std::chrono::milliseconds(90));
  metrics.Count(failure_code::kShed);
  const auto row = [](const std::string& name,
                      std::initializer_list<const char*> cells) {
    std::string text = "<tr><td>" + name + "</td>";
    for (const char* const cell : cells) {
      text += std::string("<td class=\"number\">") + cell + "</td>";
    }
    return text + "</tr>";
  };
  CHECK_TRUE(PageContains(row("tx-a", {"1", "1", "1", "4", "5"})));
  CHECK_TRUE(PageContains(row("tx-b", {"1", "0", "1", "0", "0"})));
  CHECK_TRUE(PageContains(row("up_to_32k", {"1", "100.0 ms", "100.0 ms"})));
  CHECK_TRUE(PageContains(row("up_to_4k", {"0", "-", "-"})));
  CHECK_TRUE(PageContains(row("shed", {"1"})));
  CHECK_FALSE(PageContains("deadline_exceeded"));
}

// Guards against workspace names on a page that needs no token.
TEST(StatusPage, NamesNoWorkspace) {
  deployment config;
  config.workspaces = {{.id = {"floor-leads"}}};
  current.config = config;
  request_record record;
  record.request.workspace = {"floor-leads"};
  current.requests[{1, 1}] = record;
  CHECK_FALSE(PageContains("floor-leads"));
}
