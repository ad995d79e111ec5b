#include "acaciaferry/forwarding/limits/target_limits.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

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

double ColdRate(double requests_per_s,
                time_point until,
                time_point ramp_end,
                time_point at) {
  if (at <= until) {
    return requests_per_s;
  }
  const double risen = ramp_end > until
                           ? ToSeconds(at - until) / ToSeconds(ramp_end - until)
                           : 1;
  return requests_per_s *
         (1 + (target_limits::kRampFactor - 1) * std::min(risen, 1.0));
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

bool target_limits::IsCold(const entry& of, time_point now) {
  return of.cold && now < of.cold->ramp_end;
}

bool target_limits::IsLimited(const entry& of, time_point now) {
  return of.requests_per_s || IsCold(of, now);
}

// The limit of all VMs together at a time; 0 if there is none.
double target_limits::LimitAt(const entry& of, time_point now) {
  if (!IsLimited(of, now)) {
    return 0;
  }
  double limit = of.requests_per_s.value_or(std::numeric_limits<double>::max());
  if (IsCold(of, now)) {
    limit = std::min(limit,
                     internal::ColdRate(of.cold->requests_per_s, of.cold->until,
                                        of.cold->ramp_end, now));
  }
  return std::max(limit, internal::kMinRequestsPerS);
}

double target_limits::Rate(const entry& of, time_point now) const {
  return std::max(LimitAt(of, now), internal::kMinRequestsPerS) * share_;
}

double target_limits::FleetRate(const target_id& id, time_point now) const {
  const auto at = entries_.find(id);
  return at == entries_.end() ? 0 : LimitAt(at->second, now);
}

// Requests that a limit allows in a time. The limit of a cold target is
// constant, then it rises linearly, then there is only the one that was named.
// The lower of two that cross is above the line between its ends, so the mean
// of these is no more than it allows.
double target_limits::Allowance(const entry& of,
                                bool cold_only,
                                time_point from,
                                time_point until) {
  const auto rate_at = [&](time_point at, bool is_cold) {
    double rate = cold_only ? std::numeric_limits<double>::max()
                            : of.requests_per_s.value_or(
                                  is_cold ? std::numeric_limits<double>::max()
                                          : internal::kMinRequestsPerS);
    if (is_cold) {
      rate = std::min(
          rate, internal::ColdRate(of.cold->requests_per_s, of.cold->until,
                                   of.cold->ramp_end, at));
    }
    return std::max(rate, internal::kMinRequestsPerS);
  };
  double allowed = 0;
  const auto add = [&](time_point end, bool is_cold) {
    if (from < end) {
      allowed += (rate_at(from, is_cold) + rate_at(end, is_cold)) / 2 *
                 ToSeconds(end - from);
      from = end;
    }
  };
  if (of.cold) {
    add(std::min(until, of.cold->until), true);
    add(std::min(until, of.cold->ramp_end), true);
  }
  if (!cold_only) {
    add(until, false);
  }
  return allowed;
}

double target_limits::DebtAt(const entry& of, time_point now) const {
  // What a cold target could have taken earlier does not help it now.
  const double saved =
      IsCold(of, now) ? 0 : Rate(of, now) * internal::kMaxSavedS;
  return std::max(of.debt - Allowance(of, false, of.debt_at, now) * share_,
                  -saved);
}

double target_limits::OwnDebtAt(const entry& of, time_point now) const {
  return IsCold(of, now)
             ? std::max(of.cold->own_debt -
                            Allowance(of, true, of.debt_at, now) * own_share_,
                        0.0)
             : 0;
}

void target_limits::Settle(entry& of, time_point now) const {
  const double debt = DebtAt(of, now);
  if (of.cold) {
    of.cold->own_debt = OwnDebtAt(of, now);
  }
  of.debt = debt;
  of.debt_at = std::max(of.debt_at, now);
}

// The process that follows a cold one is no warmer, and its entry may not have
// arrived.
void target_limits::Restart(entry& of,
                            std::uint64_t incarnation,
                            time_point now) {
  if (IsCold(of, now)) {
    of.requests_per_s.reset();
    of.observed_at = {};
  } else {
    of = {};
  }
  of.incarnation = incarnation;
}

void target_limits::Forget(const target_id& id, std::uint64_t incarnation) {
  const auto at = entries_.find(id);
  if (at != entries_.end() && at->second.incarnation != incarnation) {
    entries_.erase(at);
  }
}

bool target_limits::SetCold(const target_id& id,
                            std::uint64_t incarnation,
                            double requests_per_s,
                            time_point until,
                            time_point ramp_end,
                            time_point now) {
  const auto at = entries_.find(id);
  if (until <= now ||
      (at == entries_.end() ? entries_.size() >= internal::kMaxEntries
                            : incarnation < at->second.incarnation)) {
    return false;
  }
  entry& known = at == entries_.end() ? entries_[id] : at->second;
  if (known.incarnation != incarnation) {
    Restart(known, incarnation, now);
  }
  const bool was_limited = IsLimited(known, now);
  const bool was_cold = IsCold(known, now);
  Settle(known, now);
  if (was_cold) {
    known.cold->requests_per_s = requests_per_s;
    known.cold->until = std::max(known.cold->until, until);
    known.cold->ramp_end = std::max(known.cold->ramp_end, ramp_end);
    return false;
  }
  // All VMs learn of it within a short time, and of each other's requests
  // later.
  known.cold =
      cold_limit{requests_per_s, until, ramp_end, 1 + DrawFraction(random_)};
  if (!was_limited) {
    known.debt =
        std::max(known.debt, 1 + (share_ < 1 ? DrawFraction(random_) : 0));
  }
  return true;
}

void target_limits::EndCold(
    const std::function<bool(const target_id&)>& selects) {
  for (auto& [id, known] : entries_) {
    if (known.cold && selects(id)) {
      known.cold.reset();
    }
  }
}

duration target_limits::ColdFor(const target_id& id, time_point now) const {
  const auto at = entries_.find(id);
  return at == entries_.end() || !IsCold(at->second, now)
             ? duration{}
             : std::max(at->second.cold->until - now, duration{});
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
    Restart(known, incarnation, now);
  }
  const change changed =
      internal::Compare(known.requests_per_s, requests_per_s);
  Settle(known, now);
  known.requests_per_s = requests_per_s;
  known.observed_at = std::max(known.observed_at, observed_at);
  if (changed == change::kNamed) {
    // Others may have sent to the target just now, unheard if this VM hears
    // only some of them.
    known.debt =
        std::max(known.debt, 1 + (share_ < 1 ? DrawFraction(random_) : 0));
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
  if (!report.requests_per_s && report.cold_for <= duration{}) {
    return changed;
  }
  const auto reported = entries_.find(report.target);
  if (reported == entries_.end() || !IsLimited(reported->second, now)) {
    return changed;
  }
  entry& known = reported->second;
  const double debt =
      std::min(report.debt, 1 + Rate(known, now) * internal::kMaxDebtS);
  if (debt > known.debt + internal::kDebtTolerance) {
    known.debt = debt;
  }
  return changed;
}

void target_limits::CountRequest(const target_id& id,
                                 dispatch_id key,
                                 placed_by source,
                                 time_point now) {
  const auto at = entries_.find(id);
  if (at == entries_.end() || !IsLimited(at->second, now) ||
      !at->second.counted.try_emplace(key, now).second) {
    return;
  }
  entry& known = at->second;
  Settle(known, now);
  known.debt =
      std::min(known.debt + 1, 1 + Rate(known, now) * internal::kMaxDebtS);
  if (source == placed_by::kThisVm && IsCold(known, now)) {
    known.cold->own_debt += 1;
  }
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
      known.debt = std::max(known.debt, DrawFraction(random_));
    }
  }
  share_ = share;
}

