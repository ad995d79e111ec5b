#pragma once

#include <utility>
// Boost 1.74 needs <utility> before its own headers with g++ 12.
#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>

#include "acaciaferry/entry/dialect.hpp"

namespace acaciaferry::entry {

/**
 * @brief Sends an order to a target.
 * @param loop The event loop.
 * @param address IP:PORT of the target.
 * @param order What is sent.
 * @param tries How often it is sent at most while there is no answer.
 * @param on_settled Called once, with whether the target carried it out.
 */
void SendOrder(boost::asio::io_context& loop,
               const std::string& address,
               const outgoing_request& order,
               int max_attempts,
               const std::function<void(bool)>& on_done);

}  // namespace acaciaferry::entry
