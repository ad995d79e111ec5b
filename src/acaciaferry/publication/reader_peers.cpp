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

bool reader::Adopt(const view_update& update, time_point now) {
  return update.since ? AdoptChanges(update, now)
                      : AdoptWhole(update.latest, now);
}

bool reader::Repair(const view& peer_view, time_point now) {
  if (peer_view.era != view_.era ||
      peer_view.last_change_revision < view_.last_change_revision) {
    return false;
  }
  return ReplaceView(peer_view, now);
}

bool reader::AdoptChanges(const view_update& update, time_point now) {
  const view& latest = update.latest;
  if (latest.era != view_.era || *update.since > view_.last_change_revision ||
      latest.last_change_revision <= view_.last_change_revision) {
    return false;
  }
  RecordPeerNews(now);
  bool changed = false;
  for (const auto& [key, value] : latest.items) {
    changed = TakeItem(key, value, now) || changed;
  }
  for (const std::string& key : update.removed) {
    const auto at = view_.items.find(key);
    if (at != view_.items.end() && !IsPermanent(key) &&
        at->second.revision <= latest.last_change_revision) {
      changed = RemoveItem(key, absence::kRemovedByPeer, now) || changed;
    }
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

bool reader::AdoptWhole(const view& peer_view, time_point now) {
  const bool is_newer =
      peer_view.era == view_.era
          ? peer_view.last_change_revision > view_.last_change_revision
          : peer_view.era > view_.era && peer_view.era >= era_;
  if (!is_newer) {
    return TakeHigherRanks(peer_view, now);
  }
  RecordPeerNews(now);
  EnterEra(peer_view.era, now);
  const bool has_listed_nothing = prefix_index_ == 0 && page_after_.empty();
  if (listing_ && (peer_view.era != view_.era || has_listed_nothing)) {
    // It goes on from the peer's revision instead.
    listing_ = false;
    prefix_index_ = 0;
    page_after_.clear();
  }
  static_cast<void>(ReplaceView(peer_view, now));
  return true;
}

bool reader::TakeHigherRanks(const view& older, time_point now) {
  bool changed = false;
  for (const auto& [key, value] : older.items) {
    const auto at = view_.items.find(key);
    const bool is_higher =
        at != view_.items.end() && at->second.era != value.era &&
        RankOf(key, value.value) > RankOf(key, at->second.value);
    if (is_higher || IsPermanent(key)) {
      changed = TakeItem(key, value, now) || changed;
    }
  }
  if (changed) {
    ClearChangeLog();
  }
  return changed;
}

}  // namespace acaciaferry::publication
