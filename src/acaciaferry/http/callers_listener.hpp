#pragma once

#include <Poco/Net/HTTPServer.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "acaciaferry/core/time.hpp"
#include "acaciaferry/http/exchange.hpp"
#include "acaciaferry/http/workspace_directory.hpp"
#include "acaciaferry/metrics/registry.hpp"
#include "acaciaferry/reducer/event.hpp"
#include "acaciaferry/settings/daemon_settings.hpp"

namespace acaciaferry {

/**
 * @brief State shared by the handlers of callers' requests. Outlives the
 * listener.
 */
struct callers_context {
  const daemon_settings& settings;
  const clock_source& clock;
  std::uint64_t incarnation{};
  exchange_registry& exchanges;
  const workspace_directory& workspaces;
  metrics_registry& metrics;
  std::function<void(event)> post;
  std::atomic<std::uint64_t> next_sequence{1};
};

/**
 * @brief The HTTP listener for callers.
 */
class callers_listener {
 public:
  /**
   * @param context State of the handlers; must outlive the listener.
   * @throws Poco::Exception when the address cannot be bound.
   */
  explicit callers_listener(callers_context& context);
  ~callers_listener();

  callers_listener(const callers_listener&) = delete;
  callers_listener& operator=(const callers_listener&) = delete;

  /** @return The port that was bound. */
  [[nodiscard]] std::uint16_t Port() const;

 private:
  std::unique_ptr<Poco::Net::HTTPServer> server_;
};

}  // namespace acaciaferry
