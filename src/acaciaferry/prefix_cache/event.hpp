#pragma once

#include <cstdint>
#include <vector>

#include "acaciaferry/core/name.hpp"

namespace acaciaferry {

/** A block of a prompt entered or left a target's cache. */
struct cache_event {
  std::uint64_t sequence{};
  bool is_eviction{};
  std::uint64_t block{};
};

/** A target's answer to a poll of its cache events arrived. */
struct cache_events_received {
  target_id target;
  std::uint64_t incarnation{};
  /** The oldest event that the target still keeps. */
  std::uint64_t oldest_sequence{};
  /** Whether the events are the whole cache. */
  bool is_snapshot{};
  std::vector<cache_event> events;
};

/** What became of an answer to a poll. */
enum class cache_verdict {
  kAccepted,
  kGap,
  kUnknownTarget,
  kSupersededIncarnation,
  kOldSequence,
};

}  // namespace acaciaferry
