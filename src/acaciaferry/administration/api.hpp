#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "acaciaferry/core/time.hpp"
#include "acaciaferry/metrics/registry.hpp"
#include "acaciaferry/reducer/state.hpp"

namespace acaciaferry {

/**
 * @brief HTTP status and body of a reply to an administration request.
 */
struct administration_reply {
  int status{};
  /** JSON, or only a line feed. */
  std::string body;
};

/**
 * @brief The parts of the daemon that the administration API uses.
 */
struct administration_context {
  /** Runs a function on the reducer's thread and waits for it. */
  std::function<void(const std::function<void(const state&)>&)> inspect;
  /** Starts a graceful shutdown. */
  std::function<void()> drain;
  const clock_source& clock;
  const metrics_registry& metrics;
};

/**
 * @brief Handles a request below /admin/v1 whose token was already checked.
 * @param context The daemon.
 * @param method HTTP method.
 * @param path Path without a query.
 * @param body The request's body.
 * @return The reply; status 404 for an unknown path, 405 for a method that the
 * path does not support.
 */
[[nodiscard]] administration_reply HandleAdministrationRequest(
    const administration_context& context,
    std::string_view method,
    std::string_view path,
    std::string_view body);

}  // namespace acaciaferry
