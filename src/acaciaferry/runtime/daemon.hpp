#pragma once

#include <memory>

#include "acaciaferry/settings/daemon_settings.hpp"

namespace acaciaferry {

/**
 * @brief All parts of one entry VM's process, wired together.
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
  class parts;
  std::unique_ptr<parts> parts_;
};

}  // namespace acaciaferry
