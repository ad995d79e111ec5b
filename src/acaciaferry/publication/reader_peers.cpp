#include <algorithm>
#include <utility>

#include "acaciaferry/publication/reader.hpp"

// What the reader takes from the views of peers, and gives to them.
namespace acaciaferry::publication {
namespace internal {

// Changes that are remembered for peers; one that has missed more of them gets
// the whole view.
constexpr std::size_t kMaxChangeLog = 1'024;

}  // namespace internal

void reader::LogChange(const std::string& key, std::uint64_t revision) {
  change_log_.emplace_back(revision, key);
  if (change_log_.size() > internal::kMaxChangeLog) {
    change_log_since_ = change_log_.front().first;
    change_log_.pop_front();
  }
}

void reader::ClearChangeLog() {
  change_log_.clear();
  change_log_since_ = view_.last_change_revision;
}

view_update reader::UpdateSince(std::uint64_t era,
                                std::uint64_t revision) const {
  if (era != view_.era || revision < change_log_since_ ||
      revision > view_.last_change_revision) {
    return {view_, std::nullopt, {}};
  }
  view_update update;
  update.since = revision;
  update.latest.era = view_.era;
  update.latest.revision = view_.revision;
  update.latest.last_change_revision = view_.last_change_revision;
  for (const auto& [changed_at, key] : change_log_) {
    if (changed_at <= revision) {
      continue;
    }
    if (const auto at = view_.items.find(key); at != view_.items.end()) {
      update.latest.items.insert(*at);
    } else {
      update.removed.push_back(key);
    }
  }
  return update;
}

bool reader::Adopt(const view_update& update,
                   time_point now,
                   bool is_complete) {
  const document_source from = is_complete ? document_source::kCompletePeer
                                           : document_source::kIncompletePeer;
  return update.since ? AdoptChanges(update, now, from)
                      : AdoptWhole(update.latest, now, from);
}

bool reader::Repair(const view& peer_view, time_point now, bool is_complete) {
  if (peer_view.era != view_.era ||
      peer_view.last_change_revision < view_.last_change_revision) {
    return false;
  }
  const bool changed =
      ReplaceView(peer_view, now,
                  is_complete ? document_source::kCompletePeer
                              : document_source::kIncompletePeer);
  if (is_complete) {
    RaiseCompleteRevision(peer_view.revision);
  }
  return changed;
}

bool reader::AdoptChanges(const view_update& update,
                          time_point now,
                          document_source from) {
  const view& latest = update.latest;
  if (latest.era != view_.era || *update.since > view_.last_change_revision ||
      latest.last_change_revision <= view_.last_change_revision) {
    return false;
  }
  RecordPeerNews(now);
  const bool is_complete = from == document_source::kCompletePeer;
  bool changed = false;
  for (const auto& [key, value] : latest.items) {
    changed = TakeItem(key, value, now, from) || changed;
  }
  for (const std::string& key : update.removed) {
    const auto at = view_.items.find(key);
    if (at == view_.items.end() || IsPermanent(key) ||
        (OutlivesCopies(key) && !is_complete)) {
      continue;
    }
    if (at->second.era != latest.era ||
        at->second.revision <= latest.last_change_revision) {
      changed = RemoveItem(key, absence::kRemovedByPeer, now) || changed;
    }
  }
  if (!is_complete) {
    complete_until_ = CompleteRevision();
  }
  view_.last_change_revision = latest.last_change_revision;
  view_.revision = std::max(view_.revision, latest.revision);
  for (const auto& [key, value] : latest.items) {
    LogChange(key, latest.last_change_revision);
  }
  for (const std::string& key : update.removed) {
    LogChange(key, latest.last_change_revision);
  }
  return changed;
}

bool reader::AdoptWhole(const view& peer_view,
                        time_point now,
                        document_source from) {
  const bool is_newer =
      peer_view.era == view_.era
          ? peer_view.last_change_revision > view_.last_change_revision
          : peer_view.era > view_.era && peer_view.era >= era_;
  if (!is_newer) {
    return TakeHigherRanks(peer_view, now, from);
  }
  RecordPeerNews(now);
  EnterEra(peer_view.era, now);
  const bool is_other_era = peer_view.era != view_.era;
  if (from == document_source::kCompletePeer) {
    const bool has_listed_nothing = prefix_index_ == 0 && page_after_.empty();
    if (listing_ && (is_other_era || has_listed_nothing)) {
      // It goes on from the peer's revision instead.
      listing_ = false;
      prefix_index_ = 0;
      page_after_.clear();
    }
    if (is_other_era) {
      complete_until_.reset();
    }
  } else if (is_other_era) {
    // What the peer doesn't know may have been written in this era. A listing
    // under way begins again by itself.
    if (!listing_) {
      StartListing();
    }
    complete_until_ = 0;
  } else {
    complete_until_ = CompleteRevision();
  }
  static_cast<void>(ReplaceView(peer_view, now, from));
  if (from == document_source::kCompletePeer) {
    RaiseCompleteRevision(peer_view.revision);
  }
  return true;
}

bool reader::TakeHigherRanks(const view& older,
                             time_point now,
                             document_source from) {
  bool changed = false;
  for (const auto& [key, value] : older.items) {
    const auto at = view_.items.find(key);
    const bool is_known = at != view_.items.end();
    const bool is_higher =
        is_known && at->second.era != value.era &&
        RankOf(key, value.value) > RankOf(key, at->second.value);
    // A process that has just started has not seen it before the copy.
    const bool outlived = !is_known && value.era < view_.era &&
                          from == document_source::kCompletePeer &&
                          OutlivesCopies(key);
    if (is_higher || outlived || IsPermanent(key)) {
      changed = TakeItem(key, value, now, from) || changed;
    }
  }
  if (changed) {
    ClearChangeLog();
  }
  return changed;
}

}  // namespace acaciaferry::publication
