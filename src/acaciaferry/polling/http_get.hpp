#pragma once

#include <cstddef>
#include <optional>
#include <string>

#include "acaciaferry/core/time.hpp"

namespace acaciaferry {

/**
 * @brief A response's status and body.
 */
struct http_reply {
  int status{};
  std::string body;
};

/**
 * @brief Gets a resource over a new connection.
 * @param address IP:PORT.
 * @param path Path and query.
 * @param timeout Limit for each connect, send and receive.
 * @param max_bytes Largest body that is accepted.
 * @return The reply, or nothing when the connection failed or the body is
 * larger.
 */
[[nodiscard]] std::optional<http_reply> HttpGet(const std::string& address,
                                                const std::string& path,
                                                duration timeout,
                                                std::size_t max_bytes);

}  // namespace acaciaferry
