#pragma once

#include <algorithm>
#include <cstdint>
#include <utility>
#include <vector>

#include "acaciaferry/core/time.hpp"

namespace acaciaferry {

/**
 * @brief A priority queue of actions by time. Actions with equal times keep the
 * order in which they were pushed, so that a run is deterministic.
 * @tparam Action A movable action.
 */
template <typename Action>
class event_heap {
 public:
  void Push(time_point at, Action action) {
    std::size_t slot = actions_.size();
    if (free_.empty()) {
      actions_.push_back(std::move(action));
    } else {
      slot = free_.back();
      free_.pop_back();
      actions_[slot] = std::move(action);
    }
    heap_.push_back({at, ++sequence_, slot});
    std::push_heap(heap_.begin(), heap_.end(), IsLater);
  }

  /** @return The earliest action and its time; the heap is not empty. */
  [[nodiscard]] std::pair<time_point, Action> Pop() {
    std::pop_heap(heap_.begin(), heap_.end(), IsLater);
    const entry first = heap_.back();
    heap_.pop_back();
    free_.push_back(first.slot);
    return {first.at, std::move(actions_[first.slot])};
  }

  [[nodiscard]] bool empty() const noexcept { return heap_.empty(); }

 private:
  struct entry {
    time_point at{};
    std::uint64_t sequence{};
    std::size_t slot{};
  };

  [[nodiscard]] static bool IsLater(const entry& a, const entry& b) noexcept {
    return std::pair(a.at, a.sequence) > std::pair(b.at, b.sequence);
  }

  std::vector<entry> heap_;
  std::vector<Action> actions_;
  std::vector<std::size_t> free_;
  std::uint64_t sequence_{};
};

}  // namespace acaciaferry
