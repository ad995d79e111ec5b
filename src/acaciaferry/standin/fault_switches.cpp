#include "acaciaferry/standin/fault_switches.hpp"

#include <algorithm>
#include <thread>

#include "acaciaferry/http/connection_check.hpp"

namespace acaciaferry::standin {
namespace internal {

constexpr duration kCheckInterval = std::chrono::milliseconds(100);

}  // namespace internal

void fault_switches::Pause(duration length) {
  const std::lock_guard lock(mutex_);
  paused_until_ = std::max(paused_until_, clock_.Now() + length);
}

void fault_switches::WaitWhilePaused() const {
  while (true) {
    time_point until;
    {
      const std::lock_guard lock(mutex_);
      until = paused_until_;
    }
    if (until <= clock_.Now()) {
      return;
    }
    std::this_thread::sleep_until(until);
  }
}

void fault_switches::SilenceOpenConnections() {
  const std::lock_guard lock(mutex_);
  ++mark_;
}

std::uint64_t fault_switches::Mark() const {
  const std::lock_guard lock(mutex_);
  return mark_;
}

bool fault_switches::IsSilent(std::uint64_t mark) const {
  return mark < Mark();
}

void fault_switches::StaySilent(Poco::Net::HTTPServerRequest& request) {
  while (IsConnected(request)) {
    std::this_thread::sleep_for(internal::kCheckInterval);
  }
}

}  // namespace acaciaferry::standin
