#include "acaciaferry/entry/entry_bounds.hpp"

#include <sys/resource.h>

#include <algorithm>
#include <limits>
#include <string>
#include <tuple>

#include "acaciaferry/entry/entry_daemon.hpp"

// Bounds on memory, descriptors and connections.
namespace acaciaferry::entry {
namespace internal {

// Of the VM's memory, requests may take three tenths.
constexpr std::size_t kRequestTenths = 3;
// Room for a request of the largest size besides small ones.
constexpr std::size_t kMinRequestMemory = 8U << 20U;
// Listeners, the event loop, the log, and exchanges with the configuration
// service and peers.
constexpr std::size_t kOwnDescriptors = 32;
constexpr std::size_t kMaxReadinessConnections = 64;
constexpr std::size_t kMaxControlConnections = 256;
constexpr std::size_t kReadinessDescriptorPart = 8;
constexpr std::size_t kControlDescriptorPart = 4;
// Requests at these addresses have no bodies.
constexpr std::uint64_t kMaxControlBodyBytes = 1'024;
constexpr duration kDropLogInterval = std::chrono::seconds(1);

std::size_t RequestMemory(const entry_settings& settings) {
  constexpr std::size_t kTenth = 10;
  const std::size_t vm_bytes =
      static_cast<std::size_t>(settings.memory_limit_mb) << 20U;
  return std::max(vm_bytes / kTenth * kRequestTenths, kMinRequestMemory);
}

std::size_t DescriptorLimit(const entry_settings& settings) {
  rlimit system{};
  std::size_t limit = static_cast<std::size_t>(settings.descriptor_limit);
  if (getrlimit(RLIMIT_NOFILE, &system) == 0 &&
      system.rlim_cur != RLIM_INFINITY) {
    const auto allowed = static_cast<std::size_t>(system.rlim_cur);
    limit = limit == 0 ? allowed : std::min(limit, allowed);
  }
  return limit == 0 ? std::numeric_limits<std::size_t>::max() : limit;
}

}  // namespace internal

void entry_daemon::SetBounds() {
  callers_.SetMemory(answer_memory_);
  control_.SetMemory(answer_memory_);
  callers_.SetRequestMemory(request_memory_, true);
  tunnels_.SetRequestMemory(request_memory_);
  net::server_limits limits;
  limits.body_bytes = internal::kMaxControlBodyBytes;
  for (const auto& [server, part, most] :
       {std::tuple(&readiness_, internal::kReadinessDescriptorPart,
                   internal::kMaxReadinessConnections),
        std::tuple(&control_, internal::kControlDescriptorPart,
                   internal::kMaxControlConnections)}) {
    limits.max_connections =
        std::clamp<std::size_t>(descriptor_limit_ / part, 1, most);
    server->SetLimits(limits);
    // Probes and heartbeats don't wait for callers.
    server->SetRequestMemory(request_memory_, false);
  }
  callers_.SetRoomForConnections(
      [this] { return DescriptorsInUse() < descriptor_limit_; });
  const auto on_drop = [this](net::drop_reason reason) {
    metrics_.CountDrop(reason);
    LogDropped(std::string(ToString(reason)));
  };
  callers_.SetDropHandler(on_drop);
  readiness_.SetDropHandler(on_drop);
  control_.SetDropHandler(on_drop);
  callers_.SetRefusalHandler([this](int status) {
    metrics_.CountReadRefusal(status);
    LogDropped(std::to_string(status));
  });
}

std::size_t entry_daemon::DescriptorsInUse() const {
  return internal::kOwnDescriptors + callers_.ConnectionCount() +
         readiness_.ConnectionCount() + control_.ConnectionCount() +
         relays_.size() + 2 * tunnels_.Count();
}

void entry_daemon::LogDropped(const std::string& reason) {
  ++unlogged_drops_[reason];
  const time_point now = clock_.Now();
  if (now - drops_logged_at_ < internal::kDropLogInterval) {
    return;
  }
  drops_logged_at_ = now;
  log_fields fields;
  for (const auto& [name, count] : unlogged_drops_) {
    fields.emplace_back(name, std::to_string(count));
  }
  log_.WriteEvent("callers_dropped", fields);
  unlogged_drops_.clear();
}

}  // namespace acaciaferry::entry
