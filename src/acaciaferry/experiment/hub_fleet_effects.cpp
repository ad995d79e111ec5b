#include <algorithm>

#include "acaciaferry/experiment/hub_fleet_parts.hpp"

namespace acaciaferry {
namespace internal {
namespace {

constexpr duration kOrderDelay = std::chrono::milliseconds(2);
constexpr duration kProbeTime = std::chrono::milliseconds(400);

}  // namespace
}  // namespace internal

// Carries out the effects of one VM's reducer.
struct hub_fleet::effect_carrier {
  hub_fleet& fleet;
  std::size_t vm;

  void operator()(const forwarding::send_attempt& effect) const {
    fleet.Connect(vm, effect);
  }
  void operator()(const forwarding::probe_target& effect) const {
    fleet.Probe(vm, effect.target, internal::kProbeTime);
  }
  void operator()(const forwarding::refuse_call& effect) const {
    ++fleet.refusals_;
    ++fleet.refusals_by_code_[effect.why.code];
    fleet.first_tries_[fleet.vms_[vm]->first_tries.at(effect.id)].retry_after =
        effect.why.retry_after;
  }
  void operator()(const forwarding::abort_response& /*effect*/) const {
    ++fleet.broken_off_;
  }
  void operator()(const forwarding::check_target& effect) const {
    fleet.AfterAt(vm, internal::kFetchDelay, [self = *this, effect] {
      const bool up =
          self.fleet.FindEngine(effect.target).down_until <= self.fleet.Now();
      self.fleet.Post(self.vm, forwarding::target_checked{
                                   effect.target, effect.incarnation, up});
    });
  }
  void operator()(const forwarding::reserve_memory& effect) const {
    fleet.AfterAt(vm, internal::kOrderDelay, [self = *this, effect] {
      self.fleet.Post(self.vm,
                      forwarding::ticket_order_settled{
                          effect.id,
                          effect.attempt,
                          effect.ticket,
                          effect.renewal ? forwarding::ticket_order::kRenew
                                         : forwarding::ticket_order::kReserve,
                          forwarding::order_result::kDone,
                          effect.target,
                          {}});
    });
  }
  void operator()(const forwarding::notify_peers& effect) const {
    Protocol().ShareLoad(effect);
  }
  void operator()(const forwarding::share_suspects& effect) const {
    Protocol().Broadcast(suspect_reports_received{effect.reports});
  }
  void operator()(const forwarding::share_part_crashes& effect) const {
    Protocol().Broadcast(part_crashes_received{effect.crashes});
  }
  void operator()(const forwarding::share_begun_parts& effect) const {
    Protocol().Broadcast(begun_parts_received{effect.parts});
  }
  void operator()(const forwarding::share_limits& effect) const {
    Protocol().Broadcast(forwarding::limit_reports_received{effect.reports});
  }
  void operator()(const forwarding::announce_reach& /*effect*/) const {
    Protocol().AnnounceReach();
  }
  void operator()(const forwarding::ask_planner& effect) const {
    Protocol().SendTo(effect.planner, effect.query);
  }
  void operator()(const forwarding::answer_query& effect) const {
    Protocol().SendTo(effect.asker, effect.answer);
  }
  void operator()(const forwarding::ask_about_target& effect) const {
    Protocol().SendTo(effect.planner, effect.query);
  }
  void operator()(const forwarding::answer_about_target& effect) const {
    Protocol().SendTo(effect.asker, effect.report);
  }
  template <typename Other>
  void operator()(const Other& /*effect*/) const {}

  [[nodiscard]] mesh::peer_protocol& Protocol() const {
    return *fleet.vms_[vm]->protocol;
  }
};

void hub_fleet::Post(std::size_t vm, const forwarding::event& happened) {
  const auto caused =
      forwarding::Reduce(*vms_[vm]->state, happened, clock_->now);
  for (const forwarding::effect& each : caused) {
    std::visit(effect_carrier{*this, vm}, each);
  }
  ScheduleWake(vm);
}

void hub_fleet::ScheduleWake(std::size_t vm) {
  auto& self = *vms_[vm];
  const time_point next = forwarding::NextWake(*self.state, clock_->now);
  if (next >= self.wake_at && self.wake_at > clock_->now) {
    return;
  }
  self.wake_at = std::max(next, clock_->now);
  AfterAt(vm, self.wake_at - clock_->now, [this, vm, at = self.wake_at] {
    if (vms_[vm]->wake_at == at) {
      vms_[vm]->wake_at = {};
      Post(vm, forwarding::timer_fired{});
    }
  });
}

}  // namespace acaciaferry
