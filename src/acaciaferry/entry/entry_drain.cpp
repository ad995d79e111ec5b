#include <algorithm>

#include "acaciaferry/entry/entry_daemon.hpp"

namespace acaciaferry::entry {
namespace internal {

// The load balancer probes readiness once a second and removes a VM after two
// failed probes. Calls that arrive until then are still accepted; later ones
// might not finish before the process has to exit.
constexpr duration kDrainAcceptPeriod = std::chrono::milliseconds(3'000);
// Requests that callers send before they see that the VM has stopped accepting
// are refused within this time.
constexpr duration kLastRefusals = std::chrono::milliseconds(250);
// Part of the grace period reserved for process shutdown.
constexpr duration kExitMargin = std::chrono::milliseconds(500);
// Calls without an answer are ended this long before the process stops, so that
// their replies can be written.
constexpr duration kLastAnswers = std::chrono::milliseconds(250);
constexpr duration kDrainCheckInterval = std::chrono::milliseconds(50);

}  // namespace internal

void entry_daemon::Drain() {
  if (draining_since_) {
    return;
  }
  draining_since_ = clock_.Now();
  log_.WriteEvent("draining", {{"in_flight", std::to_string(relays_.size())}});
  callers_.CloseAfterReplies();
  for (auto& [id, pending] : state_.pending_calls) {
    pending.deadline = std::min(pending.deadline, LastAnswerTime());
  }
  ScheduleWake();
  CheckDrained();
}

time_point entry_daemon::LastAnswerTime() const {
  return *draining_since_ +
         std::max(settings_.drain_grace - internal::kExitMargin -
                      internal::kLastAnswers,
                  duration::zero());
}

duration entry_daemon::DrainAcceptPeriod() const {
  return std::min(internal::kDrainAcceptPeriod,
                  LastAnswerTime() - *draining_since_);
}

void entry_daemon::CheckDrained() {
  if (!draining_since_) {
    return;
  }
  const duration since = clock_.Now() - *draining_since_;
  const bool grace_expired =
      since >= settings_.drain_grace - internal::kExitMargin;
  if (since >= DrainAcceptPeriod() && !stopped_accepting_) {
    stopped_accepting_ = true;
    callers_.StopListening();
    tunnels_.StopListening();
  }
  const bool may_stop = since >= DrainAcceptPeriod() + internal::kLastRefusals;
  if (may_stop) {
    callers_.CloseIdle();
  }
  if (grace_expired || (may_stop && relays_.empty() &&
                        !callers_.HasRequests() && tunnels_.Count() == 0)) {
    loop_.stop();
    return;
  }
  drain_timer_.expires_after(internal::kDrainCheckInterval);
  drain_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      CheckDrained();
    }
  });
}

}  // namespace acaciaferry::entry
