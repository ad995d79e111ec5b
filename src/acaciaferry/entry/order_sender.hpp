#pragma once

#include <utility>
// Boost 1.74 needs <utility> before its own headers with g++ 12.
#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>

#include "acaciaferry/entry/dialect.hpp"
#include "acaciaferry/forwarding/event.hpp"
#include "acaciaferry/net/memory_account.hpp"

namespace acaciaferry::entry {

/** @brief How an order ended. */
struct order_outcome {
  forwarding::order_result result{};
  /** Head of the response; without a status if there was none. */
  net::response_head head;
};

/**
 * @brief Sends an order to a target and retries while no response arrives.
 * @param loop The event loop.
 * @param address IP:PORT of the target.
 * @param order The request.
 * @param max_attempts Maximum number of attempts.
 * @param tunnel IP:PORT of the tunnel to connect through; empty to connect
 * directly.
 * @param memory Bounds what all responses take together; null for none.
 * @param on_done Called once, with the outcome.
 */
void SendOrder(boost::asio::io_context& loop,
               const std::string& address,
               const outgoing_request& order,
               int max_attempts,
               const std::string& tunnel,
               net::memory_account* memory,
               const std::function<void(const order_outcome&)>& on_done);

}  // namespace acaciaferry::entry
