#include "acaciaferry/platform/pollers.hpp"

#include <algorithm>

#include "acaciaferry/platform/http_get.hpp"
#include "acaciaferry/target_client/wire.hpp"

namespace acaciaferry {
namespace internal {

constexpr duration kPollTimeout = std::chrono::seconds(1);
constexpr std::size_t kMaxListBytes = 4 << 20;
constexpr std::size_t kMaxReportBytes = 64 << 10;
constexpr int kOk = 200;
constexpr double kListBytesPerSecond = 2'000;
constexpr duration kShortestListInterval = std::chrono::seconds(1);

}  // namespace internal

duration ListInterval(std::size_t bytes) {
  return std::max(
      internal::kShortestListInterval,
      FromSeconds(static_cast<double>(bytes) / internal::kListBytesPerSecond));
}

std::size_t PollVmList(const std::string& address, const event_sink& sink) {
  const auto reply = HttpGet(address, "/v1/vms", internal::kPollTimeout,
                             internal::kMaxListBytes);
  if (!reply || reply->status != internal::kOk) {
    return 0;
  }
  if (auto vms = ParseVmList(reply->body)) {
    sink(vm_list_received{*std::move(vms), ListInterval(reply->body.size())});
  }
  return reply->body.size();
}

void PollLoadReports(const std::vector<std::string>& addresses,
                     const event_sink& sink) {
  for (const std::string& address : addresses) {
    const auto reply = HttpGet(address, "/v1/load", internal::kPollTimeout,
                               internal::kMaxReportBytes);
    if (!reply || reply->status != internal::kOk) {
      continue;
    }
    if (auto report = ParseLoadReport(reply->body)) {
      sink(load_report_received{*std::move(report)});
    }
  }
}

}  // namespace acaciaferry
