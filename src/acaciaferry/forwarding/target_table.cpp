#include "acaciaferry/forwarding/target_table.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace acaciaferry::forwarding {
namespace internal {

// A crashed engine is back after a few seconds; retrying it about once a second
// costs one refused connection.
constexpr duration kMinDistrust = std::chrono::milliseconds(700);
constexpr duration kMaxDistrust = std::chrono::seconds(6);
// Weight of a new result in the moving average of failures.
constexpr double kFailureWeight = 0.25;
// Above this failure rate a target is distrusted although it responds.
constexpr double kMaxFailureRate = 0.4;
// Above this number those of targets that have gone are forgotten.
constexpr std::size_t kMaxSaidToLeave = 1'024;

}  // namespace internal

std::string_view ToString(distrust_reason reason) noexcept {
  switch (reason) {
    case distrust_reason::kUnreachable:
      return "unreachable";
    case distrust_reason::kSilent:
      return "silent";
    case distrust_reason::kBroken:
      return "broken";
    case distrust_reason::kFailing:
      return "failing";
  }
  return "unknown";
}

std::vector<target_table::change> target_table::Update(
    const std::vector<target>& targets) {
  std::vector<change> changes;
  std::set<target_id> published;
  for (const target& each : targets) {
    published.insert(each.id);
    const auto [at, added] = entries_.try_emplace(each.id);
    entry& known = at->second;
    const bool restarted =
        !added && known.published.incarnation != each.incarnation;
    const bool was_leaving = known.leaving;
    if (restarted) {
      known = entry{};
    }
    known.published = each;
    const auto said = said_to_leave_.find(each.id);
    known.leaving =
        known.leaving || each.state == target_state::kLeaving ||
        (said != said_to_leave_.end() && said->second == each.incarnation);
    if (added) {
      changes.push_back({each.id, change::type::kFound});
    } else if (restarted) {
      changes.push_back({each.id, change::type::kRestarted});
    }
    if (known.leaving && !was_leaving) {
      changes.push_back({each.id, change::type::kLeaving});
    }
  }
  for (auto at = entries_.begin(); at != entries_.end();) {
    if (published.contains(at->first)) {
      ++at;
    } else {
      changes.push_back({at->first, change::type::kLost});
      at = entries_.erase(at);
    }
  }
  return changes;
}

bool target_table::MarkLeaving(const target_id& id, std::uint64_t incarnation) {
  const auto at = entries_.find(id);
  const bool is_known = at != entries_.end();
  if (is_known && at->second.published.incarnation != incarnation) {
    return false;
  }
  if (said_to_leave_.size() >= internal::kMaxSaidToLeave) {
    std::erase_if(said_to_leave_, [this](const auto& each) {
      return !entries_.contains(each.first);
    });
  }
  // A VM that has just started hears this before it knows any target.
  std::uint64_t& said = said_to_leave_[id];
  said = std::max(said, incarnation);
  return is_known && !std::exchange(at->second.leaving, true);
}

bool target_table::IsLeaving(const target_id& id) const {
  const auto at = entries_.find(id);
  return at != entries_.end() && at->second.leaving;
}

std::vector<leaving_target> target_table::SaidToLeave() const {
  std::vector<leaving_target> leaving;
  for (const auto& [id, incarnation] : said_to_leave_) {
    const auto at = entries_.find(id);
    if (at != entries_.end() &&
        at->second.published.incarnation == incarnation) {
      leaving.push_back({id, incarnation});
    }
  }
  return leaving;
}

duration target_table::Distrust(const target_id& id,
                                distrust_reason /*reason*/,
                                time_point now) {
  const auto at = entries_.find(id);
  if (at == entries_.end()) {
    return duration{};
  }
  entry& known = at->second;
  if (now < known.distrusted_until) {
    return known.distrusted_until - now;
  }
  const bool in_a_row = known.last_distrust > duration{} &&
                        now - known.distrusted_until < internal::kMaxDistrust;
  known.last_distrust =
      in_a_row ? std::min(known.last_distrust * 2, internal::kMaxDistrust)
               : internal::kMinDistrust;
  known.distrusted_until = now + known.last_distrust;
  return known.last_distrust;
}

void target_table::DistrustUntil(const target_id& id, time_point until) {
  const auto at = entries_.find(id);
  if (at != entries_.end()) {
    at->second.distrusted_until = std::max(at->second.distrusted_until, until);
  }
}

void target_table::TrustAll() {
  for (auto& [id, known] : entries_) {
    known.distrusted_until = {};
    known.last_distrust = {};
  }
}

void target_table::RecordActivity(const target_id& id, time_point now) {
  const auto at = entries_.find(id);
  if (at != entries_.end()) {
    at->second.last_active = std::max(at->second.last_active, now);
  }
}

bool target_table::ActiveSince(const target_id& id, time_point since) const {
  const auto at = entries_.find(id);
  return at != entries_.end() && at->second.last_active > since;
}

std::vector<target_id> target_table::ActiveTargets(time_point since,
                                                   std::size_t most) const {
  std::vector<target_id> active;
  for (const auto& [id, known] : entries_) {
    if (known.last_active > since && active.size() < most) {
      active.push_back(id);
    }
  }
  return active;
}

bool target_table::AnyActiveSince(const failure_domain_id& domain,
                                  time_point since) const {
  return std::any_of(entries_.begin(), entries_.end(), [&](const auto& each) {
    return each.second.published.failure_domain == domain &&
           each.second.last_active > since;
  });
}

void target_table::RecordSuccess(const target_id& id) {
  const auto at = entries_.find(id);
  if (at != entries_.end()) {
    at->second.failure_rate *= 1 - internal::kFailureWeight;
    at->second.last_distrust = duration{};
  }
}

bool target_table::RecordFailure(const target_id& id, time_point now) {
  const auto at = entries_.find(id);
  if (at == entries_.end()) {
    return false;
  }
  entry& known = at->second;
  known.failure_rate = known.failure_rate * (1 - internal::kFailureWeight) +
                       internal::kFailureWeight;
  if (known.failure_rate < internal::kMaxFailureRate) {
    return false;
  }
  static_cast<void>(Distrust(id, distrust_reason::kFailing, now));
  return true;
}

const target* target_table::Find(const target_id& id) const {
  const auto at = entries_.find(id);
  return at == entries_.end() ? nullptr : &at->second.published;
}

const target* target_table::FindByAddress(std::string_view address) const {
  for (const auto& [id, known] : entries_) {
    if (known.published.address == address) {
      return &known.published;
    }
  }
  return nullptr;
}

std::vector<const target*> target_table::Usable(const pool_id& pool,
                                                time_point now) const {
  std::vector<const target*> usable;
  for (const auto& [id, known] : entries_) {
    if (known.published.pool == pool && !known.leaving &&
        !known.published.missing && known.distrusted_until <= now) {
      usable.push_back(&known.published);
    }
  }
  return usable;
}

std::vector<const target*> target_table::NotLeaving(const pool_id& pool) const {
  std::vector<const target*> staying;
  for (const auto& [id, known] : entries_) {
    if (known.published.pool == pool && !known.leaving) {
      staying.push_back(&known.published);
    }
  }
  return staying;
}

}  // namespace acaciaferry::forwarding
