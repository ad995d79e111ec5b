#pragma once

#include <utility>
// Boost 1.74 needs <utility> before its own headers with g++ 12.
#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>

#include "acaciaferry/core/time.hpp"

namespace acaciaferry::net {

/**
 * @brief Connects to a server and closes the connection at once.
 * @param address IP:PORT of the server.
 * @param timeout Time after which connecting fails.
 * @param on_done Called once, with whether the connection was established.
 */
void ProbeConnection(boost::asio::io_context& loop,
                     const std::string& address,
                     duration timeout,
                     std::function<void(bool connected)> on_done);

}  // namespace acaciaferry::net
