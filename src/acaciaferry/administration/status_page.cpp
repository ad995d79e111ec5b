#include "acaciaferry/administration/status_page.hpp"

#include <cstdint>
#include <initializer_list>
#include <map>
#include <nlohmann/json.hpp>
#include <string_view>
#include <vector>

#include "acaciaferry/administration/views.hpp"
#include "acaciaferry/core/length_class.hpp"

namespace acaciaferry {
namespace internal {

constexpr std::string_view kPageStart =
    "<!DOCTYPE html>\n<html lang=\"en\">\n<head>\n<meta charset=\"utf-8\">\n"
    "<meta http-equiv=\"refresh\" content=\"10\">\n"
    "<title>acaciaferry</title>\n<style>\n"
    "body { font-family: sans-serif; margin: 2em; }\n"
    "table { border-collapse: collapse; }\n"
    "th, td { padding: 0.2em 1em 0.2em 0; text-align: left; }\n"
    "td.number { text-align: right; }\n"
    "</style>\n</head>\n<body>\n";

// Escapes names for HTML, because they come from settings and the platform.
std::string EscapeHtml(std::string_view text) {
  std::string escaped;
  for (const char each : text) {
    switch (each) {
      case '&':
        escaped += "&amp;";
        break;
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      case '"':
        escaped += "&quot;";
        break;
      default:
        escaped += each;
    }
  }
  return escaped;
}

// Writes a table with names in the first column and numbers in the others.
class html_table {
 public:
  html_table(std::string& page,
             std::string_view title,
             std::initializer_list<std::string_view> columns)
      : page_(page) {
    page_.append("<h2>").append(title).append("</h2>\n<table>\n<tr>");
    for (const std::string_view column : columns) {
      page_.append("<th>").append(column).append("</th>");
    }
    page_.append("</tr>\n");
  }

  ~html_table() { page_.append("</table>\n"); }

  html_table(const html_table&) = delete;
  html_table& operator=(const html_table&) = delete;

  void AddRow(std::string_view name, const std::vector<std::string>& numbers) {
    page_.append("<tr><td>").append(EscapeHtml(name)).append("</td>");
    for (const std::string& each : numbers) {
      page_.append("<td class=\"number\">").append(each).append("</td>");
    }
    page_.append("</tr>\n");
  }

 private:
  std::string& page_;
};

struct domain_counts {
  std::uint64_t serving{};
  std::uint64_t leaving{};
  std::uint64_t without_report{};
  std::uint64_t running{};
  std::uint64_t waiting{};
};

// The part of the reducer's state that the page shows.
struct page_state {
  nlohmann::json status;
  std::map<failure_domain_id, domain_counts> domains;
};

page_state CollectPageState(const state& from) {
  page_state collected{StatusView(from), {}};
  for (const target& each : from.targets.targets) {
    domain_counts& counts = collected.domains[each.failure_domain];
    ++(each.leaving ? counts.leaving : counts.serving);
    if (each.report) {
      counts.running += each.report->running;
      counts.waiting += each.report->waiting;
    } else {
      ++counts.without_report;
    }
  }
  return collected;
}

void AddStatus(const nlohmann::json& status, bool ready, std::string& page) {
  html_table table(page, "This VM", {"", ""});
  for (const auto& [key, member] : status.items()) {
    table.AddRow(key, {EscapeHtml(member.is_string() ? member.get<std::string>()
                                                     : member.dump())});
  }
  table.AddRow("ready", {ready ? "true" : "false"});
}

void AddTargets(const page_state& from, std::string& page) {
  html_table table(page, "Targets by failure domain",
                   {"failure domain", "serving", "leaving", "without report",
                    "running requests", "waiting requests"});
  for (const auto& [domain, counts] : from.domains) {
    table.AddRow(
        domain.value,
        {std::to_string(counts.serving), std::to_string(counts.leaving),
         std::to_string(counts.without_report), std::to_string(counts.running),
         std::to_string(counts.waiting)});
  }
}

std::string FormatBound(duration bound) {
  if (bound == duration::max()) {
    return "above the last bucket";
  }
  return nlohmann::json(ToMilliseconds(bound)).dump() + " ms";
}

void AddLatencies(const metrics_registry& metrics, std::string& page) {
  html_table table(page,
                   "Time to first token by prompt length, since the start",
                   {"length class", "requests", "p50 at most", "p95 at most"});
  for (std::size_t i = 0; i < kLengthClassCount; ++i) {
    const auto length = static_cast<length_class>(i);
    const latency_summary summary =
        metrics.TimeToFirstToken().Summarize(length);
    if (summary.count == 0) {
      table.AddRow(ToString(length), {"0", "-", "-"});
      continue;
    }
    table.AddRow(ToString(length),
                 {std::to_string(summary.count), FormatBound(summary.p50),
                  FormatBound(summary.p95)});
  }
}

void AddRefusals(const metrics_registry& metrics, std::string& page) {
  html_table table(page, "Refused and failed requests by reason",
                   {"reason", "requests"});
  for (std::size_t i = 0; i < kFailureCodeCount; ++i) {
    const auto code = static_cast<failure_code>(i);
    if (metrics.FailureCount(code) > 0) {
      table.AddRow(Describe(code).code,
                   {std::to_string(metrics.FailureCount(code))});
    }
  }
}

}  // namespace internal

std::string StatusPage(const administration_context& context, bool ready) {
  internal::page_state collected;
  context.inspect([&collected](const state& value) {
    collected = internal::CollectPageState(value);
  });
  std::string page(internal::kPageStart);
  page.append("<h1>acaciaferry</h1>\n");
  internal::AddStatus(collected.status, ready, page);
  internal::AddTargets(collected, page);
  internal::AddLatencies(context.metrics, page);
  internal::AddRefusals(context.metrics, page);
  page.append("</body>\n</html>\n");
  return page;
}

}  // namespace acaciaferry
