#include <algorithm>
#include <iterator>
#include <string>

#include "acaciaferry/forwarding/evacuation/evacuate.hpp"
#include "acaciaferry/forwarding/flights.hpp"

namespace acaciaferry::forwarding::internal {
namespace {

// An order without a response may be carried out this much later, after newer
// orders.
constexpr duration kMaxOrderDelay = std::chrono::seconds(15);
// A late order sets memory aside for up to this long before it is released.
constexpr duration kReleaseInterval = std::chrono::seconds(2);
// For the time that orders take.
constexpr duration kUnusedMargin = std::chrono::milliseconds(500);
// The leases bound what tickets beyond this number hold.
constexpr std::size_t kMaxClosingTickets = 1'024;

bool MayBeSetAsideAgain(const reservation& released, time_point now) {
  return released.unsettled_orders > 0 || released.may_be_late_until > now;
}

// Records the result of a reservation or renewal.
void RecordResult(reservation& ordered, order_result result, time_point now) {
  ordered.unsettled_orders -= std::min(ordered.unsettled_orders, 1U);
  if (result == order_result::kUnanswered) {
    ordered.may_be_late_until = now + kMaxOrderDelay;
  }
}

release_memory ReleaseOf(const closing_ticket& closing) {
  return {closing.id, closing.attempt, closing.last.address,
          closing.last.target, closing.last.ticket};
}

void SettleClosingTicket(state& current,
                         const ticket_order_settled& settled,
                         time_point now,
                         effects& out) {
  const auto at = current.closing_tickets.find(settled.ticket);
  if (at == current.closing_tickets.end()) {
    return;
  }
  closing_ticket& closing = at->second;
  RecordResult(closing.last, settled.result, now);
  if (settled.result == order_result::kDone) {
    out.emplace_back(ReleaseOf(closing));
  }
  if (!MayBeSetAsideAgain(closing.last, now)) {
    current.closing_tickets.erase(at);
  }
}

attempt* FindAttempt(state& current, const ticket_order_settled& settled) {
  const auto at = current.pending_calls.find(settled.id);
  if (at == current.pending_calls.end()) {
    return nullptr;
  }
  for (auto* each : {&at->second.running_attempt, &at->second.silent_attempt}) {
    if (*each && (*each)->number == settled.attempt) {
      return &**each;
    }
  }
  return nullptr;
}

void RenewOf(call_id id, attempt& held, time_point now, effects& out) {
  for (reservation& each : held.reservations) {
    if (each.held && each.renew_at <= now) {
      each.renew_at = now + kRenewAfter;
      ++each.unsettled_orders;
      out.emplace_back(reserve_memory{id, held.number, each.address,
                                      each.target, each.ticket, each.tokens,
                                      kLeaseTime, true});
    }
  }
}

std::optional<target_id> TargetOfTicket(const attempt& holder,
                                        const std::string& ticket) {
  for (const reservation& each : holder.reservations) {
    if (each.ticket == ticket) {
      return each.target;
    }
  }
  return std::nullopt;
}

// Targets may say that they leave, or that they want no requests, or may be
// evacuated, while the reservations are made.
bool TakesPrompt(const state& current, const attempt& running, time_point now) {
  return !IsEvacuated(current, running) &&
         TakesRequests(current, running.target, now) &&
         std::all_of(running.helpers.begin(), running.helpers.end(),
                     [&](const helper& each) {
                       return TakesRequests(current, each.target, now);
                     });
}

// Places the call on other targets if a reservation was refused, and sends its
// attempt once all are held.
void SettleReservation(state& current,
                       pending_call& pending,
                       const ticket_order_settled& settled,
                       time_point now,
                       effects& out) {
  attempt& running = *FindAttempt(current, settled);
  const bool held = settled.result == order_result::kDone;
  LogDecision(out, decision_kind::kReserved, pending.request.caller_request_id,
              {{"ticket", settled.ticket}, {"held", held ? "yes" : "no"}});
  if (running.sent) {
    return;
  }
  if (!held) {
    running.at_fault = TargetOfTicket(running, settled.ticket);
    RetryOrFail(current, pending, false, failure_code::kSpanUnavailable,
                "reservation_refused", now, out);
  } else if (!TakesPrompt(current, running, now)) {
    RetryOrFail(current, pending, false, failure_code::kSpanUnavailable,
                "target_unavailable", now, out);
  } else if (std::all_of(running.reservations.begin(),
                         running.reservations.end(),
                         [](const reservation& each) { return each.held; })) {
    SendAttempt(current, pending, now, out);
  }
}

}  // namespace

void SettleTicketOrder(state& current,
                       const ticket_order_settled& settled,
                       time_point now,
                       effects& out) {
  if (const target* at = current.targets.Find(settled.target)) {
    RecordAvailability(current, settled.target, at->incarnation,
                       settled.availability, now, out);
  }
  if (settled.order == ticket_order::kRelease) {
    return;
  }
  attempt* running = FindAttempt(current, settled);
  if (running == nullptr) {
    SettleClosingTicket(current, settled, now, out);
    return;
  }
  for (reservation& each : running->reservations) {
    if (each.ticket == settled.ticket) {
      RecordResult(each, settled.result, now);
      each.held = each.held || settled.result == order_result::kDone;
    }
  }
  if (settled.order == ticket_order::kReserve) {
    SettleReservation(current, current.pending_calls.at(settled.id), settled,
                      now, out);
  }
}

void ReleaseReservations(state& current,
                         const pending_call& pending,
                         const attempt& ended,
                         time_point now,
                         effects& out) {
  if (ended.reservations.empty()) {
    return;
  }
  // A reservation without a response may have been carried out, so every ticket
  // is released.
  for (const reservation& each : ended.reservations) {
    const closing_ticket closing{pending.request.id, ended.number, each,
                                 now + kReleaseInterval};
    out.emplace_back(ReleaseOf(closing));
    if (MayBeSetAsideAgain(each, now) &&
        current.closing_tickets.size() < kMaxClosingTickets) {
      current.closing_tickets.emplace(each.ticket, closing);
    }
  }
  LogDecision(out, decision_kind::kReleased, pending.request.caller_request_id,
              {{"tickets", std::to_string(ended.reservations.size())},
               {"begun", ended.response_started ? "yes" : "no"},
               {"after_ms", ToMillisText(now - ended.started)}});
}

std::optional<time_point> UnusedReservationsDue(const state& current,
                                                const pending_call& pending) {
  if (!pending.running_attempt ||
      pending.running_attempt->reservations.empty() ||
      pending.running_attempt->response_started) {
    return std::nullopt;
  }
  // The engines use the memory while they read the prompt, which takes until
  // the predicted first event. If the release is lost, the last lease still
  // runs out in time, unless the bound is hardly longer than a lease.
  const duration bound = current.max_unused_reservation;
  return pending.running_attempt->started +
         pending.running_attempt->predicted_first_event +
         std::max(bound - kLeaseTime - kUnusedMargin, bound / 3);
}

void RenewReservations(pending_call& pending, time_point now, effects& out) {
  for (auto* each : {&pending.running_attempt, &pending.silent_attempt}) {
    if (*each) {
      RenewOf(pending.request.id, **each, now, out);
    }
  }
}

void ReleaseClosingTickets(state& current, time_point now, effects& out) {
  for (auto at = current.closing_tickets.begin();
       at != current.closing_tickets.end();) {
    closing_ticket& closing = at->second;
    if (closing.release_at <= now) {
      closing.release_at = now + kReleaseInterval;
      out.emplace_back(ReleaseOf(closing));
    }
    at = MayBeSetAsideAgain(closing.last, now)
             ? std::next(at)
             : current.closing_tickets.erase(at);
  }
}

}  // namespace acaciaferry::forwarding::internal
