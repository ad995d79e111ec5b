#include <algorithm>

#include "acaciaferry/publication/reader.hpp"
#include "acaciaferry/publication/reader_grace.hpp"

// Outages of the service, and the grace periods of what is missing after them.
namespace acaciaferry::publication {
namespace internal {

// A service that isn't heard for this long after a failed call has been away. A
// call that is made at once after a single failure gets its response earlier.
constexpr duration kMinOutage = std::chrono::milliseconds(700);
// Leases that were not renewed during an outage may also run out this soon
// after it. Removals that are reported later mean that the item is gone. The
// first response comes at most kMaxBackoff and its jitter, 1.8 s, after the
// service is back, so this ends within the 3 s after which its changes have to
// be followed.
constexpr duration kLateLapse = std::chrono::milliseconds(1'000);

}  // namespace internal

// A peer that has newer changes has heard the service meanwhile.
bool reader::WasOutage(time_point now) const {
  return failing_since_ &&
         now - std::max(*failing_since_,
                        peer_news_at_.value_or(*failing_since_)) >=
             internal::kMinOutage;
}

void reader::EndFailures(time_point now) {
  if (WasOutage(now)) {
    outage_ended_ = now;
    ExtendHeldPeriods(now);
  }
  consecutive_failures_ = 0;
  failing_since_.reset();
}

// A VM that is turned away hears of the end of an outage from its peers.
void reader::RecordPeerNews(time_point now) {
  const bool is_first =
      failing_since_ && (!peer_news_at_ || *peer_news_at_ < *failing_since_);
  if (is_first && WasOutage(now)) {
    outage_ended_ = now;
    ExtendHeldPeriods(now);
  }
  peer_news_at_ = now;
}

// What disappeared around an earlier outage could not come back in this one.
void reader::ExtendHeldPeriods(time_point now) {
  for (auto& [key, period] : missing_) {
    if (IsHeld(period)) {
      period.until = std::max(period.until, now + internal::kMissingGrace);
    }
  }
}

// While the service is away it can't tell whether an item is there again. Items
// that disappeared since the failures began were told of by a peer that hears
// the service.
bool reader::IsHeld(const grace_period& each) const {
  return failing_since_ && each.since < *failing_since_ &&
         (!peer_news_at_ || *peer_news_at_ < *failing_since_);
}

// Peers keep what may come back themselves, and send it as missing.
bool reader::MayComeBack(const std::string& key,
                         absence how,
                         time_point now) const {
  const auto at = view_.items.find(key);
  const bool is_ending = ranks_.is_ending && at != view_.items.end() &&
                         ranks_.is_ending(key, at->second.value);
  if (how == absence::kRemovedByPeer || is_ending || !outage_ended_ ||
      returning_.contains(key) || OutlivesCopies(key)) {
    return false;
  }
  const duration since_outage = now - *outage_ended_;
  return since_outage < (how == absence::kReported ? internal::kLateLapse
                                                   : internal::kMissingGrace);
}

bool reader::Expire(time_point now) {
  std::vector<std::string> gone;
  for (const auto& [key, period] : missing_) {
    if (period.until <= now && !IsHeld(period)) {
      gone.push_back(key);
    }
  }
  for (const std::string& key : gone) {
    EraseItem(key, now);
  }
  const std::size_t valid = std::erase_if(returning_, [&](const auto& each) {
    if (each.second.until > now || IsHeld(each.second)) {
      return false;
    }
    const auto at = view_.items.find(each.first);
    if (at != view_.items.end()) {
      at->second.missing = false;
    }
    return true;
  });
  return !gone.empty() || valid > 0;
}

std::optional<time_point> reader::NextExpiry() const {
  std::optional<time_point> next;
  for (const auto* periods : {&missing_, &returning_}) {
    for (const auto& [key, period] : *periods) {
      if (!IsHeld(period)) {
        next = next ? std::min(*next, period.until) : period.until;
      }
    }
  }
  return next;
}

}  // namespace acaciaferry::publication
