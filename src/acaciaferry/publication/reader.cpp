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
// Items whose lease expired during an outage of the service are back within
// about two seconds after it.
constexpr duration kMissingGrace = std::chrono::milliseconds(2'200);
// Entries of targets that have ended expire within this time after the service
// came back from a copy in which they are alive.
constexpr duration kCopyExpiry = std::chrono::milliseconds(5'000);
// For how long removed items are remembered; a copy is some seconds old.
constexpr duration kMaxRemovedAge = std::chrono::seconds(60);
// VMs whose watches are long list at random times within this one, so that not
// all list at once; VMs with short ones tell them what they find.
constexpr duration kMaxListingDelay = std::chrono::milliseconds(400);
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

// A copy lacks what is newer, and a peer what it doesn't read.
bool reader::EndsUnlisted(const std::string& key,
                          const item& known,
                          const view& newer,
                          document_source from) const {
  if (IsPermanent(key)) {
    return false;
  }
  if (!OutlivesCopies(key)) {
    return true;
  }
  return known.era == newer.era && from != document_source::kIncompletePeer &&
         (from == document_source::kService ||
          known.revision <= newer.revision);
}

bool reader::ReplaceView(const view& newer,
                         time_point now,
                         document_source from) {
  bool changed = false;
  for (const auto& [key, value] : newer.items) {
    changed = TakeItem(key, value, now, from) || changed;
  }
  std::vector<std::string> removed_keys;
  for (const auto& [key, value] : view_.items) {
    if (!newer.items.contains(key) && EndsUnlisted(key, value, newer, from)) {
      removed_keys.push_back(key);
    }
  }
  for (const std::string& key : removed_keys) {
    changed = RemoveItem(key, absence::kUnlisted, now) || changed;
  }
  const bool same_era = newer.era == view_.era;
  view_.era = newer.era;
  view_.revision =
      same_era ? std::max(view_.revision, newer.revision) : newer.revision;
  view_.last_change_revision = same_era ? std::max(view_.last_change_revision,
                                                   newer.last_change_revision)
                                        : newer.last_change_revision;
  ClearChangeLog();
  return changed;
}

void reader::StopRequests(time_point now) {
  if (listing_) {
    StartListing();
  }
  EndFailures(now);
}

bool reader::IsPermanent(const std::string& key) const {
  return ranks_.is_permanent && ranks_.is_permanent(key);
}

bool reader::OutlivesCopies(const std::string& key) const {
  return ranks_.outlives_copies && ranks_.outlives_copies(key);
}

document_rank reader::RankOf(const std::string& key,
                             const std::string& value) const {
  return ranks_.rank_of ? ranks_.rank_of(key, value) : document_rank{};
}

bool reader::Supersedes(const std::string& key,
                        const item& value,
                        const item& known) const {
  if (IsPermanent(key)) {
    return value.value == known.value ||
           RankOf(key, value.value) >= RankOf(key, known.value);
  }
  if (value.era == known.era) {
    return value.revision >= known.revision;
  }
  return value.era > known.era
             ? RankOf(key, value.value) >= RankOf(key, known.value)
             : RankOf(key, value.value) > RankOf(key, known.value);
}

// Whether a document that outlives copies, and isn't known here, was removed. A
// peer that doesn't read such documents keeps those that others have told it.
bool reader::IsGone(const std::string& key,
                    const item& value,
                    document_source from) const {
  if (from == document_source::kService) {
    return false;
  }
  const bool is_seen = from == document_source::kIncompletePeer && has_all_ &&
                       value.era == view_.era &&
                       value.revision <= CompleteRevision();
  return is_seen || IsRemovedHere(key, value);
}

bool reader::TakeItem(const std::string& key,
                      item value,
                      time_point now,
                      document_source from) {
  const auto at = view_.items.find(key);
  if (at == view_.items.end()) {
    return AddItem(key, std::move(value), now, from);
  }
  value.missing = value.missing && !OutlivesCopies(key);
  item& known = at->second;
  if (!Supersedes(key, value, known)) {
    if (RankOf(key, value.value) < RankOf(key, known.value)) {
      outranked_keys_.push_back(key);
    }
    return false;
  }
  if (value.missing) {
    missing_.try_emplace(key, grace_period{now, now + internal::kMissingGrace});
  } else {
    missing_.erase(key);
    returning_.erase(key);
  }
  const bool changed =
      known.value != value.value || known.missing != value.missing;
  known = std::move(value);
  return changed;
}

bool reader::AddItem(const std::string& key,
                     item value,
                     time_point now,
                     document_source from) {
  const auto removed = removed_.find(key);
  if (OutlivesCopies(key)) {
    if (IsGone(key, value, from)) {
      return false;
    }
    value.missing = false;
  } else if (removed != removed_.end() && removed->second.era < value.era &&
             view_.era < value.era) {
    // The copy is older than the removal: what was known last is kept, such as
    // that a target leaves, until it turns out that the entry is not only a
    // copy.
    if (RankOf(key, value.value) < RankOf(key, removed->second.last.value)) {
      value.value = removed->second.last.value;
      value.era = removed->second.era;
    }
    value.missing = true;
    returning_[key] = {now, now + internal::kCopyExpiry};
  } else if (value.missing) {
    if (IsRemovedHere(key, value)) {
      return false;
    }
    missing_.try_emplace(key, grace_period{now, now + internal::kMissingGrace});
  }
  view_.items.emplace(key, std::move(value));
  return true;
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

// Counted from the first response after the outage, so that a removal which is
// seen later doesn't add to the time by which that response was late.
bool reader::RemoveItem(const std::string& key, absence how, time_point now) {
  if (MayComeBack(key, how, now)) {
    const grace_period period{now, *outage_ended_ + internal::kMissingGrace};
    view_.items[key].missing = true;
    return missing_.try_emplace(key, period).second;
  }
  EraseItem(key, now);
  return true;
}

// A peer may keep an item as missing that this VM knows to be gone.
bool reader::IsRemovedHere(const std::string& key, const item& value) const {
  const auto at = removed_.find(key);
  return at != removed_.end() && at->second.last.era == value.era &&
         value.revision <= at->second.last.revision;
}

void reader::EraseItem(const std::string& key, time_point now) {
  missing_.erase(key);
  returning_.erase(key);
  const auto at = view_.items.find(key);
  if (at != view_.items.end()) {
    removed_[key] = {std::move(at->second), view_.era, now};
    view_.items.erase(at);
  }
  std::erase_if(removed_, [now](const auto& each) {
    return now - each.second.removed_at > internal::kMaxRemovedAge;
  });
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
