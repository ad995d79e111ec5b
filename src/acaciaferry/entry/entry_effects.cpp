#include <utility>

#include "acaciaferry/entry/entry_daemon.hpp"
#include "acaciaferry/entry/order_sender.hpp"
#include "acaciaferry/net/probe.hpp"

namespace acaciaferry::entry {
namespace internal {

// Releases are retried when no response arrives; after that the memory is freed
// when its lease expires.
constexpr int kMaxReleaseAttempts = 3;
constexpr duration kProbeTimeout = std::chrono::milliseconds(400);

}  // namespace internal

// Executes each kind of effect.
struct entry_daemon::effect_executor {
  entry_daemon& self;

  std::shared_ptr<call_relay> FindRelay(forwarding::call_id id) const {
    const auto found = self.relays_.find(id);
    return found == self.relays_.end() ? nullptr : found->second;
  }

  // Removes the relay: its call is complete.
  std::shared_ptr<call_relay> TakeRelay(forwarding::call_id id) const {
    auto relay = FindRelay(id);
    self.relays_.erase(id);
    return relay;
  }

  void operator()(const forwarding::send_attempt& effect) const {
    if (const auto relay = FindRelay(effect.id)) {
      relay->SendAttempt(effect);
    }
  }
  void operator()(const forwarding::cancel_attempt& effect) const {
    if (const auto relay = FindRelay(effect.id)) {
      relay->CancelAttempt(effect.attempt);
    }
  }
  void operator()(const forwarding::deliver_response& effect) const {
    if (const auto relay = TakeRelay(effect.id)) {
      relay->DeliverCollected();
    }
  }
  void operator()(const forwarding::finish_stream& effect) const {
    if (const auto relay = TakeRelay(effect.id)) {
      relay->FinishStream();
    }
  }
  void operator()(const forwarding::abort_response& effect) const {
    if (const auto relay = TakeRelay(effect.id)) {
      relay->Abort();
    }
  }
  void operator()(const forwarding::refuse_call& effect) const {
    self.metrics_.CountRefusal(effect.why.code);
    if (const auto relay = TakeRelay(effect.id)) {
      relay->SendLocalReply(effect.why);
    }
  }
  void operator()(const forwarding::forget_call& effect) const {
    self.relays_.erase(effect.id);
  }
  void operator()(const forwarding::record_latency& effect) const {
    self.metrics_.Observe(effect);
  }
  void operator()(const forwarding::reserve_memory& effect) const {
    self.SendTicketOrder(self.protocol_->BuildReserveRequest(effect),
                         effect.address,
                         {effect.id,
                          effect.attempt,
                          effect.ticket,
                          effect.renewal ? forwarding::ticket_order::kRenew
                                         : forwarding::ticket_order::kReserve,
                          {},
                          effect.target,
                          {}});
  }
  void operator()(const forwarding::release_memory& effect) const {
    self.SendTicketOrder(self.protocol_->BuildReleaseRequest(effect),
                         effect.address,
                         {effect.id,
                          effect.attempt,
                          effect.ticket,
                          forwarding::ticket_order::kRelease,
                          {},
                          effect.target,
                          {}});
  }
  void operator()(const forwarding::notify_peers& effect) const {
    self.peers_.Protocol().ShareLoad(effect);
  }
  void operator()(const forwarding::share_suspects& effect) const {
    self.peers_.Protocol().Broadcast(suspect_reports_received{effect.reports});
  }
  void operator()(const forwarding::share_part_crashes& effect) const {
    self.peers_.Protocol().Broadcast(part_crashes_received{effect.crashes});
  }
  void operator()(const forwarding::share_begun_parts& effect) const {
    self.peers_.Protocol().Broadcast(begun_parts_received{effect.parts});
  }
  void operator()(const forwarding::share_limits& effect) const {
    self.peers_.Protocol().Broadcast(
        forwarding::limit_reports_received{effect.reports});
  }
  void operator()(const forwarding::announce_reach& /*effect*/) const {
    self.peers_.Protocol().AnnounceReach();
  }
  void operator()(const forwarding::ask_planner& effect) const {
    self.peers_.Protocol().SendTo(effect.planner, effect.query);
  }
  void operator()(const forwarding::ask_about_target& effect) const {
    self.peers_.Protocol().SendTo(effect.planner, effect.query);
  }
  void operator()(const forwarding::answer_about_target& effect) const {
    self.peers_.Protocol().SendTo(effect.asker, effect.report);
  }
  void operator()(const forwarding::answer_query& effect) const {
    self.peers_.Protocol().SendTo(effect.asker, effect.answer);
  }
  void operator()(const forwarding::probe_target& effect) const {
    net::ProbeConnection(
        self.loop_, effect.address, internal::kProbeTimeout,
        [&daemon = self, effect, started = self.clock_.Now()](bool connected) {
          daemon.Post(forwarding::target_probed{effect.pool, connected,
                                                effect.target, started});
        });
  }
  void operator()(const forwarding::check_target& effect) const {
    net::ProbeConnection(self.loop_, effect.address, internal::kProbeTimeout,
                         [&daemon = self, target = effect.target,
                          incarnation = effect.incarnation](bool connected) {
                           daemon.Post(forwarding::target_checked{
                               target, incarnation, connected});
                         });
  }
  void operator()(const forwarding::record_decision& effect) const {
    self.log_.WriteDecision(effect, self.clock_.Now());
    if (effect.kind == forwarding::decision_kind::kRepeated ||
        effect.kind == forwarding::decision_kind::kResumed) {
      for (const auto& [name, value] : effect.inputs) {
        if (name == "reason") {
          self.metrics_.CountRepeat(value);
        }
      }
    }
  }
};

void entry_daemon::SendTicketOrder(const outgoing_request& request,
                                   const std::string& address,
                                   forwarding::ticket_order_settled settled) {
  using forwarding::order_result;
  const int max_attempts = settled.order == forwarding::ticket_order::kRelease
                               ? internal::kMaxReleaseAttempts
                               : 1;
  const forwarding::target* to = state_.targets.Find(settled.target);
  SendOrder(
      loop_, address, request, max_attempts,
      to != nullptr ? state_.reach.NextTunnel(to->pool, clock_.Now())
                    : std::string(),
      &answer_memory_, [this, settled](const order_outcome& outcome) mutable {
        const order_result result = outcome.result;
        settled.result = result;
        settled.availability = protocol_->ReadAvailability(outcome.head);
        if (result != order_result::kDone) {
          log_.WriteDecision({forwarding::decision_kind::kOrderFailed,
                              settled.target.value,
                              {{"order", std::string(ToString(settled.order))},
                               {"ticket", settled.ticket},
                               {"result", std::string(ToString(result))}}},
                             clock_.Now());
        }
        Post(settled);
      });
}

void entry_daemon::ExecuteEffects(const forwarding::effects& effects) {
  const effect_executor executor{*this};
  for (const forwarding::effect& effect : effects) {
    std::visit(executor, effect);
  }
}

}  // namespace acaciaferry::entry
