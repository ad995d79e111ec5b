#pragma once

#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "acaciaferry/core/name.hpp"
#include "acaciaferry/deployment/deployment.hpp"
#include "acaciaferry/metrics/latency.hpp"

namespace acaciaferry {

/**
 * @brief The workspace that a bearer token belongs to.
 */
struct authenticated_workspace {
  workspace_id id;
  workspace_class weight_class{};
};

/**
 * @brief Finds a workspace by its bearer token, and lists the models.
 * Thread-safe; each new configuration replaces the whole content at once.
 */
class workspace_directory {
 public:
  /** @brief Replaces the workspaces and models by those of a configuration. */
  void Update(const deployment& config);

  /**
   * @brief Authenticates a caller.
   * @param token The bearer token as presented.
   * @return Its workspace, or nothing when the token is unknown.
   */
  [[nodiscard]] std::optional<authenticated_workspace> Authenticate(
      std::string_view token) const;

  /** @return Whether a configuration was applied. Until then every token is
   * unknown, also a valid one. */
  [[nodiscard]] bool IsConfigured() const;

  /** @return The ids of the model pools. */
  [[nodiscard]] std::vector<std::string> Models() const;

 private:
  struct snapshot {
    std::unordered_map<std::string, authenticated_workspace> by_digest;
    std::vector<std::string> models;
    bool is_configured{};
  };

  [[nodiscard]] std::shared_ptr<const snapshot> Current() const;

  mutable std::mutex mutex_;
  std::shared_ptr<const snapshot> current_{std::make_shared<snapshot>()};
};

}  // namespace acaciaferry
