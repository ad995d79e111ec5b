#pragma once

#include <Poco/Net/HTTPServer.h>

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

#include "acaciaferry/administration/api.hpp"
#include "acaciaferry/administration/token_check.hpp"
#include "acaciaferry/metrics/registry.hpp"

namespace acaciaferry {

/**
 * @brief State shared by the handlers of operators' requests. Outlives the
 * listener.
 */
struct operators_context {
  const metrics_registry& metrics;
  administration_context administration;
  /** Tokens for the administration API; without any, it refuses all requests.
   */
  token_check tokens;
  /** Whether /readyz tells load balancers to send callers to this VM. */
  std::atomic<bool> ready{};
};

/**
 * @brief The HTTP listener for operators: the status page at /, /healthz,
 * /readyz, /metrics and, with a token, the administration API below /admin/v1.
 */
class operators_listener {
 public:
  /**
   * @param address IP:PORT to listen on.
   * @param context State of the handlers; must outlive the listener.
   * @throws Poco::Exception when the address cannot be bound.
   */
  operators_listener(const std::string& address, operators_context& context);
  ~operators_listener();

  operators_listener(const operators_listener&) = delete;
  operators_listener& operator=(const operators_listener&) = delete;

  /** @return The port that was bound. */
  [[nodiscard]] std::uint16_t Port() const;

 private:
  std::unique_ptr<Poco::Net::HTTPServer> server_;
};

}  // namespace acaciaferry
