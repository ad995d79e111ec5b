#include <algorithm>

#include "acaciaferry/forwarding/flights.hpp"

namespace acaciaferry::forwarding {
namespace internal {
namespace {

constexpr duration kIdleWake = std::chrono::seconds(1);

// When the first reservation of an attempt has to be renewed.
time_point NextRenewal(const attempt& running) {
  time_point next = time_point::max();
  for (const reservation& each : running.reservations) {
    if (each.held) {
      next = std::min(next, each.renew_at);
    }
  }
  return next;
}

}  // namespace
}  // namespace internal

time_point NextWake(const state& current, time_point now) {
  time_point next = now + internal::kIdleWake;
  next = std::min(next, current.reach.NextProbe().value_or(next));
  for (const lost_exchange& each : current.lost_exchanges) {
    next = std::min(next, each.check_at.value_or(each.settle_at));
  }
  for (const auto& [ticket, closing] : current.closing_tickets) {
    next = std::min(next, closing.release_at);
  }
  for (const auto& [id, pending] : current.pending_calls) {
    next = std::min(next, pending.deadline);
    if (pending.next_placement_at) {
      next = std::min(next, *pending.next_placement_at);
    }
    if (pending.running_attempt && pending.running_attempt->progress_due) {
      next = std::min(next, *pending.running_attempt->progress_due);
    }
    if (const auto unused_due =
            internal::UnusedReservationsDue(current, pending)) {
      next = std::min(next, *unused_due);
    }
    for (const auto* running :
         {&pending.running_attempt, &pending.silent_attempt}) {
      if (*running) {
        next = std::min(next, internal::NextRenewal(**running));
      }
    }
  }
  return next;
}

}  // namespace acaciaferry::forwarding
