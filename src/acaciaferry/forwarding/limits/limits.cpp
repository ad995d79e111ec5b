#include <algorithm>
#include <map>
#include <string>
#include <string_view>

#include "acaciaferry/forwarding/flights.hpp"

namespace acaciaferry::forwarding {
namespace internal {
namespace {

void LogLimitChange(const state& current,
                    const target_id& id,
                    target_limits::change changed,
                    std::string_view source,
                    effects& out) {
  using change = target_limits::change;
  if (changed == change::kNamed || changed == change::kChanged) {
    LogDecision(out, decision_kind::kTargetLimited, id.value,
                {{"requests_per_s",
                  std::to_string(current.limits.LimitOf(id).value_or(0))},
                 {"source", std::string(source)}});
  } else if (changed == change::kEnded) {
    LogDecision(out, decision_kind::kTargetUnlimited, id.value,
                {{"source", std::string(source)}});
  }
}

// Callers of a pool whose targets all refuse this VM return at this distance.
constexpr duration kRefusalSpacing = std::chrono::milliseconds(50);

time_point NextRequestAt(const state& current,
                         const target_id& id,
                         time_point now) {
  return std::max(current.limits.NextRequestAt(id, now),
                  current.refusals.NextRequestAt(id, now));
}

struct cold_process {
  const target& of;
  std::uint64_t incarnation{};
  time_point until{};
};

// A target of a pool without cold figures has no limit, whatever it says.
void SetCold(state& current,
             const cold_process& cold,
             std::string_view source,
             time_point now,
             effects& out) {
  const auto pool = current.cold_pools.find(cold.of.pool);
  if (pool == current.cold_pools.end()) {
    return;
  }
  const bool is_new = current.limits.SetCold(
      cold.of.id, cold.incarnation, pool->second.requests_per_s, cold.until,
      cold.until + pool->second.period, now);
  if (is_new) {
    LogDecision(
        out, decision_kind::kTargetCold, cold.of.id.value,
        {{"requests_per_s", std::to_string(pool->second.requests_per_s)},
         {"for_ms", ToMillisText(cold.until - now)},
         {"source", std::string(source)}});
  }
}

// A cold time that ends later by less is not worth a message: responses and
// entries take their time.
constexpr duration kMinColdExtension = std::chrono::milliseconds(300);
// Part of the limit of a cold target that those who place calls may use
// together before they find out that they don't hear each other.
constexpr double kUndetectedShare = 1.5;

void ShareLimit(const state& current,
                const target_id& id,
                time_point now,
                effects& out) {
  auto reports = current.limits.Reports(now);
  std::erase_if(reports,
                [&](const limit_report& each) { return each.target != id; });
  out.emplace_back(share_limits{std::move(reports)});
}

}  // namespace

void ApplyStatedColdTimes(state& current,
                          const targets_published& published,
                          time_point now,
                          effects& out) {
  std::map<target_id, stated_cold_time> stated;
  for (const target& each : published.targets) {
    if (each.cold_for <= duration{}) {
      continue;
    }
    const auto known = current.stated_cold_times.find(each.id);
    const bool is_known = known != current.stated_cold_times.end() &&
                          known->second.incarnation == each.incarnation &&
                          known->second.cold_for == each.cold_for;
    const time_point until =
        is_known ? known->second.until : now + each.cold_for;
    stated[each.id] = {each.incarnation, each.cold_for, until};
    SetCold(current, {each, each.incarnation, until}, "entry", now, out);
  }
  current.stated_cold_times = std::move(stated);
}

void RecordCold(state& current,
                const target_id& id,
                std::uint64_t incarnation,
                duration cold_for,
                time_point now,
                effects& out) {
  const target* responding = current.targets.Find(id);
  if (responding == nullptr || responding->incarnation != incarnation) {
    return;
  }
  const duration known = current.limits.ColdFor(id, now);
  SetCold(current, {*responding, incarnation, now + cold_for}, "response", now,
          out);
  if (current.limits.ColdFor(id, now) > known + kMinColdExtension) {
    ShareLimit(current, id, now, out);
  }
}

void UpdateOwnShare(state& current, time_point now) {
  // In a large fleet one VM of each failure domain places the calls of all. The
  // others do so only if they hear no planner, and hear of no requests then.
  const bool is_alone = current.is_large_fleet && !current.is_hub;
  const std::size_t placing =
      current.is_large_fleet && current.is_hub
          ? std::max<std::size_t>(current.target_domains.size(), 1)
          : current.vm_count;
  current.limits.SetOwnShare(
      std::min((is_alone ? 1 : kUndetectedShare) / static_cast<double>(placing),
               1.0),
      now);
}

void ExpireLimits(state& current, time_point now, effects& out) {
  for (const target_id& id : current.limits.Expire(now)) {
    LogDecision(out, decision_kind::kTargetWarm, id.value, {});
  }
}

void RecordLimit(state& current,
                 const target_id& id,
                 const limit_statement& stated,
                 time_point now,
                 effects& out) {
  using change = target_limits::change;
  const target* responding = current.targets.Find(id);
  if (responding == nullptr) {
    return;
  }
  const change changed = current.limits.Record(id, responding->incarnation,
                                               stated.requests_per_s, now);
  LogLimitChange(current, id, changed, "response", out);
  if (changed == change::kNone || changed == change::kMinor) {
    return;
  }
  ShareLimit(current, id, now, out);
}

void MergeLimits(state& current,
                 const limit_reports_received& received,
                 time_point now,
                 effects& out) {
  for (const limit_report& each : received.reports) {
    const target* cold = current.targets.Find(each.target);
    if (each.cold_for > duration{} && cold != nullptr &&
        each.incarnation >= cold->incarnation) {
      SetCold(current, {*cold, each.incarnation, now + each.cold_for}, "peer",
              now, out);
    }
    LogLimitChange(current, each.target, current.limits.Merge(each, now),
                   "peer", out);
  }
}

void CountAgainstLimits(state& current,
                        std::span<const job> jobs,
                        target_limits::placed_by source,
                        time_point now) {
  for (const job& each : jobs) {
    current.limits.CountRequest(each.target, each.key, source, now);
  }
}

bool HasRoom(const state& current, const target_id& id, time_point now) {
  return NextRequestAt(current, id, now) <= now;
}

std::optional<time_point> NextRoom(const state& current,
                                   std::span<const target* const> targets,
                                   time_point now) {
  std::optional<time_point> next;
  for (const target* each : targets) {
    const time_point room = NextRequestAt(current, each->id, now);
    next = next ? std::min(*next, room) : room;
  }
  return next;
}

std::vector<target_id> LimitedAmong(const state& current,
                                    std::span<const target* const> targets,
                                    time_point now) {
  std::vector<target_id> limited;
  for (const target* each : targets) {
    if (current.limits.IsLimited(each->id, now)) {
      limited.push_back(each->id);
    }
  }
  return limited;
}

duration WaitForRoom(state& current,
                     const pending_call& pending,
                     std::span<const target* const> targets,
                     time_point now) {
  const auto next_room = NextRoom(current, targets, now);
  if (!next_room || *next_room <= now) {
    return {};
  }
  double requests_per_s = 0;
  for (const target* each : targets) {
    requests_per_s += current.limits.FleetRate(each->id, now);
  }
  const duration vm_spacing =
      requests_per_s > 0
          ? FromSeconds(static_cast<double>(current.vm_count) / requests_per_s)
          : kRefusalSpacing;
  return current.limits.PromiseRoom(pending.request.pool, *next_room,
                                    vm_spacing, pending.deadline) -
         now;
}

}  // namespace internal

void MarkDomainCold(state& current,
                    const failure_domain_id& domain,
                    time_point now) {
  for (const auto& [pool, cold] : current.cold_pools) {
    for (const target* each : current.targets.NotLeaving(pool)) {
      if (each->failure_domain == domain) {
        current.limits.SetCold(each->id, each->incarnation, cold.requests_per_s,
                               now + cold.period, now + 2 * cold.period, now);
      }
    }
  }
}

}  // namespace acaciaferry::forwarding
