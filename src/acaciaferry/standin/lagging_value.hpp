#pragma once

#include <deque>
#include <utility>

#include "acaciaferry/core/time.hpp"

namespace acaciaferry::standin {

/**
 * @brief A value that readers see as it was some time ago.
 * @tparam Value Any copyable type.
 */
template <typename Value>
class lagging_value {
 public:
  explicit lagging_value(Value first) {
    history_.emplace_back(time_point::min(), std::move(first));
  }

  /** @brief Records the value of a moment, not earlier than the last one. */
  void Record(Value value, time_point now) {
    history_.emplace_back(now, std::move(value));
  }

  /** @return The last value that is at least as old as the lag. */
  [[nodiscard]] const Value& Read(time_point now, duration lag) {
    // Older entries stay until the lag has passed them, since it may grow.
    while (history_.size() > 1 && history_[1].first + kKept <= now) {
      history_.pop_front();
    }
    std::size_t index = 0;
    while (index + 1 < history_.size() &&
           history_[index + 1].first + lag <= now) {
      ++index;
    }
    return history_[index].second;
  }

 private:
  static constexpr duration kKept = std::chrono::seconds(60);

  std::deque<std::pair<time_point, Value>> history_;
};

}  // namespace acaciaferry::standin
