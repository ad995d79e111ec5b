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
 * @brief Reads a small resource over a new connection.
 * @param address IP:PORT.
 * @param path Path and query.
 * @param timeout Limit of each step: connect, send and receive.
 * @param max_bytes A longer body counts as a failure.
 * @return The reply, or nothing when the connection failed.
 */
[[nodiscard]] std::optional<http_reply> HttpGet(const std::string& address,
                                                const std::string& path,
                                                duration timeout,
                                                std::size_t max_bytes);

}  // namespace acaciaferry