void target_limits::SetOwnShare(double share, time_point now) {
  if (share == own_share_) {
    return;
  }
  for (auto& [id, known] : entries_) {
    Settle(known, now);
  }
  own_share_ = share;
}

bool target_limits::IsLimited(const target_id& id, time_point now) const {
  const auto at = entries_.find(id);
  return at != entries_.end() && IsLimited(at->second, now);
}

std::optional<double> target_limits::LimitOf(const target_id& id) const {
  const auto at = entries_.find(id);
  return at == entries_.end() ? std::nullopt : at->second.requests_per_s;
}

time_point target_limits::NextRequestAt(const target_id& id,
                                        time_point now) const {
  const auto at = entries_.find(id);
  if (at == entries_.end() || !IsLimited(at->second, now)) {
    return now;
  }
  const entry& known = at->second;
  // Rounded up, so that there is room at the time that is returned.
  const auto repaid_at = [now](double debt, double rate) {
    return debt <= 0 ? now : now + FromSeconds(debt / rate) + duration(1);
  };
  const time_point next = repaid_at(DebtAt(known, now), Rate(known, now));
  if (!IsCold(known, now)) {
    return next;
  }
  const double own_rate =
      internal::ColdRate(known.cold->requests_per_s, known.cold->until,
                         known.cold->ramp_end, now) *
      own_share_;
  const time_point own_next = repaid_at(OwnDebtAt(known, now), own_rate);
  return known.requests_per_s
             ? std::max(next, std::min(own_next, known.cold->ramp_end))
             : std::min(std::max(next, own_next), known.cold->ramp_end);
}

