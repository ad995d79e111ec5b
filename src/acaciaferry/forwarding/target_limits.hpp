#pragma once

#include <cstddef>
#include <map>
#include <optional>

#include "acaciaferry/core/name.hpp"

namespace acaciaferry::forwarding {

/**
 * @brief The limits that targets have named: the requests a second that a
 * target takes from all VMs together.
 */
class target_limits {
 public:
  /** What a response changed. */
  enum class change { kNone, kMinor, kNamed, kChanged, kEnded };

  /**
   * @brief Records what a response of a target says of its limit.
   * @param requests_per_s Finite and not negative; nothing if it names none.
   */
  change Record(const target_id& id, std::optional<double> requests_per_s);
  /** @brief Forgets the limit of a target that has restarted or gone. */
  void Forget(const target_id& id) { limits_.erase(id); }

  /** @return The limit of a target in requests a second, if it has one. */
  [[nodiscard]] std::optional<double> LimitOf(const target_id& id) const;
  /** @return Number of targets with a limit. */
  [[nodiscard]] std::size_t Count() const noexcept { return limits_.size(); }

 private:
  std::map<target_id, double> limits_;
};

}  // namespace acaciaferry::forwarding
