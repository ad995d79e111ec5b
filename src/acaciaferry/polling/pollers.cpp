#include "acaciaferry/polling/pollers.hpp"

#include <algorithm>

#include "acaciaferry/polling/http_get.hpp"
#include "acaciaferry/target_client/wire.hpp"

namespace acaciaferry {
namespace internal {

constexpr duration kPollTimeout = std::chrono::seconds(1);
constexpr std::size_t kMaxListBytes = 4 << 20;
constexpr std::size_t kMaxReportBytes = 64 << 10;
// Four times the size of a snapshot of 4,096 blocks, the most that are indexed.
constexpr std::size_t kMaxCacheEventsBytes = 1 << 20;
constexpr int kOk = 200;
constexpr double kListBytesPerSecond = 2'000;
constexpr duration kMinListInterval = std::chrono::seconds(1);

void PollCacheEvents(const target_poll& poll, const event_sink& sink) {
  const std::string path =
      "/v1/cache/events?after=" + std::to_string(poll.cache->after) +
      (poll.cache->snapshot ? "&snapshot=1" : "");
  const auto reply =
      HttpGet(poll.address, path, kPollTimeout, kMaxCacheEventsBytes);
  if (!reply || reply->status != kOk) {
    return;
  }
  if (auto events = ParseCacheEvents(reply->body)) {
    events->target = poll.target;
    events->incarnation = poll.incarnation;
    events->is_snapshot = poll.cache->snapshot;
    sink(*std::move(events));
  }
}

}  // namespace internal

duration VmListInterval(std::size_t bytes) {
  return std::max(
      internal::kMinListInterval,
      FromSeconds(static_cast<double>(bytes) / internal::kListBytesPerSecond));
}

std::size_t PollVmList(const std::string& address, const event_sink& sink) {
  const auto reply = HttpGet(address, "/v1/vms", internal::kPollTimeout,
                             internal::kMaxListBytes);
  if (!reply || reply->status != internal::kOk) {
    return 0;
  }
  if (auto vms = ParseVmList(reply->body)) {
    sink(vm_list_received{*std::move(vms), VmListInterval(reply->body.size())});
  }
  return reply->body.size();
}

bool PollTarget(const target_poll& poll, const event_sink& sink) {
  const auto reply = HttpGet(poll.address, "/v1/load", internal::kPollTimeout,
                             internal::kMaxReportBytes);
  if (!reply || reply->status != internal::kOk) {
    return false;
  }
  auto report = ParseLoadReport(reply->body);
  if (!report) {
    return true;
  }
  // `poll.cache` refers to the events of one incarnation of the target. After a
  // restart, the next poll asks for a snapshot instead.
  const bool is_same_incarnation = report->incarnation == poll.incarnation;
  sink(load_report_received{*std::move(report)});
  if (poll.cache && is_same_incarnation) {
    internal::PollCacheEvents(poll, sink);
  }
  return true;
}

}  // namespace acaciaferry
