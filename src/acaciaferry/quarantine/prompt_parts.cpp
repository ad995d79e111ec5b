#include "acaciaferry/quarantine/prompt_parts.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace acaciaferry {
namespace internal {
namespace {

constexpr duration kPartQuarantine = std::chrono::minutes(10);
constexpr duration kExpiryInterval = std::chrono::seconds(1);
constexpr std::size_t kMaxCrashes = 256;
constexpr std::size_t kMaxBegunParts = 4'096;
constexpr std::size_t kMaxParts = 32;
// Crashes within this time may have one cause that is no request, such as a
// failed rack or a reset of many connections.
constexpr duration kEpisode = std::chrono::milliseconds(300);
// Episodes and targets that show that a part crashes targets, if no answer has
// ever begun on it.
constexpr std::size_t kMinCrashes = 3;
// The same for a part on which answers have begun before, but none since.
constexpr std::size_t kMinCrashesAfterAnswers = 6;
// Three crashed tests fall into one quarantine and so prolong it.
constexpr duration kTestInterval = std::chrono::minutes(3);
constexpr duration kTellInterval = std::chrono::seconds(1);

// Indices of crashes.
using crash_set = std::vector<std::size_t>;

bool IsYoung(time_point at, time_point now) {
  return at + kPartQuarantine > now;
}

const part_quarantine::answer_begun* FindBegun(const part_quarantine& state,
                                               prompt_part part) {
  const auto at = state.begun.find(part);
  return at == state.begun.end() ? nullptr : &at->second;
}

// The parts that may have caused a crash. A part on which answers have begun is
// suspected only if the request has no other, and none has begun since.
std::vector<prompt_part> SuspectedParts(const part_quarantine& state,
                                        const part_crash& crash) {
  std::vector<prompt_part> suspected;
  for (const prompt_part part : crash.parts) {
    if (FindBegun(state, part) == nullptr) {
      suspected.push_back(part);
    }
  }
  if (!suspected.empty()) {
    return suspected;
  }
  for (const prompt_part part : crash.parts) {
    if (FindBegun(state, part)->at < crash.at) {
      suspected.push_back(part);
    }
  }
  return suspected;
}

// Counts episodes. Those beyond the number of targets count half: a target may
// fail again and again for a reason of its own, but a pool may be small.
std::size_t CountCrashes(const part_quarantine& state, const crash_set& of) {
  std::set<target_id> targets;
  std::vector<time_point> times;
  for (const std::size_t index : of) {
    targets.insert(state.crashes[index].target);
    times.push_back(state.crashes[index].at);
  }
  std::sort(times.begin(), times.end());
  std::size_t episodes = 0;
  time_point episode_end{};
  for (const time_point at : times) {
    if (episodes == 0 || at >= episode_end) {
      ++episodes;
      episode_end = at + kEpisode;
    }
  }
  const std::size_t distinct = std::min(targets.size(), episodes);
  return distinct + (episodes - distinct) / 2;
}

std::size_t MinCrashesOf(const part_quarantine& state, prompt_part part) {
  return FindBegun(state, part) == nullptr ? kMinCrashes
                                           : kMinCrashesAfterAnswers;
}

// Explains the crashes by as few parts as possible: repeatedly takes the part
// that was in most of the crashes that are not explained yet.
std::vector<std::vector<prompt_part>> FindCulprits(
    const part_quarantine& state) {
  std::map<prompt_part, crash_set> by_part;
  for (std::size_t index = 0; index < state.crashes.size(); ++index) {
    for (const prompt_part part : SuspectedParts(state, state.crashes[index])) {
      by_part[part].push_back(index);
    }
  }
  std::vector<std::vector<prompt_part>> culprits;
  while (true) {
    const crash_set* explained = nullptr;
    std::size_t most = 0;
    for (const auto& [part, crashes] : by_part) {
      const std::size_t count = CountCrashes(state, crashes);
      if (count >= MinCrashesOf(state, part) && count > most) {
        most = count;
        explained = &crashes;
      }
    }
    if (explained == nullptr) {
      return culprits;
    }
    const crash_set covered = *explained;
    std::vector<prompt_part> group;
    for (auto& [part, crashes] : by_part) {
      if (crashes == covered) {
        group.push_back(part);
      }
      std::erase_if(crashes, [&](std::size_t index) {
        return std::binary_search(covered.begin(), covered.end(), index);
      });
    }
    culprits.push_back(std::move(group));
  }
}

bool ContainsAll(std::span<const prompt_part> parts,
                 const std::vector<prompt_part>& group) {
  return std::all_of(group.begin(), group.end(), [&](prompt_part part) {
    return std::find(parts.begin(), parts.end(), part) != parts.end();
  });
}

// Whether crash `a` matters less than crash `b`: those that explain a refusal
// matter most, then the latest.
bool MattersLess(const part_quarantine& state,
                 const part_crash& a,
                 const part_crash& b) {
  const bool a_explains = HasRefusedParts(state, a.parts);
  const bool b_explains = HasRefusedParts(state, b.parts);
  return a_explains != b_explains ? b_explains : a.at < b.at;
}

std::vector<part_crash> MostImportant(const part_quarantine& state,
                                      std::vector<part_crash> crashes) {
  std::sort(crashes.begin(), crashes.end(),
            [&](const part_crash& a, const part_crash& b) {
              return MattersLess(state, b, a);
            });
  crashes.resize(std::min(crashes.size(), kMaxPartCrashesSent));
  return crashes;
}

// Makes room for a crash.
void EvictCrash(part_quarantine& state) {
  if (state.crashes.size() < kMaxCrashes) {
    return;
  }
  state.crashes.erase(
      std::min_element(state.crashes.begin(), state.crashes.end(),
                       [&](const part_crash& a, const part_crash& b) {
                         return MattersLess(state, a, b);
                       }));
}

void EvictBegunPart(part_quarantine& state) {
  if (state.begun.size() < kMaxBegunParts) {
    return;
  }
  state.begun.erase(std::min_element(
      state.begun.begin(), state.begun.end(),
      [](const auto& a, const auto& b) { return a.second.at < b.second.at; }));
}

bool IsInACrash(const part_quarantine& state, prompt_part part) {
  return std::any_of(
      state.crashes.begin(), state.crashes.end(), [&](const part_crash& crash) {
        return std::find(crash.parts.begin(), crash.parts.end(), part) !=
               crash.parts.end();
      });
}

// Returns whether a crash has to be judged anew.
bool NoteBegun(part_quarantine& state,
               prompt_part part,
               bool own,
               time_point at) {
  if (!state.begun.contains(part)) {
    EvictBegunPart(state);
  }
  auto& known = state.begun[part];
  known.at = std::max(known.at, at);
  known.own = known.own || own;
  return IsInACrash(state, part);
}

// Drops the crashes that no part can have caused, and judges the others.
part_verdicts Judge(part_quarantine& state) {
  std::erase_if(state.crashes, [&](const part_crash& crash) {
    return SuspectedParts(state, crash).empty();
  });
  auto before = std::exchange(state.refused, FindCulprits(state));
  part_verdicts verdicts;
  const auto subtract = [](const auto& from, const auto& other) {
    std::vector<std::vector<prompt_part>> rest;
    for (const auto& group : from) {
      if (std::find(other.begin(), other.end(), group) == other.end()) {
        rest.push_back(group);
      }
    }
    return rest;
  };
  verdicts.added = subtract(state.refused, before);
  verdicts.dropped = subtract(before, state.refused);
  return verdicts;
}

// Adds the own begun answers on these parts that the peers were not told of
// lately.
void Tell(part_quarantine& state,
          std::span<const prompt_part> parts,
          time_point now,
          std::vector<begun_part>& to_tell) {
  for (const prompt_part part : parts) {
    const auto at = state.begun.find(part);
    if (at != state.begun.end() && at->second.own &&
        (at->second.told_at == time_point{} ||
         at->second.told_at + kTellInterval <= now)) {
      at->second.told_at = now;
      to_tell.push_back({part, now - at->second.at});
    }
  }
}

bool IsKnown(const part_quarantine& state, const part_crash& crash) {
  return std::any_of(
      state.crashes.begin(), state.crashes.end(), [&](const part_crash& known) {
        return known.source == crash.source && known.sequence == crash.sequence;
      });
}

}  // namespace
}  // namespace internal

