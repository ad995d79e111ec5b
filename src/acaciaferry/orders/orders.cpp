#include "acaciaferry/orders/orders.hpp"

#include <algorithm>

namespace acaciaferry {
namespace internal {

// Reads of the weight store that may be sent at once.
constexpr double kWeightStoreBurst = 1;

struct difference {
  order_action action{};
  std::string model;
};

bool Contains(const std::vector<std::string>& list, const std::string& value) {
  return std::find(list.begin(), list.end(), value) != list.end();
}

// The next step towards the wanted state. Missing models are loaded before
// others are unloaded, so that a target is never left without a model.
std::optional<difference> NextStep(const std::vector<std::string>& wanted,
                                   const std::vector<std::string>& loaded) {
  for (const std::string& model : wanted) {
    if (!Contains(loaded, model)) {
      return difference{order_action::kLoad, model};
    }
  }
  for (const std::string& model : loaded) {
    if (!Contains(wanted, model)) {
      return difference{order_action::kUnload, model};
    }
  }
  return std::nullopt;
}

// Orders follow what the target itself has said just now. Without a fresh
// report nothing is ordered.
bool IsReadable(const target& value, time_point now) noexcept {
  return value.report && !value.leaving &&
         now - value.reported_at <= kFreshReport;
}

bool IsWaiting(orders_state& state, const target_id& id, time_point now) {
  const auto order = state.outstanding.find(id);
  if (order != state.outstanding.end() && order->second.expires_at > now) {
    return true;
  }
  const auto yielded = state.yielded_until.find(id);
  return yielded != state.yielded_until.end() && yielded->second > now;
}

// A number above this VM's own shows that another issuer has written. This VM
// yields for as long as a new issuer waits, and then takes the next number.
bool YieldsToOther(orders_state& state, const target& value, time_point now) {
  const auto own = state.fencing.find(value.id);
  const bool was_overtaken =
      own != state.fencing.end() && value.report->fencing > own->second;
  if (!was_overtaken) {
    return false;
  }
  state.fencing.erase(own);
  state.yielded_until[value.id] = now + kIssuerWait;
  return true;
}

std::uint64_t FencingFor(orders_state& state, const target& value) {
  const auto [own, is_first] =
      state.fencing.try_emplace(value.id, value.report->fencing + 1);
  return own->second;
}

bool MayReadWeights(orders_state& state,
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
  const bool is_idle = wanted != nullptr && IsReadable(value, now) &&
                       !IsWaiting(state, value.id, now) &&
                       !YieldsToOther(state, value, now);
  if (!is_idle) {
    return;
  }
  const auto step = NextStep(wanted->models, value.report->models);
  if (!step) {
    return;
  }
  if (step->action == order_action::kLoad &&
      !MayReadWeights(state, config, now)) {
    return;
  }
  const std::string id =
      std::to_string(config.revision) + "/" + value.id.value + "/" +
      std::string(ToString(step->action)) + "/" + step->model;
  state.outstanding[value.id] = {id, now + kOrderLease};
  out.push_back({value.id, value.address, id, step->action, step->model,
                 FencingFor(state, value), kOrderLease});
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
  if (now - *state.issuer_since < kIssuerWait) {
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
    state.yielded_until[event.target] = now + kIssuerWait;
  }
  // An accepted order stays outstanding until it expires: the report that
  // shows its result may lag. A failed one may have arrived all the same.
}

void ResignIssuer(orders_state& state) noexcept {
  state = {};
}

}  // namespace acaciaferry
