#include "report.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <map>
#include <set>
#include <string_view>
#include <utility>

#include "acaciaferry/core/length_class.hpp"
#include "acaciaferry/polling/http_get.hpp"

namespace acaciaferry::load {
namespace internal {

using nlohmann::json;

constexpr duration kJournalTimeout = std::chrono::seconds(10);
constexpr std::size_t kMaxJournalBytes = 64 << 20;
constexpr int kOk = 200;

std::string CallOf(const std::string& path) {
  constexpr std::string_view kParameter = "call=";
  const std::size_t start = path.find(kParameter);
  return start == std::string::npos ? ""
                                    : path.substr(start + kParameter.size());
}

// The value below which a share of the sorted values lies (nearest rank).
double Percentile(const std::vector<double>& sorted, std::size_t percent) {
  if (sorted.empty()) {
    return 0;
  }
  const std::size_t rank = ((sorted.size() * percent) + 99) / 100;
  return sorted[std::max<std::size_t>(rank, 1) - 1];
}

json Percentiles(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return {{"count", values.size()},
          {"p50_ms", Percentile(values, 50)},
          {"p95_ms", Percentile(values, 95)},
          {"p99_ms", Percentile(values, 99)}};
}

bool IsCall(const request_result& result) {
  return !result.call.empty();
}

json Classes(std::span<const request_result> results) {
  std::array<std::vector<double>, kLengthClassCount> values;
  for (const request_result& result : results) {
    if (result.first_token && result.end == ending::kAnswered) {
      const auto index = static_cast<std::size_t>(
          ClassifyLength(result.request.prompt_tokens));
      values[index].push_back(ToMilliseconds(*result.first_token));
    }
  }
  json classes = json::array();
  for (std::size_t i = 0; i < kLengthClassCount; ++i) {
    json entry = Percentiles(std::move(values[i]));
    entry["class"] = ToString(static_cast<length_class>(i));
    classes.push_back(std::move(entry));
  }
  return classes;
}

// Whether a short request was sent while a long one waited for its first
// token, that is, while some engine was prefilling a long prompt.
bool IsBesideLong(const request_result& result,
                  std::span<const request_result> results) {
  return std::any_of(
      results.begin(), results.end(), [&](const request_result& other) {
        const bool is_long = ClassifyLength(other.request.prompt_tokens) ==
                             length_class::kOver128k;
        return is_long && other.first_token &&
               result.request.at >= other.request.at &&
               result.request.at < other.request.at + *other.first_token;
      });
}

json Slowdown(std::span<const request_result> results) {
  std::vector<double> beside;
  std::vector<double> apart;
  for (const request_result& result : results) {
    const bool is_short =
        !IsCall(result) && result.first_token &&
        ClassifyLength(result.request.prompt_tokens) == length_class::kUpTo4k;
    if (is_short) {
      (IsBesideLong(result, results) ? beside : apart)
          .push_back(ToMilliseconds(*result.first_token));
    }
  }
  const json with = Percentiles(std::move(beside));
  const json without = Percentiles(std::move(apart));
  const double base = without["p95_ms"].get<double>();
  const bool comparable = base > 0 && with["count"].get<std::size_t>() > 0;
  return {{"beside_long", with},
          {"apart", without},
          {"ratio_p95", comparable ? json(with["p95_ms"].get<double>() / base)
                                   : json(nullptr)}};
}

struct call_check {
  std::uint64_t duplicated{};
  std::uint64_t not_run_that_ran{};
};

// Compares what callers were told with what the journals say. A reading call
// may run twice without harm.
call_check CheckCalls(std::span<const request_result> results,
                      std::span<const execution> executions) {
  std::map<std::string, std::uint64_t> runs;
  for (const execution& each : executions) {
    ++runs[each.call];
  }
  call_check check;
  for (const request_result& result : results) {
    const auto found = runs.find(result.call);
    if (!IsCall(result) || found == runs.end()) {
      continue;
    }
    const bool is_mutating = result.request.type == request_type::kMutatingCall;
    check.duplicated += is_mutating && found->second > 1 ? 1 : 0;
    check.not_run_that_ran += result.told_not_run ? 1 : 0;
  }
  return check;
}

std::string_view NameOf(request_type type) {
  switch (type) {
    case request_type::kCompletion:
      return "completion";
    case request_type::kChat:
      return "chat";
    case request_type::kReadingCall:
      return "reading_call";
    case request_type::kMutatingCall:
      return "mutating_call";
  }
  return "";
}

std::string_view NameOf(ending end) {
  switch (end) {
    case ending::kAnswered:
      return "answered";
    case ending::kRefused:
      return "refused";
    case ending::kFailed:
      return "failed";
    case ending::kCorrupt:
      return "corrupt";
  }
  return "";
}

// Milliseconds of the monotonic clock, which all processes of a machine share.
double MonotonicMs(time_point time) {
  return ToMilliseconds(time.time_since_epoch());
}

json Request(const request_result& result) {
  json broken = json::array();
  for (const broken_connection& each : result.broken) {
    broken.push_back({{"entry", each.entry},
                      {"sent_ms", MonotonicMs(each.sent_at)},
                      {"reason", each.reason}});
  }
  return {{"number", result.request.number},
          {"type", NameOf(result.request.type)},
          {"prompt_tokens", result.request.prompt_tokens},
          {"entry", result.request.entry},
          {"entries_asked", result.entries_asked},
          {"sent_ms", MonotonicMs(result.sent_at)},
          {"last_sent_ms", MonotonicMs(result.last_sent_at)},
          {"ended_ms", MonotonicMs(result.ended_at)},
          {"timeout_ms", ToMilliseconds(result.request.timeout)},
          {"end", NameOf(result.end)},
          {"late", result.late},
          {"told_not_run", result.told_not_run},
          {"call", result.call},
          {"reason", result.reason},
          {"broken", std::move(broken)}};
}

json Requests(std::span<const request_result> results) {
  json list = json::array();
  for (const request_result& result : results) {
    list.push_back(Request(result));
  }
  return list;
}

std::string Line(const json& entry, const std::string& label) {
  std::array<char, 128> line{};
  std::snprintf(
      line.data(), line.size(), "%-24s %7llu %10.1f %10.1f %10.1f",
      label.c_str(),
      static_cast<unsigned long long>(entry["count"].get<std::uint64_t>()),
      entry["p50_ms"].get<double>(), entry["p95_ms"].get<double>(),
      entry["p99_ms"].get<double>());
  return line.data();
}

}  // namespace internal

std::vector<execution> ReadJournals(std::span<const std::string> addresses,
                                    std::vector<std::string>& unread) {
  std::vector<execution> executions;
  for (const std::string& address : addresses) {
    const auto reply =
        HttpGet(address, "/control/journal", internal::kJournalTimeout,
                internal::kMaxJournalBytes);
    const auto body =
        internal::json::parse(reply ? reply->body : "", nullptr, false);
    const bool valid = reply && reply->status == internal::kOk &&
                       body.is_object() && body.contains("executions");
    if (!valid) {
      unread.push_back(address);
      continue;
    }
    for (const auto& each : body["executions"]) {
      executions.push_back({address, internal::CallOf(each.value("path", "")),
                            each.value("method", "")});
    }
  }
  return executions;
}

nlohmann::json MakeReport(std::span<const request_result> results,
                          std::span<const execution> executions,
                          std::span<const std::string> unread) {
  const auto count = [&](auto predicate) {
    return std::count_if(results.begin(), results.end(), predicate);
  };
  const auto with_end = [&](ending end) {
    return count([end](const auto& each) { return each.end == end; });
  };
  std::map<std::string, std::uint64_t> reasons;
  for (const request_result& result : results) {
    if (!result.reason.empty()) {
      ++reasons[result.reason];
    }
  }
  const internal::call_check calls = internal::CheckCalls(results, executions);
  return {{"ledger",
           {{"sent", results.size()},
            {"answered", with_end(ending::kAnswered)},
            {"refused", with_end(ending::kRefused)},
            {"failed", with_end(ending::kFailed)},
            {"late", count([](const auto& each) { return each.late; })},
            {"corrupt", with_end(ending::kCorrupt)},
            {"duplicated", calls.duplicated}}},
          {"not_run_that_ran", calls.not_run_that_ran},
          {"service_calls", count(internal::IsCall)},
          {"executions", executions.size()},
          {"unread_journals", unread},
          {"reasons", reasons},
          {"classes", internal::Classes(results)},
          {"slowdown", internal::Slowdown(results)},
          {"requests", internal::Requests(results)}};
}

void PrintReport(const nlohmann::json& report, std::ostream& out) {
  out << "time to first token (ms)   count        p50        p95        p99\n";
  for (const auto& entry : report["classes"]) {
    out << internal::Line(entry, entry["class"]) << '\n';
  }
  const auto& slowdown = report["slowdown"];
  out << "short requests while a prompt over 128k is prefilled:\n"
      << internal::Line(slowdown["beside_long"], "  meanwhile") << '\n'
      << internal::Line(slowdown["apart"], "  otherwise") << '\n'
      << "  ratio of p95: "
      << (slowdown["ratio_p95"].is_null() ? "none"
                                          : slowdown["ratio_p95"].dump())
      << '\n';
  for (const auto& [reason, count] : report["reasons"].items()) {
    out << "reason " << reason << ": " << count << '\n';
  }
  out << "service calls: " << report["service_calls"]
      << ", executions in the journals: " << report["executions"]
      << ", told not-run but run: " << report["not_run_that_ran"] << '\n';
  for (const auto& address : report["unread_journals"]) {
    out << "journal not readable: " << address.get<std::string>() << '\n';
  }
  const auto& ledger = report["ledger"];
  out << "ledger:";
  for (const char* const key : {"sent", "answered", "refused", "failed", "late",
                                "corrupt", "duplicated"}) {
    out << ' ' << key << '=' << ledger[key];
  }
  out << std::endl;
}

}  // namespace acaciaferry::load
