#include "acaciaferry/targets/state.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace acaciaferry {
namespace internal {

// Larger values than any engine has indicate a corrupt report.
constexpr std::uint64_t kMaxPlausibleTokens = 1'000'000'000;
constexpr std::uint64_t kMaxPlausibleRequests = 1'000'000;
constexpr double kMaxPlausibleRate = 1e9;
constexpr duration kIncarnationSilence = std::chrono::seconds(10);

bool IsPlausible(const load_report& report) noexcept {
  const bool counts_plausible =
      report.running <= kMaxPlausibleRequests &&
      report.waiting <= kMaxPlausibleRequests &&
      report.queued_prefill_tokens <= kMaxPlausibleTokens &&
      report.kv_used_tokens <= kMaxPlausibleTokens &&
      report.kv_capacity_tokens <= kMaxPlausibleTokens;
  const auto rate_plausible = [](double rate) {
    return std::isfinite(rate) && rate >= 0 && rate <= kMaxPlausibleRate;
  };
  return counts_plausible && rate_plausible(report.prefill_tokens_per_s) &&
         rate_plausible(report.decode_ms_per_token);
}

target MakeTarget(const vm_record& entry) {
  return {.id = {entry.name},
          .address = entry.address,
          .failure_domain = entry.failure_domain,
          .pool = entry.pool,
          .incarnation = entry.incarnation,
          .leaving = entry.leaving,
          .report = std::nullopt,
          .reported_at = {}};
}

// The VM list may be outdated: what a target has itself reported about its
// incarnation or about leaving takes precedence.
void KeepNewerState(const target& known, target& listed) {
  const bool same_incarnation =
      known.incarnation == listed.incarnation || known.report.has_value();
  if (!same_incarnation) {
    return;
  }
  listed.incarnation = known.incarnation;
  listed.leaving = listed.leaving || known.leaving;
  listed.report = known.report;
  listed.reported_at = known.reported_at;
  listed.stale = known.stale;
}

}  // namespace internal

void ApplyVmList(targets_state& state, std::span<const vm_record> vms) {
  targets_state next;
  for (const vm_record& entry : vms) {
    if (entry.role == vm_role::kEntry) {
      continue;
    }
    target listed = internal::MakeTarget(entry);
    if (const target* const known = FindTarget(state, listed.id)) {
      internal::KeepNewerState(*known, listed);
    }
    next.targets.push_back(std::move(listed));
  }
  std::sort(next.targets.begin(), next.targets.end(),
            [](const target& a, const target& b) { return a.id < b.id; });
  for (std::size_t i = 0; i < next.targets.size(); ++i) {
    next.index.emplace(next.targets[i].id, i);
  }
  state = std::move(next);
}

report_verdict ApplyLoadReport(targets_state& state,
                               const load_report& report,
                               time_point now) {
  const auto found = state.index.find(report.target);
  if (found == state.index.end()) {
    return report_verdict::kUnknownTarget;
  }
  if (!internal::IsPlausible(report)) {
    return report_verdict::kImplausible;
  }
  target& known = state.targets[found->second];
  const bool same_incarnation =
      known.report && known.report->incarnation == report.incarnation;
  if (same_incarnation && report.sequence <= known.report->sequence) {
    return report_verdict::kOldSequence;
  }
  // Incarnations grow with the start time. A lower one is a late report of an
  // earlier process, unless the current one has been silent: then the target's
  // clock was set back before it restarted.
  const bool current_is_silent =
      known.reported_at + internal::kIncarnationSilence < now;
  if (known.report && report.incarnation < known.report->incarnation &&
      !current_is_silent) {
    return report_verdict::kSupersededIncarnation;
  }
  const bool is_leaving = report.phase == target_phase::kLeaving;
  known.leaving = is_leaving || (known.leaving && same_incarnation);
  known.incarnation = report.incarnation;
  known.report = report;
  known.reported_at = now;
  known.stale = false;
  return report_verdict::kAccepted;
}

bool MarkLeaving(targets_state& state,
                 const target_id& id,
                 std::uint64_t incarnation) {
  const auto found = state.index.find(id);
  if (found == state.index.end()) {
    return false;
  }
  target& known = state.targets[found->second];
  const bool is_news = incarnation > known.incarnation ||
                       (incarnation == known.incarnation && !known.leaving);
  if (is_news) {
    known.incarnation = incarnation;
    known.leaving = true;
  }
  return is_news;
}

void MarkStale(targets_state& state) noexcept {
  for (target& each : state.targets) {
    each.stale = true;
  }
}

const target* FindTarget(const targets_state& state,
                         const target_id& id) noexcept {
  const auto found = state.index.find(id);
  return found == state.index.end() ? nullptr : &state.targets[found->second];
}

std::vector<const target*> LiveTargets(const targets_state& state,
                                       const pool_id& pool) {
  std::vector<const target*> live;
  for (const target& candidate : state.targets) {
    if (candidate.pool == pool && !candidate.leaving) {
      live.push_back(&candidate);
    }
  }
  return live;
}

}  // namespace acaciaferry
