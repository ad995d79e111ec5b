#include <algorithm>
#include <string>
#include <string_view>

#include "acaciaferry/forwarding/flights.hpp"

namespace acaciaferry::forwarding::internal {
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

}  // namespace

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
  auto reports = current.limits.Reports(now);
  std::erase_if(reports,
                [&](const limit_report& each) { return each.target != id; });
  out.emplace_back(share_limits{std::move(reports)});
}

void MergeLimits(state& current,
                 const limit_reports_received& received,
                 time_point now,
                 effects& out) {
  for (const limit_report& each : received.reports) {
    LogLimitChange(current, each.target, current.limits.Merge(each, now),
                   "peer", out);
  }
}

void CountAgainstLimits(state& current,
                        std::span<const job> jobs,
                        time_point now) {
  for (const job& each : jobs) {
    current.limits.CountRequest(each.target, each.key, now);
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
                                    std::span<const target* const> targets) {
  std::vector<target_id> limited;
  for (const target* each : targets) {
    if (current.limits.IsLimited(each->id)) {
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
    requests_per_s += current.limits.FleetRate(each->id);
  }
  const duration vm_spacing =
      requests_per_s > 0
          ? FromSeconds(static_cast<double>(current.vm_count) / requests_per_s)
          : kRefusalSpacing;
  return current.limits.PromiseRoom(pending.request.pool, *next_room,
                                    vm_spacing, pending.deadline) -
         now;
}

}  // namespace acaciaferry::forwarding::internal
