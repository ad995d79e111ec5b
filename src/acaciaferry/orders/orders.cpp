#include "acaciaferry/orders/orders.hpp"

#include <algorithm>

namespace acaciaferry {
namespace internal {

// Burst of orders that read the weight store.
constexpr double kWeightStoreBurst = 1;

struct model_change {
  order_action action{};
  std::string model;
};

bool Contains(const std::vector<std::string>& list, const std::string& value) {
  return std::find(list.begin(), list.end(), value) != list.end();
}

// The next change towards the wanted models. Missing models are loaded before
// others are unloaded, so that a target always has a model.
std::optional<model_change> NextModelChange(
    const std::vector<std::string>& wanted,
    const std::vector<std::string>& loaded) {
  for (const std::string& model : wanted) {
    if (!Contains(loaded, model)) {
      return model_change{order_action::kLoad, model};
    }
  }
  for (const std::string& model : loaded) {
    if (!Contains(wanted, model)) {
      return model_change{order_action::kUnload, model};
    }
  }
  return std::nullopt;
}

// Orders are based only on a recent report of the target itself; a leaving
// target receives none.
bool MayReceiveOrders(const target& value, time_point now) noexcept {
  return value.report && !value.leaving &&
         now - value.reported_at <= kMaxOrderReportAge;
}

bool IsOnHold(orders_state& state, const target_id& id, time_point now) {
  const auto order = state.outstanding.find(id);
  if (order != state.outstanding.end() && order->second.expires_at > now) {
    return true;
  }
  const auto yielded = state.yielded_until.find(id);
  return yielded != state.yielded_until.end() && yielded->second > now;
}

// A reported fencing number above this VM's own shows that another issuer has
// sent orders to the target. This VM then issues no order to the target for
// kIssuerTakeoverDelay, and continues with the number after the reported one.
bool YieldsToOtherIssuer(orders_state& state,
                         const target& value,
                         time_point now) {
  const auto own = state.fencing.find(value.id);
  const bool was_overtaken =
      own != state.fencing.end() && value.report->fencing > own->second;
  if (!was_overtaken) {
    return false;
  }
  state.fencing.erase(own);
  state.yielded_until[value.id] = now + kIssuerTakeoverDelay;
  return true;
}

std::uint64_t FencingNumberFor(orders_state& state, const target& value) {
  const auto [own, is_first] =
      state.fencing.try_emplace(value.id, value.report->fencing + 1);
  return own->second;
}

bool TakeWeightStoreToken(orders_state& state,
                          const deployment& config,
                          time_point now) noexcept {
  const double share = config.policy.weight_store_rate /
                       static_cast<double>(config.policy.failure_domains);
  return state.weight_store.Take(share, kWeightStoreBurst, now);
}

void PlanOrder(orders_state& state,
               const deployment& config,
               const target& value,
               time_point now,
               std::vector<issue_order>& out) {
  const pool* const wanted = FindPool(config, value.pool);
  const bool may_order = wanted != nullptr && MayReceiveOrders(value, now) &&
                         !IsOnHold(state, value.id, now) &&
                         !YieldsToOtherIssuer(state, value, now);
  if (!may_order) {
    return;
  }
  const auto change = NextModelChange(wanted->models, value.report->models);
  if (!change) {
    return;
  }
  if (change->action == order_action::kLoad &&
      !TakeWeightStoreToken(state, config, now)) {
    return;
  }
  const std::string id =
      std::to_string(config.revision) + "/" + value.id.value + "/" +
      std::string(ToString(change->action)) + "/" + change->model;
  state.outstanding[value.id] = {id, now + kOrderLease};
  out.push_back({value.id, value.address, id, change->action, change->model,
                 FencingNumberFor(state, value), kOrderLease});
}

}  // namespace internal

void PlanOrders(orders_state& state,
                const deployment& config,
                std::span<const target* const> targets,
                bool is_issuer,
                time_point now,
                std::vector<issue_order>& out) {
  if (!is_issuer) {
    ResignIssuer(state);
    return;
  }
  if (!state.issuer_since) {
    state.issuer_since = now;
    state.weight_store = {0, now};
  }
  if (now - *state.issuer_since < kIssuerTakeoverDelay) {
    return;
  }
  for (const target* const each : targets) {
    internal::PlanOrder(state, config, *each, now, out);
  }
}

void OnOrderAnswered(orders_state& state,
                     const order_answered& event,
                     time_point now) {
  const auto found = state.outstanding.find(event.target);
  const bool is_current =
      found != state.outstanding.end() && found->second.id == event.id;
  if (!is_current) {
    return;
  }
  if (event.verdict == order_verdict::kFenced) {
    state.fencing.erase(event.target);
    state.yielded_until[event.target] = now + kIssuerTakeoverDelay;
  }
  // An accepted order stays outstanding until it expires, because the report
  // that shows its result may be late. So does a failed one, because the target
  // may have received it.
}

void ResignIssuer(orders_state& state) noexcept {
  state = {};
}

}  // namespace acaciaferry
