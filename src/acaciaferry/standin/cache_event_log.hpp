#pragma once

#include <cstdint>
#include <deque>
#include <random>
#include <span>
#include <vector>

#include "acaciaferry/core/time.hpp"
#include "acaciaferry/standin/kv_memory.hpp"

namespace acaciaferry::standin {

/** @brief A cache change with its number and the time of its publication. */
struct cache_event {
  std::uint64_t sequence{};
  cache_change change;
  time_point visible_at;
};

/**
 * @brief The published cache events of one engine: late, with gaps, and
 * bounded in number.
 */
class cache_event_log {
 public:
  /** @param seed Seed of the choice of lost events. */
  explicit cache_event_log(std::uint64_t seed) : random_(seed) {}

  /**
   * @param lag Time until an event is published.
   * @param loss_per_mille Share of the events that are never published.
   */
  void Configure(duration lag, std::uint64_t loss_per_mille);

  void Add(std::span<const cache_change> changes, time_point now);

  /** @return The published events with a number above the given one. */
  [[nodiscard]] std::vector<cache_event> After(std::uint64_t sequence,
                                               time_point now) const;

  /** @return Number of the oldest event that is still kept. */
  [[nodiscard]] std::uint64_t First() const noexcept;

  /** @return Number of the last event. */
  [[nodiscard]] std::uint64_t Last() const noexcept { return last_; }

 private:
  std::mt19937_64 random_;
  duration lag_{};
  std::uint64_t loss_per_mille_{};
  std::uint64_t last_{};
  std::deque<cache_event> events_;
};

}  // namespace acaciaferry::standin
