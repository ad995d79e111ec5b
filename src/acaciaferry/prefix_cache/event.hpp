#pragma once

#include <cstdint>
#include <vector>

#include "acaciaferry/core/name.hpp"

namespace acaciaferry {

/** A prompt block was added to or evicted from a target's cache. */
struct cache_event {
  std::uint64_t sequence{};
  bool is_eviction{};
  std::uint64_t block{};
};

/** A target's response to a poll of its cache events arrived. */
struct cache_events_received {
  target_id target;
  std::uint64_t incarnation{};
  /** Sequence number of the oldest event that the target still stores. */
  std::uint64_t oldest_sequence{};
  /** Whether the events are a snapshot of the whole cache. */
  bool is_snapshot{};
  std::vector<cache_event> events;
};

/** Result of applying a response to a poll. */
enum class cache_verdict {
  kAccepted,
  /** Applied, but events were missed. */
  kGap,
  kUnknownTarget,
  kSupersededIncarnation,
  kOldSequence,
};

}  // namespace acaciaferry
