#include "acaciaferry/publication/reader.hpp"

#include <algorithm>

namespace acaciaferry::publication {
namespace internal {

// The service counts responses to watches as calls, so changes that are close
// together are fetched in one. The interval is far below the bounds on
// configuration and on leaving targets.
constexpr duration kMinWatchInterval = std::chrono::milliseconds(200);
constexpr duration kWatchWait = std::chrono::milliseconds(10'000);
constexpr duration kWatchGrace = std::chrono::milliseconds(1'500);
// With short watches a VM notices a dead connection after the sum of both,
// sends a probe within 0.4 s and informs its peers with its next heartbeat.
// That takes less than three seconds in all, the time after an outage from
// which the bound on configuration applies.
constexpr duration kShortWatchWait = std::chrono::milliseconds(1'000);
constexpr duration kShortWatchGrace = std::chrono::milliseconds(900);
constexpr duration kProbeWait = std::chrono::milliseconds(100);
constexpr duration kMinBackoff = std::chrono::milliseconds(150);
constexpr duration kMaxBackoff = std::chrono::milliseconds(1'200);
// Items whose lease expired during an outage of the service are back within
// about two seconds after it.
constexpr duration kMissingGrace = std::chrono::milliseconds(2'200);
// An item that is removed during an outage or within this time after it is kept
// as missing.
constexpr duration kOutageRecoveryTime = std::chrono::milliseconds(3'000);

}  // namespace internal

std::string_view ToString(request_failure failure) noexcept {
  switch (failure) {
    case request_failure::kRefused:
      return "refused";
    case request_failure::kSilent:
      return "silent";
    case request_failure::kHistoryGone:
      return "history_gone";
  }
  return "unknown";
}

reader::reader(std::vector<std::string> prefixes, std::uint64_t seed)
    : prefixes_(std::move(prefixes)), random_(seed) {}

next_action reader::Next(time_point now) {
  if (now < not_before_) {
    return wait_until{not_before_};
  }
  if (listing_) {
    return list_request{prefixes_[prefix_index_], page_after_, allow_stale_};
  }
  // After a failure a short watch shows quickly whether the service is back.
  if (consecutive_failures_ > 0) {
    return watch_request{view_.revision, internal::kProbeWait,
                         internal::kShortWatchGrace};
  }
  return short_watches_
             ? watch_request{view_.revision, internal::kShortWatchWait,
                             internal::kShortWatchGrace}
             : watch_request{view_.revision, internal::kWatchWait,
                             internal::kWatchGrace};
}

void reader::RecordResponse(time_point now) {
  if (consecutive_failures_ > 0) {
    outage_ended_ = now;
  }
  consecutive_failures_ = 0;
  last_response_ = now;
  not_before_ = now;
}

bool reader::IsWatched(const std::string& key) const {
  return std::any_of(prefixes_.begin(), prefixes_.end(),
                     [&](const std::string& prefix) {
                       return key.compare(0, prefix.size(), prefix) == 0;
                     });
}

bool reader::HandleResult(const page& response, time_point now) {
  RecordResponse(now);
  if (prefix_index_ == 0 && page_after_.empty()) {
    // Pages are not a consistent snapshot, so changes are watched from the
    // revision of the first page on.
    listed_ = {};
    listed_.revision = response.revision;
  }
  for (const auto& [key, value] : response.items) {
    listed_.items[key] = value;
    listed_.last_change_revision =
        std::max(listed_.last_change_revision, value.revision);
  }
  if (response.has_more && !response.items.empty()) {
    page_after_ = response.items.back().first;
    return false;
  }
  page_after_.clear();
  if (++prefix_index_ < prefixes_.size()) {
    return false;
  }
  prefix_index_ = 0;
  return FinishListing(now);
}

bool reader::FinishListing(time_point now) {
  listing_ = false;
  allow_stale_ = false;
  not_before_ = now + internal::kMinWatchInterval;
  if (listed_.revision < view_.revision) {
    // The view of a peer was newer than this listing.
    listed_ = {};
    return false;
  }
  bool changed = false;
  for (auto& [key, value] : listed_.items) {
    missing_until_.erase(key);
    item& known = view_.items[key];
    if (known.revision < value.revision || known.missing) {
      known = std::move(value);
      changed = true;
    }
  }
  std::vector<std::string> removed_keys;
  for (const auto& [key, value] : view_.items) {
    if (!listed_.items.contains(key)) {
      removed_keys.push_back(key);
    }
  }
  for (const std::string& key : removed_keys) {
    changed = RemoveItem(key, now) || changed;
  }
  view_.revision = listed_.revision;
  view_.last_change_revision =
      std::max(view_.last_change_revision, listed_.last_change_revision);
  listed_ = {};
  return changed;
}

bool reader::HandleResult(const changes& response, time_point now) {
  RecordResponse(now);
  not_before_ = now + internal::kMinWatchInterval;
  bool changed = false;
  for (const change& each : response.events) {
    if (!IsWatched(each.key)) {
      continue;
    }
    view_.last_change_revision =
        std::max(view_.last_change_revision, each.revision);
    if (!each.value) {
      const auto at = view_.items.find(each.key);
      if (at != view_.items.end() && at->second.revision <= each.revision) {
        changed = RemoveItem(each.key, now) || changed;
      }
      continue;
    }
    missing_until_.erase(each.key);
    item& known = view_.items[each.key];
    if (known.revision <= each.revision) {
      known = {*each.value, each.revision, false};
      changed = true;
    }
  }
  view_.revision = std::max(view_.revision, response.revision);
  return changed;
}

bool reader::RemoveItem(const std::string& key, time_point now) {
  if (IsOutageRecent(now)) {
    const bool added =
        missing_until_.try_emplace(key, now + internal::kMissingGrace).second;
    view_.items[key].missing = true;
    return added;
  }
  missing_until_.erase(key);
  return view_.items.erase(key) > 0;
}

bool reader::IsOutageRecent(time_point now) const {
  return consecutive_failures_ > 0 ||
         (outage_ended_ &&
          now - *outage_ended_ < internal::kOutageRecoveryTime);
}

void reader::HandleResult(request_failure failure, time_point now) {
  if (failure == request_failure::kHistoryGone) {
    // A stale listing could end before the available history again.
    RecordResponse(now);
    listing_ = true;
    allow_stale_ = false;
    prefix_index_ = 0;
    page_after_.clear();
    return;
  }
  ++consecutive_failures_;
  const duration backoff = std::min(
      internal::kMinBackoff * (1U << std::min(consecutive_failures_ - 1, 8U)),
      internal::kMaxBackoff);
  const auto jitter =
      DrawBelow(random_, static_cast<std::uint64_t>(backoff.count() / 2) + 1);
  not_before_ = now + backoff + duration(static_cast<std::int64_t>(jitter));
  if (listing_) {
    prefix_index_ = 0;
    page_after_.clear();
  }
}

bool reader::Adopt(const view& peer_view, time_point now) {
  if (peer_view.last_change_revision <= view_.last_change_revision) {
    return false;
  }
  view_.items = peer_view.items;
  view_.last_change_revision = peer_view.last_change_revision;
  if (peer_view.revision > view_.revision) {
    view_.revision = peer_view.revision;
  }
  missing_until_.clear();
  for (const auto& [key, value] : view_.items) {
    if (value.missing) {
      missing_until_.emplace(key, now + internal::kMissingGrace);
    }
  }
  return true;
}

bool reader::Expire(time_point now) {
  bool changed = false;
  for (auto at = missing_until_.begin(); at != missing_until_.end();) {
    if (at->second <= now && consecutive_failures_ == 0) {
      changed = view_.items.erase(at->first) > 0 || changed;
      at = missing_until_.erase(at);
    } else {
      ++at;
    }
  }
  return changed;
}

std::optional<time_point> reader::NextExpiry() const {
  std::optional<time_point> next;
  for (const auto& [key, at] : missing_until_) {
    next = next ? std::min(*next, at) : at;
  }
  return next;
}

}  // namespace acaciaferry::publication
