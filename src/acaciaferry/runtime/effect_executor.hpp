#pragma once

#include <atomic>

#include "acaciaferry/http/exchange.hpp"
#include "acaciaferry/http/operators_listener.hpp"
#include "acaciaferry/http/workspace_directory.hpp"
#include "acaciaferry/metrics/registry.hpp"
#include "acaciaferry/peer/link.hpp"
#include "acaciaferry/reducer/effect.hpp"
#include "acaciaferry/runtime/configuration_checker.hpp"
#include "acaciaferry/target_client/control_client.hpp"
#include "acaciaferry/target_client/target_client.hpp"

namespace acaciaferry {

/**
 * @brief The components that effects act on; all outlive the executor.
 */
struct effect_adapters {
  exchange_registry& exchanges;
  workspace_directory& workspaces;
  metrics_registry& metrics;
  target_client& targets;
  control_client& control;
  operators_context& operators;
  configuration_checker& checker;
  /** Null when the settings have no peers' address. */
  peer_link* peers{};
};

/**
 * @brief Executes the reducer's effects on the event loop's thread.
 */
class effect_executor {
 public:
  explicit effect_executor(const effect_adapters& adapters)
      : adapters_(adapters) {}

  /** @brief Executes one effect; does not block. */
  void Execute(effect& value);

  /** @brief Makes the readiness check fail from now on. Thread-safe. */
  void StartDrain() noexcept;

  /** @return Whether a drain has completed. Thread-safe. */
  [[nodiscard]] bool IsDrained() const noexcept { return drained_; }

 private:
  struct visitor;

  const effect_adapters adapters_;
  std::atomic<bool> draining_{};
  std::atomic<bool> drained_{};
};

}  // namespace acaciaferry
