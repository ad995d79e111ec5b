#include "acaciaferry/standin/cache_event_log.hpp"

#include "acaciaferry/core/random.hpp"

namespace acaciaferry::standin {
namespace internal {

constexpr std::size_t kMaxEvents = 4'096;
constexpr std::uint64_t kPerMille = 1'000;

}  // namespace internal

void cache_event_log::Configure(duration lag, std::uint64_t loss_per_mille) {
  lag_ = lag;
  loss_per_mille_ = loss_per_mille;
}

void cache_event_log::Add(std::span<const cache_change> changes,
                          time_point now) {
  for (const cache_change& change : changes) {
    ++last_;
    if (DrawBelow(random_, internal::kPerMille) < loss_per_mille_) {
      continue;
    }
    events_.push_back({last_, change, now + lag_});
    if (events_.size() > internal::kMaxEvents) {
      events_.pop_front();
    }
  }
}

std::vector<cache_event> cache_event_log::After(std::uint64_t sequence,
                                                time_point now) const {
  std::vector<cache_event> result;
  for (const cache_event& event : events_) {
    if (event.sequence > sequence && event.visible_at <= now) {
      result.push_back(event);
    }
  }
  return result;
}

std::uint64_t cache_event_log::First() const noexcept {
  return events_.empty() ? last_ + 1 : events_.front().sequence;
}

}  // namespace acaciaferry::standin
