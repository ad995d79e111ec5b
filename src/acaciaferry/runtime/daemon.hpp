#pragma once

#include <memory>

#include "acaciaferry/settings/daemon_settings.hpp"

namespace acaciaferry {

/**
 * @brief The process of one entry VM: creates its listeners, clients, event
 * loop and periodic tasks, and connects them.
 */
class daemon {
 public:
  /**
   * @param settings Checked settings.
   * @throws Poco::Exception when a listener cannot be bound.
   */
  explicit daemon(daemon_settings settings);
  ~daemon();

  daemon(const daemon&) = delete;
  daemon& operator=(const daemon&) = delete;

  /** @brief Starts a graceful shutdown; a second call changes nothing. */
  void Drain();

  /** @return Whether a graceful shutdown has completed. */
  [[nodiscard]] bool IsDrained() const noexcept;

 private:
  class implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace acaciaferry