time_point target_limits::PromiseRoom(const pool_id& pool,
                                      time_point next_room,
                                      duration vm_spacing,
                                      time_point latest) {
  time_point& promised = promised_room_[pool];
  // All VMs count from the same time, so their callers are spread.
  const duration spread(static_cast<std::int64_t>(
      DrawFraction(random_) * static_cast<double>(vm_spacing.count())));
  const time_point turn = std::max(next_room, promised) + spread;
  if (turn <= latest) {
    promised = std::max(next_room, promised) + vm_spacing;
  }
  return turn;
}

std::vector<limit_report> target_limits::Reports(time_point now) const {
  std::vector<limit_report> reports;
  for (const auto& [id, known] : entries_) {
    // A report without a limit, of a VM that has heard of none, ends none.
    const duration age =
        known.observed_at == time_point{}
            ? internal::kMaxAge
            : std::min(now - known.observed_at, internal::kMaxAge);
    reports.push_back({id, known.incarnation, known.requests_per_s, age,
                       DebtAt(known, now), ColdFor(id, now)});
  }
  return reports;
}

std::vector<target_id> target_limits::Expire(time_point now) {
  std::vector<target_id> warm;
  for (auto& [id, known] : entries_) {
    if (known.cold && !IsCold(known, now)) {
      Settle(known, now);
      known.cold.reset();
      warm.push_back(id);
    }
    if (!IsLimited(known, now)) {
      known.counted.clear();
    }
  }
  std::erase_if(entries_, [now](const auto& each) {
    const duration age = now - each.second.observed_at;
    return !each.second.cold &&
           age > (each.second.requests_per_s ? internal::kMaxAge
                                             : internal::kEndedAge);
  });
  for (auto& [id, known] : entries_) {
    std::erase_if(known.counted, [now](const auto& each) {
      return now - each.second > internal::kMaxDispatchAge;
    });
  }
  return warm;
}

std::size_t target_limits::ColdCount(time_point now) const {
  return static_cast<std::size_t>(std::count_if(
      entries_.begin(), entries_.end(),
      [now](const auto& each) { return IsCold(each.second, now); }));
}

std::size_t target_limits::CountedRequests() const {
  std::size_t count = 0;
  for (const auto& [id, known] : entries_) {
    count += known.counted.size();
  }
  return count;
}

std::size_t target_limits::Count() const {
  return static_cast<std::size_t>(std::count_if(
      entries_.begin(), entries_.end(),
      [](const auto& each) { return each.second.requests_per_s.has_value(); }));
}

}  // namespace acaciaferry::forwarding
