#include "acaciaferry/quarantine/quarantine.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <string>
#include <tuple>

namespace acaciaferry {
namespace internal {

constexpr duration kQuarantine = std::chrono::minutes(10);
// Two crashes with no other request on the target are sufficient evidence, if
// they aren't listed.
constexpr double kMaxCrashWeight = 2;
// Releases that read no lists refuse by the weight, too. With this they refuse
// after three crashes, as others do.
constexpr double kListedWeight = 2.0 / 3;
constexpr std::size_t kMaxListed = 8;
// The first crashes stay, since they tell when the limit was reached.
constexpr std::size_t kFirstListed = 4;
// A test may crash one more target. With the crashes on the way to the limit,
// and a second VM that tests at the same time, no more than three targets go
// after all VMs have heard of the limit.
constexpr std::uint32_t kMaxFailedTests = 2;
constexpr duration kFirstTestAfter = std::chrono::seconds(10);
constexpr duration kSecondTestAfter = std::chrono::seconds(60);
// The VM that saw the last crash tests first. Others follow at different times,
// in case the request doesn't come to that one.
constexpr duration kOthersTestAfter = std::chrono::seconds(5);
constexpr std::uint64_t kOthersTestJitterMs = 20'000;
// Every lookup checks the age itself; expiry only frees memory.
constexpr duration kExpiryInterval = std::chrono::seconds(1);
constexpr std::size_t kMaxFingerprints = 4'096;
constexpr std::size_t kMaxSources = 64;

struct evidence_total {
  std::uint32_t crashes{};
  /** Of the crashes that are known by their number only. */
  double unlisted_weight{};
  std::uint32_t unlisted{};
  std::vector<request_crash> listed;
  time_point last{};
  evidence_source last_source;
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
      if (known.lists_crashes) {
        sum.listed.insert(sum.listed.end(), known.listed.begin(),
                          known.listed.end());
      } else {
        sum.unlisted += known.crashes;
        sum.unlisted_weight += known.weight;
      }
      if (known.changed_at >= sum.last) {
        sum.last = known.changed_at;
        sum.last_source = source;
      }
    }
  }
  return sum;
}

bool IsRefused(const evidence_total& sum) {
  return Tally(sum.listed, sum.unlisted).halves >= 2 * kMaxRequestCrashes ||
         sum.unlisted_weight >= kMaxCrashWeight;
}

// Differs between VMs and requests.
duration OthersTestAfter(const evidence_source& self,
                         std::uint64_t fingerprint) {
  const std::uint64_t mixed =
      std::hash<std::string>{}(self.first.value) ^ fingerprint;
  return kOthersTestAfter +
         std::chrono::milliseconds(mixed % kOthersTestJitterMs);
}

