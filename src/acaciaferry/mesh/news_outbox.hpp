#pragma once

#include <functional>
#include <vector>

#include "acaciaferry/core/time.hpp"
#include "acaciaferry/mesh/message.hpp"

namespace acaciaferry::mesh {

/**
 * @brief Collects the news of a hub for the other hubs, so that many dispatches
 * and ends go out in one message.
 */
class news_outbox {
 public:
  /** @brief Adds news. @return Whether nothing was waiting before. */
  bool Add(const load_update& news);

  /** @return What was added since the last call. */
  [[nodiscard]] load_update Take();

  /** Longest time that news wait. Planners of other failure domains use it for
   * the load of targets that they rarely choose, so it may be late. */
  static constexpr duration kMaxDelay = std::chrono::milliseconds(20);

 private:
  load_update collected_;
};

}  // namespace acaciaferry::mesh
