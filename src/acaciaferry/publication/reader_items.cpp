#include <algorithm>
#include <utility>

#include "acaciaferry/publication/reader.hpp"
#include "acaciaferry/publication/reader_grace.hpp"

// How items enter the view, are replaced and leave it.
namespace acaciaferry::publication {
namespace internal {

// Entries of targets that have ended expire within this time after the service
// came back from a copy in which they are alive.
constexpr duration kCopyExpiry = std::chrono::milliseconds(5'000);
// For how long removed items are remembered; a copy is some seconds old.
constexpr duration kMaxRemovedAge = std::chrono::seconds(60);

}  // namespace internal

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

}  // namespace acaciaferry::publication