part_verdicts RecordPartCrash(part_quarantine& state,
                              const evidence_source& self,
                              const target_id& target,
                              std::span<const prompt_part> parts,
                              time_point now) {
  if (parts.empty()) {
    return {};
  }
  internal::EvictCrash(state);
  const part_crash crash{
      self, state.next_sequence++, target, now, {parts.begin(), parts.end()}};
  state.crashes.push_back(crash);
  part_verdicts verdicts = internal::Judge(state);
  if (internal::IsKnown(state, crash)) {
    verdicts.crashes_to_tell.push_back(crash);
  }
  return verdicts;
}

part_verdicts RecordAnswerBegun(part_quarantine& state,
                                std::span<const prompt_part> parts,
                                time_point now) {
  bool judge = false;
  std::vector<prompt_part> in_crashes;
  for (const prompt_part part : parts) {
    if (internal::NoteBegun(state, part, true, now)) {
      in_crashes.push_back(part);
      judge = true;
    }
  }
  if (!judge) {
    return {};
  }
  part_verdicts verdicts = internal::Judge(state);
  internal::Tell(state, in_crashes, now, verdicts.to_tell);
  return verdicts;
}

part_verdicts MergePartCrashes(part_quarantine& state,
                               const evidence_source& self,
                               const part_crashes_received& received,
                               time_point now) {
  std::vector<begun_part> to_tell;
  bool judge = false;
  for (const part_crash& crash : received.crashes) {
    if (crash.source == self || crash.parts.empty() ||
        crash.parts.size() > internal::kMaxParts || crash.at > now ||
        !internal::IsYoung(crash.at, now) || internal::IsKnown(state, crash)) {
      continue;
    }
    internal::Tell(state, crash.parts, now, to_tell);
    internal::EvictCrash(state);
    state.crashes.push_back(crash);
    judge = true;
  }
  part_verdicts verdicts = judge ? internal::Judge(state) : part_verdicts{};
  verdicts.to_tell = std::move(to_tell);
  return verdicts;
}

