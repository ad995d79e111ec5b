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
 * @brief An administration request's answer.
 */
struct administration_reply {
  int status{};
  /** JSON, or nothing but a line feed. */
  std::string body;
};

/**
 * @brief What the administration API needs of the daemon.
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
 * @brief Answers a request below /admin/v1, whose token was checked already.
 * @param context The daemon.
 * @param method HTTP method.
 * @param path Path without a query.
 * @param body The request's body.
 * @return The reply; status 404 for an unknown path, 405 for a method that the
 * path does not have.
 */
[[nodiscard]] administration_reply HandleAdministrationRequest(
    const administration_context& context,
    std::string_view method,
    std::string_view path,
    std::string_view body);

}  // namespace acaciaferry
