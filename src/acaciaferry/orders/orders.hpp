#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "acaciaferry/core/name.hpp"
#include "acaciaferry/core/time.hpp"
#include "acaciaferry/deployment/deployment.hpp"
#include "acaciaferry/orders/order.hpp"
#include "acaciaferry/orders/token_bucket.hpp"
#include "acaciaferry/targets/target.hpp"

namespace acaciaferry {

/** Time for which an order stays valid at its target. */
inline constexpr duration kOrderLease = std::chrono::seconds(5);
/** A new issuer waits until every order of the one before has expired. */
inline constexpr duration kIssuerWait = 2 * kOrderLease;
/** An older report says nothing of what a target has loaded now. */
inline constexpr duration kFreshReport = std::chrono::seconds(3);

struct outstanding_order {
  std::string id;
  time_point expires_at{};
};

/**
 * @brief This VM's part as the issuer of its failure domain.
 */
struct orders_state {
  /** Since when this VM has been the issuer; nothing while it is not. */
  std::optional<time_point> issuer_since;
  std::map<target_id, outstanding_order> outstanding;
  /** Fencing number of this VM's last order to a target. */
  std::map<target_id, std::uint64_t> fencing;
  /** Until when a target that another issuer has written to is left alone. */
  std::map<target_id, time_point> yielded_until;
  token_bucket weight_store;
};

/**
 * @brief Issues the orders that bring targets to the wanted state, at most one
 * outstanding for each target.
 * @param state This VM's part.
 * @param config The deployment in force.
 * @param targets The targets of this VM's failure domain.
 * @param is_issuer Whether this VM is the domain's issuer now.
 * @param now The current time.
 * @param out Receives the orders.
 */
void PlanOrders(orders_state& state,
                const deployment& config,
                std::span<const target* const> targets,
                bool is_issuer,
                time_point now,
                std::vector<issue_order>& out);

/** @brief Takes the answer to an order. */
void OnOrderAnswered(orders_state& state,
                     const order_answered& event,
                     time_point now);

/**
 * @brief Gives up the issuer's part after a pause of this process; another VM
 * may have taken it over meanwhile.
 */
void ResignIssuer(orders_state& state) noexcept;

}  // namespace acaciaferry
