#include "acaciaferry/forwarding/limits/target_limits.hpp"

#include <algorithm>
#include <cmath>

namespace acaciaferry::forwarding {
namespace internal {

// A target that takes less is asked this often all the same, since only its
// responses show that the limit has changed.
constexpr double kMinRequestsPerS = 0.1;
// Unused time of a limit that may be used up at once.
constexpr double kMaxSavedS = 0.25;
// Requests beyond a limit are made up for during this time at most.
constexpr double kMaxDebtS = 8;
// Difference of two counts up to which they count as equal: a report is as old
// as its way.
constexpr double kDebtTolerance = 0.5;
// A share that falls below this part of itself shows a partition; heartbeats
// that are lost now and then change it by less.
constexpr double kMaxShareLoss = 0.9;
// A change of a limit by a smaller part is not worth a message.
constexpr double kMinorChange = 0.1;
// Dispatches are told again as long as they run.
constexpr duration kMaxDispatchAge = std::chrono::seconds(60);
// For how long the end of a limit is kept, so that no older report revives it.
constexpr duration kEndedAge = std::chrono::seconds(30);
constexpr duration kMaxAge = std::chrono::minutes(10);
// Bounds what forged datagrams can make a VM keep.
constexpr std::size_t kMaxEntries = 4'096;

namespace {

double DrawFraction(random_engine& random) {
  constexpr std::uint64_t kSteps = 1'000'000;
  return static_cast<double>(DrawBelow(random, kSteps)) /
         static_cast<double>(kSteps);
}

target_limits::change Compare(std::optional<double> before,
                              std::optional<double> after) {
  using change = target_limits::change;
  if (before == after) {
    return change::kNone;
  }
  if (!after) {
    return change::kEnded;
  }
  if (!before) {
    return change::kNamed;
  }
  return std::abs(*after - *before) > kMinorChange * *before ? change::kChanged
                                                             : change::kMinor;
}

}  // namespace
}  // namespace internal

double target_limits::Rate(const entry& of) const {
  return std::max(of.requests_per_s.value_or(0), internal::kMinRequestsPerS) *
         share_;
}

double target_limits::FleetRate(const target_id& id) const {
  const auto limit = LimitOf(id);
  return limit ? std::max(*limit, internal::kMinRequestsPerS) : 0;
}

double target_limits::DebtAt(const entry& of, time_point now) const {
  const double rate = Rate(of);
  const double repaid = rate * std::max(ToSeconds(now - of.debt_at), 0.0);
  return std::max(of.debt - repaid, -rate * internal::kMaxSavedS);
}

void target_limits::Settle(entry& of, time_point now) const {
  of.debt = DebtAt(of, now);
  of.debt_at = now;
}

target_limits::change target_limits::Record(
    const target_id& id,
    std::uint64_t incarnation,
    std::optional<double> requests_per_s,
    time_point now) {
  return Apply(id, incarnation, requests_per_s, now, now);
}

target_limits::change target_limits::Apply(const target_id& id,
                                           std::uint64_t incarnation,
                                           std::optional<double> requests_per_s,
                                           time_point observed_at,
                                           time_point now) {
  const auto at = entries_.find(id);
  if (at == entries_.end() && !requests_per_s) {
    return change::kNone;
  }
  entry& known = at == entries_.end() ? entries_[id] : at->second;
  if (known.incarnation != incarnation) {
    known = {};
    known.incarnation = incarnation;
  }
  const change changed =
      internal::Compare(known.requests_per_s, requests_per_s);
  Settle(known, now);
  known.requests_per_s = requests_per_s;
  known.observed_at = std::max(known.observed_at, observed_at);
  if (changed == change::kNamed) {
    // Others may have sent to the target just now, unheard if this VM hears
    // only some of them.
    known.debt = std::max(
        known.debt, 1 + (share_ < 1 ? internal::DrawFraction(random_) : 0));
  }
  return changed;
}

target_limits::change target_limits::Merge(const limit_report& report,
                                           time_point now) {
  const time_point observed_at = now - report.age;
  const auto at = entries_.find(report.target);
  if (at != entries_.end() &&
      (report.incarnation < at->second.incarnation ||
       (report.incarnation == at->second.incarnation &&
        observed_at < at->second.observed_at &&
        report.requests_per_s != at->second.requests_per_s))) {
    return change::kNone;
  }
  if (at == entries_.end() && entries_.size() >= internal::kMaxEntries) {
    return change::kNone;
  }
  const change changed = Apply(report.target, report.incarnation,
                               report.requests_per_s, observed_at, now);
  if (!report.requests_per_s) {
    return changed;
  }
  entry& known = entries_.at(report.target);
  const double debt =
      std::min(report.debt, 1 + Rate(known) * internal::kMaxDebtS);
  if (debt > known.debt + internal::kDebtTolerance) {
    known.debt = debt;
  }
  return changed;
}

void target_limits::CountRequest(const target_id& id,
                                 dispatch_id key,
                                 time_point now) {
  const auto at = entries_.find(id);
  if (at == entries_.end() || !at->second.requests_per_s ||
      !at->second.counted.try_emplace(key, now).second) {
    return;
  }
  entry& known = at->second;
  Settle(known, now);
  known.debt = std::min(known.debt + 1, 1 + Rate(known) * internal::kMaxDebtS);
}

void target_limits::SetShare(double share, time_point now) {
  if (share == share_) {
    return;
  }
  const bool lost_some = share < share_ * internal::kMaxShareLoss;
  for (auto& [id, known] : entries_) {
    Settle(known, now);
    // The VMs that are not heard any more would use up what is left, too.
    if (lost_some) {
      known.debt = std::max(known.debt, internal::DrawFraction(random_));
    }
  }
  share_ = share;
}

bool target_limits::IsLimited(const target_id& id) const {
  return LimitOf(id).has_value();
}

std::optional<double> target_limits::LimitOf(const target_id& id) const {
  const auto at = entries_.find(id);
  return at == entries_.end() ? std::nullopt : at->second.requests_per_s;
}

time_point target_limits::NextRequestAt(const target_id& id,
                                        time_point now) const {
  const auto at = entries_.find(id);
  if (at == entries_.end() || !at->second.requests_per_s) {
    return now;
  }
  const double debt = DebtAt(at->second, now);
  // Rounded up, so that there is room at the time that is returned.
  return debt <= 0 ? now
                   : now + FromSeconds(debt / Rate(at->second)) + duration(1);
}

time_point target_limits::PromiseRoom(const pool_id& pool,
                                      time_point next_room,
                                      duration vm_spacing,
                                      time_point latest) {
  time_point& promised = promised_room_[pool];
  // All VMs count from the same time, so their callers are spread.
  const duration spread(
      static_cast<std::int64_t>(internal::DrawFraction(random_) *
                                static_cast<double>(vm_spacing.count())));
  const time_point turn = std::max(next_room, promised) + spread;
  if (turn <= latest) {
    promised = std::max(next_room, promised) + vm_spacing;
  }
  return turn;
}

std::vector<limit_report> target_limits::Reports(time_point now) const {
  std::vector<limit_report> reports;
  for (const auto& [id, known] : entries_) {
    reports.push_back({id, known.incarnation, known.requests_per_s,
                       now - known.observed_at, DebtAt(known, now)});
  }
  return reports;
}

void target_limits::Expire(time_point now) {
  std::erase_if(entries_, [now](const auto& each) {
    const duration age = now - each.second.observed_at;
    return age > (each.second.requests_per_s ? internal::kMaxAge
                                             : internal::kEndedAge);
  });
  for (auto& [id, known] : entries_) {
    std::erase_if(known.counted, [now](const auto& each) {
      return now - each.second > internal::kMaxDispatchAge;
    });
  }
}

std::size_t target_limits::Count() const {
  return static_cast<std::size_t>(std::count_if(
      entries_.begin(), entries_.end(),
      [](const auto& each) { return each.second.requests_per_s.has_value(); }));
}

}  // namespace acaciaferry::forwarding
