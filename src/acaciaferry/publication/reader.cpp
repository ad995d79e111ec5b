#include "acaciaferry/publication/reader.hpp"

#include <algorithm>
#include <utility>

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
// VMs whose watches are long list at random times within this one, so that not
// all list at once; VMs with short ones tell them what they find.
constexpr duration kMaxListingDelay = std::chrono::milliseconds(400);

}  // namespace internal

std::string_view ToString(request_failure failure) noexcept {
  switch (failure) {
    case request_failure::kRefused:
      return "refused";
    case request_failure::kSilent:
      return "silent";
    case request_failure::kHistoryGone:
      return "history_gone";
    case request_failure::kOutdated:
      return "outdated";
  }
  return "unknown";
}

reader::reader(std::vector<std::string> prefixes,
               std::uint64_t seed,
               document_ranks ranks)
    : prefixes_(std::move(prefixes)), random_(seed), ranks_(std::move(ranks)) {}

next_action reader::Next(time_point now) {
  if (now < not_before_) {
    return wait_until{not_before_};
  }
  long_watch_sent_.reset();
  if (listing_) {
    return list_request{prefixes_[prefix_index_], page_after_};
  }
  watch_era_ = view_.era;
  // After a failure a short watch shows quickly whether the service is back.
  if (consecutive_failures_ > 0) {
    return watch_request{CompleteRevision(), internal::kProbeWait,
                         internal::kShortWatchGrace};
  }
  if (short_watches_ || complete_until_) {
    return watch_request{CompleteRevision(), internal::kShortWatchWait,
                         internal::kShortWatchGrace};
  }
  long_watch_sent_ = now;
  return watch_request{CompleteRevision(), internal::kWatchWait,
                       internal::kWatchGrace};
}

void reader::RecordResponse(time_point now) {
  EndFailures(now);
  not_before_ = now;
}

bool reader::IsWatched(const std::string& key) const {
  return std::any_of(prefixes_.begin(), prefixes_.end(),
                     [&](const std::string& prefix) {
                       return key.compare(0, prefix.size(), prefix) == 0;
                     });
}

bool reader::EnterEra(std::uint64_t era, time_point now) {
  if (era <= era_) {
    return false;
  }
  era_ = era;
  if (!view_.items.empty()) {
    // Entries that are newer than the copy are written again soon.
    outage_ended_ = now;
  }
  return true;
}

void reader::StartListing() {
  listing_ = true;
  prefix_index_ = 0;
  page_after_.clear();
}

bool reader::HandleResult(const page& response, time_point now) {
  if (response.era != 0 && response.era < era_) {
    HandleResult(request_failure::kOutdated, now);
    return false;
  }
  RecordResponse(now);
  if (!listing_) {
    // The view of a peer has made the listing needless.
    return false;
  }
  const bool is_first = prefix_index_ == 0 && page_after_.empty();
  // A peer may have told of the later era between two pages.
  if ((EnterEra(response.era, now) || listed_.era != era_) && !is_first) {
    StartListing();
    return false;
  }
  if (is_first) {
    // Pages are not a consistent snapshot, so changes are watched from the
    // revision of the first page on.
    listed_ = {};
    listed_.era = era_;
    listed_.revision = response.revision;
  }
  for (const auto& [key, value] : response.items) {
    item& listed = listed_.items[key];
    listed = value;
    listed.era = era_;
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
  not_before_ = now + internal::kMinWatchInterval;
  last_response_ = now;
  const view listed = std::exchange(listed_, {});
  if (listed.era == view_.era && listed.revision < view_.revision) {
    // The view of a peer was newer than this listing. If the peer doesn't know
    // all documents, a later listing is needed.
    if (!IsComplete()) {
      StartListing();
    }
    return false;
  }
  const bool changed = ReplaceView(listed, now, document_source::kService);
  watch_era_ = view_.era;
  has_all_ = true;
  complete_until_.reset();
  return changed;
}

void reader::RaiseCompleteRevision(std::uint64_t revision) {
  has_all_ = true;
  complete_until_ = std::max(CompleteRevision(), revision);
  if (*complete_until_ >= view_.revision) {
    complete_until_.reset();
  }
}

void reader::StopRequests(time_point now) {
  if (listing_) {
    StartListing();
  }
  EndFailures(now);
}

bool reader::HandleResult(const changes& response, time_point now) {
  if (response.era != 0 && response.era < era_) {
    HandleResult(request_failure::kOutdated, now);
    return false;
  }
  RecordResponse(now);
  not_before_ = now + internal::kMinWatchInterval;
  if (EnterEra(response.era, now)) {
    StartListing();
    DelayListing(now);
    return false;
  }
  if (watch_era_ != view_.era) {
    // The view of a peer is of a later era than the revision of this watch.
    return false;
  }
  last_response_ = now;
  bool changed = false;
  for (const change& each : response.events) {
    if (!IsWatched(each.key)) {
      continue;
    }
    view_.last_change_revision =
        std::max(view_.last_change_revision, each.revision);
    LogChange(each.key, each.revision);
    if (each.value) {
      const item written{*each.value, each.revision, false, view_.era};
      changed = TakeItem(each.key, written, now, document_source::kService) ||
                changed;
      continue;
    }
    const auto at = view_.items.find(each.key);
    if (at != view_.items.end() && !IsPermanent(each.key) &&
        (at->second.era != view_.era || at->second.revision <= each.revision)) {
      changed = RemoveItem(each.key, absence::kReported, now) || changed;
    }
  }
  view_.revision = std::max(view_.revision, response.revision);
  RaiseCompleteRevision(response.revision);
  return changed;
}

void reader::DelayListing(time_point now) {
  if (!short_watches_) {
    not_before_ = now + duration(static_cast<std::int64_t>(DrawBelow(
                            random_, static_cast<std::uint64_t>(
                                         internal::kMaxListingDelay.count()))));
  }
}

void reader::HandleResult(request_failure failure, time_point now) {
  if (failure == request_failure::kHistoryGone) {
    RecordResponse(now);
    if (listing_ || watch_era_ == view_.era) {
      StartListing();
      DelayListing(now);
    }
    return;
  }
  if (!failing_since_) {
    // A call that fails at once fails because the service is away, or only
    // itself. A long watch without any response hides a whole outage.
    const bool hid_outage =
        long_watch_sent_ && now - *long_watch_sent_ >= internal::kWatchWait;
    failing_since_ = hid_outage ? *long_watch_sent_ : now;
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

}  // namespace acaciaferry::publication
