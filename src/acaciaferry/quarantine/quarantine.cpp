#include "acaciaferry/quarantine/quarantine.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace acaciaferry {
namespace internal {

constexpr duration kQuarantine = std::chrono::minutes(10);
// Maximum number of targets that one request may crash.
constexpr std::uint32_t kMaxCrashes = 3;
// Two crashes with no other request on the target are sufficient evidence.
constexpr double kMaxCrashWeight = 2;
// Every lookup checks the age itself; expiry only frees memory.
constexpr duration kExpiryInterval = std::chrono::seconds(1);
constexpr std::size_t kMaxFingerprints = 4'096;
constexpr std::size_t kMaxSources = 64;

struct evidence_total {
  std::uint32_t crashes{};
  double weight{};
  time_point last{};
};

evidence_total SumEvidence(const quarantine_state& state,
                           std::uint64_t fingerprint,
                           time_point now) {
  evidence_total sum;
  const auto found = state.suspects.find(fingerprint);
  if (found == state.suspects.end()) {
    return sum;
  }
  for (const auto& [source, known] : found->second) {
    if (known.crashes > 0 && known.changed_at + kQuarantine > now) {
      sum.crashes += known.crashes;
      sum.weight += known.weight;
      sum.last = std::max(sum.last, known.changed_at);
    }
  }
  return sum;
}

time_point LastChange(
    const std::map<evidence_source, crash_evidence>& sources) {
  time_point last{};
  for (const auto& [source, known] : sources) {
    last = std::max(last, known.changed_at);
  }
  return last;
}

// When the table is full, removes the fingerprint whose evidence is the oldest.
void EvictOldest(quarantine_state& state) {
  if (state.suspects.size() < kMaxFingerprints) {
    return;
  }
  const auto oldest =
      std::min_element(state.suspects.begin(), state.suspects.end(),
                       [](const auto& a, const auto& b) {
                         return LastChange(a.second) < LastChange(b.second);
                       });
  state.suspects.erase(oldest);
}

std::map<evidence_source, crash_evidence>& FindOrAddSources(
    quarantine_state& state,
    std::uint64_t fingerprint) {
  const auto found = state.suspects.find(fingerprint);
  if (found != state.suspects.end()) {
    return found->second;
  }
  EvictOldest(state);
  return state.suspects[fingerprint];
}

// Clears the evidence that is not newer than a completion of the request.
void ClearEvidence(quarantine_state& state,
                   std::map<evidence_source, crash_evidence>& sources,
                   const evidence_source& self,
                   time_point completed_at) {
  for (auto& [source, known] : sources) {
    if (known.crashes == 0 || known.changed_at > completed_at) {
      continue;
    }
    // The version stays, so that a late report does not restore the same
    // evidence. A new version for this VM's own evidence tells peers that it
    // was cleared.
    known.crashes = 0;
    known.weight = 0;
    if (source == self) {
      known.version = state.next_version++;
    }
  }
}

// Limits the effect of a corrupt report.
bool IsPlausible(const suspect_report& report) {
  constexpr std::uint32_t kMaxPlausibleCrashes = 1'000;
  return report.crashes <= kMaxPlausibleCrashes &&
         std::isfinite(report.weight) && report.weight >= 0 &&
         report.age >= duration::zero() && report.age < kQuarantine;
}

}  // namespace internal

void RecordCrash(quarantine_state& state,
                 const evidence_source& self,
                 std::uint64_t fingerprint,
                 double weight,
                 time_point now) {
  crash_evidence& own = internal::FindOrAddSources(state, fingerprint)[self];
  own.version = state.next_version++;
  own.crashes += 1;
  own.weight += weight;
  own.changed_at = now;
}

void RecordCompletion(quarantine_state& state,
                      const evidence_source& self,
                      std::uint64_t fingerprint,
                      time_point now) {
  if (!IsSuspect(state, fingerprint, now)) {
    return;
  }
  auto& sources = state.suspects[fingerprint];
  internal::ClearEvidence(state, sources, self, now);
  // The new version informs peers of the completion even when only they had
  // evidence.
  crash_evidence& own = sources[self];
  own.version = state.next_version++;
  own.changed_at = now;
}

bool MergeSuspects(quarantine_state& state,
                   const evidence_source& self,
                   const suspect_reports_received& received,
                   time_point now) {
  bool has_new_report = false;
  for (const suspect_report& report : received.reports) {
    if (report.source == self || !internal::IsPlausible(report)) {
      continue;
    }
    auto& sources = internal::FindOrAddSources(state, report.fingerprint);
    if (sources.size() >= internal::kMaxSources &&
        !sources.contains(report.source)) {
      continue;
    }
    crash_evidence& known = sources[report.source];
    if (report.version <= known.version) {
      continue;
    }
    const time_point at = now - report.age;
    known = {report.version, report.crashes, report.weight, at};
    has_new_report = true;
    // A report without crashes means that the source has seen the request
    // complete.
    if (report.crashes == 0) {
      internal::ClearEvidence(state, sources, self, at);
    }
  }
  return has_new_report;
}

bool IsSuspect(const quarantine_state& state,
               std::uint64_t fingerprint,
               time_point now) {
  return internal::SumEvidence(state, fingerprint, now).crashes > 0;
}

std::optional<duration> RemainingQuarantine(const quarantine_state& state,
                                            std::uint64_t fingerprint,
                                            time_point now) {
  const internal::evidence_total sum =
      internal::SumEvidence(state, fingerprint, now);
  const bool refused = sum.crashes >= internal::kMaxCrashes ||
                       sum.weight >= internal::kMaxCrashWeight;
  if (!refused) {
    return std::nullopt;
  }
  return sum.last + internal::kQuarantine - now;
}

std::vector<suspect_report> LatestSuspectReports(const quarantine_state& state,
                                                 std::size_t limit,
                                                 time_point now) {
  std::vector<suspect_report> reports;
  for (const auto& [fingerprint, sources] : state.suspects) {
    for (const auto& [source, known] : sources) {
      reports.push_back({fingerprint, source, known.version, known.crashes,
                         known.weight, now - known.changed_at});
    }
  }
  std::sort(reports.begin(), reports.end(),
            [](const suspect_report& a, const suspect_report& b) {
              return std::tie(a.age, a.fingerprint, a.source) <
                     std::tie(b.age, b.fingerprint, b.source);
            });
  reports.resize(std::min(reports.size(), limit));
  return reports;
}

void ExpireSuspects(quarantine_state& state, time_point now) {
  if (now < state.next_expiry) {
    return;
  }
  state.next_expiry = now + internal::kExpiryInterval;
  std::erase_if(state.suspects, [now](const auto& entry) {
    return internal::LastChange(entry.second) + internal::kQuarantine <= now;
  });
}

}  // namespace acaciaferry
