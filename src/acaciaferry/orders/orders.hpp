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

/** How long an order is valid. */
inline constexpr duration kOrderLease = std::chrono::seconds(5);
/** A new issuer waits this long, so that every order of its predecessor has
 * expired. */
inline constexpr duration kIssuerTakeoverDelay = 2 * kOrderLease;
/** Orders are not based on older load reports. */
inline constexpr duration kMaxOrderReportAge = std::chrono::seconds(3);

/** The last order to a target; it may still be in progress. */
struct outstanding_order {
  std::string id;
  time_point expires_at{};
};

/**
 * @brief The state of this VM as the issuer of orders in its failure domain.
 */
struct orders_state {
  /** When this VM became the issuer; nothing while it is not. */
  std::optional<time_point> issuer_since;
  std::map<target_id, outstanding_order> outstanding;
  /** Fencing numbers of this VM's orders to each target. */
  std::map<target_id, std::uint64_t> fencing;
  /** Until when no order is issued to a target that received orders from
   * another issuer. */
  std::map<target_id, time_point> yielded_until;
  /** Limits the orders that read the weight store. */
  token_bucket weight_store;
};

/**
 * @brief Issues the orders that make targets load the configured models, at
 * most one outstanding order for each target.
 * @param state The state of the issuer.
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

/** @brief Handles the answer to an order. */
void OnOrderAnswered(orders_state& state,
                     const order_answered& event,
                     time_point now);

/**
 * @brief Resigns as the issuer, for example after a pause of this process,
 * during which another VM may have become the issuer.
 */
void ResignIssuer(orders_state& state) noexcept;

}  // namespace acaciaferry