part_verdicts MergeBegunParts(part_quarantine& state,
                              const begun_parts_received& received,
                              time_point now) {
  bool judge = false;
  for (const begun_part& each : received.parts) {
    if (each.age >= duration::zero() && each.age < internal::kPartQuarantine) {
      judge =
          internal::NoteBegun(state, each.part, false, now - each.age) || judge;
    }
  }
  return judge ? internal::Judge(state) : part_verdicts{};
}

bool HasRefusedParts(const part_quarantine& state,
                     std::span<const prompt_part> parts) {
  return std::any_of(state.refused.begin(), state.refused.end(),
                     [&](const std::vector<prompt_part>& group) {
                       return internal::ContainsAll(parts, group);
                     });
}

bool TryTestParts(part_quarantine& state,
                  const evidence_source& self,
                  std::span<const prompt_part> parts,
                  time_point now) {
  const part_crash* first_source = nullptr;
  time_point last = state.tested_at;
  for (const part_crash& crash : state.crashes) {
    const bool shares_refused = std::any_of(
        state.refused.begin(), state.refused.end(), [&](const auto& group) {
          return internal::ContainsAll(parts, group) &&
                 internal::ContainsAll(crash.parts, group);
        });
    if (shares_refused) {
      last = std::max(last, crash.at);
      if (first_source == nullptr || crash.source < first_source->source) {
        first_source = &crash;
      }
    }
  }
  if (first_source == nullptr || first_source->source != self ||
      last + internal::kTestInterval > now) {
    return false;
  }
  state.tested_at = now;
  return true;
}

std::vector<part_crash> PartCrashesToTell(const part_quarantine& state) {
  return internal::MostImportant(state, state.crashes);
}

std::vector<part_crash> OwnPartCrashes(const part_quarantine& state,
                                       const evidence_source& self,
                                       duration max_age,
                                       time_point now) {
  std::vector<part_crash> own;
  for (const part_crash& crash : state.crashes) {
    if (crash.source == self && crash.at + max_age > now) {
      own.push_back(crash);
    }
  }
  return internal::MostImportant(state, std::move(own));
}

part_verdicts ExpireParts(part_quarantine& state, time_point now) {
  if (now < state.next_expiry) {
    return {};
  }
  state.next_expiry = now + internal::kExpiryInterval;
  std::erase_if(state.begun, [&](const auto& each) {
    return !internal::IsYoung(each.second.at, now);
  });
  const std::size_t expired =
      std::erase_if(state.crashes, [&](const part_crash& crash) {
        return !internal::IsYoung(crash.at, now);
      });
  return expired > 0 ? internal::Judge(state) : part_verdicts{};
}

}  // namespace acaciaferry