suspect_report MakeReport(std::uint64_t fingerprint,
                          const evidence_source& source,
                          const crash_evidence& known,
                          time_point now) {
  return {fingerprint,         source,       known.version,
          known.crashes,       known.weight, now - known.changed_at,
          known.lists_crashes, known.listed};
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
    known.listed.clear();
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
         report.age >= duration::zero() && report.age < kQuarantine &&
         report.listed.size() <= kMaxListed;
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

void RecordCrash(quarantine_state& state,
                 const evidence_source& self,
                 std::uint64_t fingerprint,
                 double share,
                 const request_crash& crash) {
  crash_evidence& own = internal::FindOrAddSources(state, fingerprint)[self];
  own.version = state.next_version++;
  own.crashes += 1;
  own.weight += share * internal::kListedWeight;
  own.changed_at = std::max(own.changed_at, crash.at);
  own.lists_crashes = true;
  own.listed.push_back(crash);
  if (own.listed.size() > internal::kMaxListed) {
    own.listed.erase(own.listed.begin() + internal::kFirstListed);
  }
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
    // A VM of an older release passes a report on without its list.
    const bool completes = report.version == known.version &&
                           report.lists_crashes && !known.lists_crashes;
    if (report.version <= known.version && !completes) {
      continue;
    }
    const time_point at = now - report.age;
    known = {report.version,       report.crashes, report.weight, at,
             report.lists_crashes, report.listed};
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

bool IsSuspectAgain(const quarantine_state& state,
                    std::uint64_t fingerprint,
                    time_point now) {
  const internal::evidence_total sum =
      internal::SumEvidence(state, fingerprint, now);
  return internal::IsRefused(sum) ||
         Tally(sum.listed, sum.unlisted).halves >= 2 * (kMaxRequestCrashes - 1);
}

std::optional<duration> RemainingQuarantine(const quarantine_state& state,
                                            std::uint64_t fingerprint,
                                            time_point now) {
  const internal::evidence_total sum =
      internal::SumEvidence(state, fingerprint, now);
  if (!internal::IsRefused(sum)) {
    return std::nullopt;
  }
  return sum.last + internal::kQuarantine - now;
}

bool WouldBeRefused(const quarantine_state& state,
                    std::uint64_t fingerprint,
                    std::span<const request_crash> unsettled,
                    time_point now) {
  internal::evidence_total sum = internal::SumEvidence(state, fingerprint, now);
  sum.listed.insert(sum.listed.end(), unsettled.begin(), unsettled.end());
  return internal::IsRefused(sum);
}

std::optional<duration> TimeToTest(const quarantine_state& state,
                                   const evidence_source& self,
                                   std::uint64_t fingerprint,
                                   time_point now) {
  const internal::evidence_total sum =
      internal::SumEvidence(state, fingerprint, now);
  const crash_tally tally = Tally(sum.listed, sum.unlisted);
  if (!tally.limit_reached_at ||
      tally.failed_tests >= internal::kMaxFailedTests) {
    return std::nullopt;
  }
  const auto tested = state.tested_at.find(fingerprint);
  const time_point since = tested == state.tested_at.end()
                               ? sum.last
                               : std::max(sum.last, tested->second);
  const duration wait = tally.failed_tests == 0 ? internal::kFirstTestAfter
                                                : internal::kSecondTestAfter;
  return since + wait - now +
         (sum.last_source == self
              ? duration{}
              : internal::OthersTestAfter(self, fingerprint));
}

void RecordTest(quarantine_state& state,
                std::uint64_t fingerprint,
                time_point now) {
  state.tested_at[fingerprint] = now;
}

std::vector<suspect_report> SuspectReportsToTell(const quarantine_state& state,
                                                 std::size_t limit,
                                                 duration max_age,
                                                 time_point now) {
  struct rated_report {
    bool refused{};
    suspect_report report;
  };
  std::vector<rated_report> rated;
  for (const auto& [fingerprint, sources] : state.suspects) {
    const bool refused =
        RemainingQuarantine(state, fingerprint, now).has_value();
    for (const auto& [source, known] : sources) {
      if (refused || now - known.changed_at < max_age) {
        rated.push_back(
            {refused, internal::MakeReport(fingerprint, source, known, now)});
      }
    }
  }
  std::sort(rated.begin(), rated.end(),
            [](const rated_report& a, const rated_report& b) {
              return std::tie(b.refused, a.report.age, a.report.fingerprint,
                              a.report.source) <
                     std::tie(a.refused, b.report.age, b.report.fingerprint,
                              b.report.source);
            });
  rated.resize(std::min(rated.size(), limit));
  std::vector<suspect_report> reports;
  reports.reserve(rated.size());
  for (rated_report& each : rated) {
    reports.push_back(std::move(each.report));
  }
  return reports;
}

std::vector<suspect_report> SuspectReportsOn(const quarantine_state& state,
                                             std::uint64_t fingerprint,
                                             time_point now) {
  std::vector<suspect_report> reports;
  const auto found = state.suspects.find(fingerprint);
  if (found != state.suspects.end()) {
    for (const auto& [source, known] : found->second) {
      reports.push_back(internal::MakeReport(fingerprint, source, known, now));
    }
  }
  return reports;
}

std::vector<suspect_report> LatestSuspectReports(const quarantine_state& state,
                                                 std::size_t limit,
                                                 time_point now) {
  std::vector<suspect_report> reports;
  for (const auto& [fingerprint, sources] : state.suspects) {
    for (const auto& [source, known] : sources) {
      reports.push_back(internal::MakeReport(fingerprint, source, known, now));
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
  std::erase_if(state.tested_at, [&](const auto& entry) {
    return !state.suspects.contains(entry.first);
  });
}

}  // namespace acaciaferry
