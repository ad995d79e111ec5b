#include "acaciaferry/forwarding/placement.hpp"

#include <algorithm>
#include <array>
#include <cmath>

namespace acaciaferry::forwarding {
namespace internal {

// A part below this reading time saves less than the steps it is spread over.
constexpr duration kSmallestPart = std::chrono::milliseconds(12);
// Kept free of an engine's memory for answers that turn out longer.
constexpr double kMemoryShare = 0.94;
// Share of its bound that a pause may take up before it counts as late: the
// rest is for the network and the entry VM.
constexpr double kGapShare = 0.8;
// Share of the aim that the predicted first event may take up.
constexpr double kAimShare = 0.7;
// Share of the slots up to which writers are packed on an engine.
constexpr double kPackedShare = 0.8;
// Cost, in late requests, of the first strict writer on an engine: it closes
// the engine to long reads.
constexpr double kOpeningCost = 0.5;
// With this many writers an engine is closed to long reads anyway.
constexpr double kOpenWriters = 8;
// Cost of each further part, so that equal choices take the fewest engines.
constexpr double kPartCost = 0.01;
constexpr std::array<std::size_t, 12> kParts{1, 2,  3,  4,  5,  6,
                                             8, 10, 12, 14, 16, 17};

// One candidate and what a part on it would cost.
struct option {
  const target* which{};
  target_load load;
  duration pass{};
  /** Reads that wait for the next pass, or all reads without writers. */
  duration waiting{};
  double cost{};
  duration done{};
};

double Seconds(duration value) {
  return ToSeconds(value);
}

// Grows from 0 at the share of the bound to 1 at the bound, and slowly on.
double Lateness(duration predicted, duration bound, double share) {
  if (bound <= duration{}) {
    return 0;
  }
  const double used = Seconds(predicted) / Seconds(bound);
  if (used <= share) {
    return 0.01 * used;
  }
  const double over = (used - share) / (1 - share);
  return 0.01 * share + std::min(over, 1.0) + 0.05 * std::max(over - 1, 0.0);
}

// Cost of a read to the reads that it delays: without writers a part goes ahead
// of all that is not finished; beside them it makes the next pass longer, whose
// end all that wait for it have to await.
double HarmToReads(const option& on,
                   duration reading,
                   bool is_part,
                   time_point now) {
  if (!is_part && !on.load.has_writers) {
    return 0;
  }
  double harm = 0;
  for (const unfinished_read& each : on.load.reads) {
    if (each.in_pass || each.due <= now) {
      continue;
    }
    const duration left = each.due - now;
    harm += each.worth * (Lateness(each.done + reading - now, left, kAimShare) -
                          Lateness(each.done - now, left, kAimShare));
  }
  return harm;
}

// Cost of a read to the writers of an engine: all that the engine has not read
// yet is read in its next pass, within the pause between two events.
double HarmToWriters(const option& on, duration reading) {
  const duration before = on.pass + on.waiting;
  double harm = 0;
  for (const paced_writer& each : on.load.paced) {
    harm += each.worth *
            (Lateness(before + reading, each.gap_objective, kGapShare) -
             Lateness(before, each.gap_objective, kGapShare));
  }
  return harm;
}

double Harm(const option& on, duration reading, bool is_part, time_point now) {
  return HarmToWriters(on, reading) + HarmToReads(on, reading, is_part, now);
}

// Beside writers a read waits for the end of the pass that runs; else a part
// goes ahead of all reads.
duration PartDone(const option& on, duration reading, bool is_part) {
  if (on.load.has_writers) {
    return on.load.pass_left + on.waiting + reading;
  }
  return (is_part ? duration{} : on.waiting) + reading;
}

// The first event comes with the end of the pass that has read all; the first
// pass of an engine without writers has nothing else to do.
duration FirstEvent(const option& on, duration reading, bool is_part) {
  return PartDone(on, reading, is_part) +
         (on.load.has_writers ? on.pass : on.pass / 2);
}

bool HasMemory(const engine_properties& engine,
               const target_load& load,
               const demand& wanted) {
  if (wanted.memory_tokens == 0) {
    return true;
  }
  const auto usable = static_cast<std::uint64_t>(
      static_cast<double>(engine.memory_tokens) * kMemoryShare);
  const std::uint64_t needed = wanted.memory_tokens;
  // A prompt that fills an engine by itself is placed on an empty one.
  return load.memory_tokens + needed <= usable ||
         (load.memory_tokens == 0 && needed <= engine.memory_tokens);
}

// The cost of writing the answer on an engine.
double WritingCost(const engine_properties& engine,
                   const option& on,
                   const demand& wanted) {
  const double slots = std::max(on.which->slots, 1U);
  const double taken = (on.load.writers + 1) / slots;
  double cost = 0.02 * taken;
  if (taken > kPackedShare) {
    cost += (taken - kPackedShare) * 5;
  }
  if (on.load.writers >= on.which->slots) {
    cost += 2;
  }
  const auto memory =
      static_cast<double>(on.load.memory_tokens + wanted.prompt_tokens) /
      static_cast<double>(std::max<std::uint64_t>(engine.memory_tokens, 1));
  cost += 0.2 * memory;
  return cost;
}

std::vector<option> Options(const engine_properties& engine,
                            std::span<const target* const> candidates,
                            const load_ledger& ledger,
                            const demand& wanted,
                            time_point now) {
  std::vector<option> options;
  options.reserve(candidates.size());
  for (const target* each : candidates) {
    option one{each, ledger.Load(each->id, now), {}, {}, 0, {}};
    one.waiting = one.load.Waiting();
    one.pass = PassTime(engine, one.load.writers + 1,
                        one.load.context_tokens + wanted.prompt_tokens);
    options.push_back(one);
  }
  return options;
}

struct trial {
  double cost{};
  double harm{};
  std::size_t parts{};
  std::size_t first{};
  duration part{};
  duration first_event{};
};

// Chooses the engine that writes: it must have the memory, and reads a part.
std::optional<std::size_t> ChooseFirst(const engine_properties& engine,
                                       const std::vector<option>& options,
                                       const demand& wanted,
                                       duration part,
                                       bool is_part,
                                       time_point now) {
  std::optional<std::size_t> best;
  double least = 0;
  const bool strict =
      wanted.gap_objective > duration{} && part <= kSmallestPart * 4;
  for (std::size_t index = 0; index < options.size(); ++index) {
    const option& each = options[index];
    if (!HasMemory(engine, each.load, wanted)) {
      continue;
    }
    const duration done = FirstEvent(each, part, is_part);
    double cost = Harm(each, part, is_part, now) +
                  WritingCost(engine, each, wanted) +
                  Lateness(done, wanted.aim, kAimShare);
    if (strict) {
      cost +=
          kOpeningCost * std::max(0.0, 1 - each.load.writers / kOpenWriters);
    }
    if (!best || cost < least) {
      best = index;
      least = cost;
    }
  }
  return best;
}

trial Evaluate(std::vector<option>& options,
               std::size_t first,
               std::size_t parts,
               duration whole,
               double worth,
               const demand& wanted,
               time_point now) {
  trial result;
  result.parts = parts;
  result.first = first;
  result.part = whole / static_cast<std::int64_t>(parts);
  const bool is_part = parts > 1;
  for (option& each : options) {
    each.done = PartDone(each, result.part, is_part);
    each.cost = Harm(each, result.part, is_part, now) +
                worth * Lateness(each.done, wanted.aim, kAimShare);
  }
  std::vector<const option*> helpers;
  for (std::size_t index = 0; index < options.size(); ++index) {
    if (index != first) {
      helpers.push_back(&options[index]);
    }
  }
  std::partial_sort(
      helpers.begin(), helpers.begin() + static_cast<std::ptrdiff_t>(parts - 1),
      helpers.end(),
      [](const option* a, const option* b) { return a->cost < b->cost; });
  duration last{};
  result.harm = Harm(options[first], result.part, is_part, now);
  for (std::size_t index = 0; index + 1 < parts; ++index) {
    last = std::max(last, helpers[index]->done);
    result.harm += Harm(*helpers[index], result.part, is_part, now);
    result.cost += kPartCost;
  }
  result.first_event =
      std::max(FirstEvent(options[first], result.part, is_part),
               last + options[first].pass / 2);
  result.cost +=
      result.harm + worth * Lateness(result.first_event, wanted.aim, kAimShare);
  return result;
}

}  // namespace internal

double Worth(const engine_properties& engine,
             std::uint64_t prompt_tokens) noexcept {
  // Used while the configuration names no usual length.
  constexpr double kUsualPromptTokens = 10'000;
  const double usual = engine.mean_prompt_tokens > 0 ? engine.mean_prompt_tokens
                                                     : kUsualPromptTokens;
  return 1 + static_cast<double>(prompt_tokens) / usual;
}

std::optional<placement> PlacePrompt(const engine_properties& engine,
                                     std::span<const target* const> candidates,
                                     const load_ledger& ledger,
                                     const demand& wanted,
                                     std::size_t most_helpers,
                                     time_point now) {
  auto options = internal::Options(engine, candidates, ledger, wanted, now);
  const duration whole = ReadingTime(engine, wanted.prompt_tokens);
  const double worth = Worth(engine, wanted.prompt_tokens);
  std::optional<internal::trial> best;
  for (const std::size_t parts : internal::kParts) {
    const duration part = whole / static_cast<std::int64_t>(parts);
    if (parts < wanted.least_parts) {
      continue;
    }
    if (parts > options.size() || parts > most_helpers + 1 ||
        (parts > wanted.least_parts && part < internal::kSmallestPart)) {
      break;
    }
    const auto first =
        internal::ChooseFirst(engine, options, wanted, part, parts > 1, now);
    if (!first) {
      return std::nullopt;
    }
    const auto trial =
        internal::Evaluate(options, *first, parts, whole, worth, wanted, now);
    if (!best || trial.cost < best->cost) {
      best = trial;
    }
  }
  if (!best) {
    return std::nullopt;
  }
  // Orders the helpers of the best trial again.
  static_cast<void>(internal::Evaluate(options, best->first, best->parts, whole,
                                       worth, wanted, now));
  placement chosen{options[best->first].which->id,
                   {},
                   best->part,
                   best->first_event,
                   best->harm};
  std::swap(options[best->first], options.back());
  options.pop_back();
  std::partial_sort(
      options.begin(),
      options.begin() + static_cast<std::ptrdiff_t>(best->parts - 1),
      options.end(), [](const internal::option& a, const internal::option& b) {
        return a.cost < b.cost;
      });
  for (std::size_t index = 0; index + 1 < best->parts; ++index) {
    chosen.helpers.push_back(options[index].which->id);
  }
  return chosen;
}

const target* PlaceCall(std::span<const target* const> candidates,
                        const load_ledger& ledger,
                        const failure_domain_id& nearby,
                        random_engine& random,
                        time_point now) {
  // A call in another failure domain costs little more time than the network's
  // round trip, so nearness only breaks ties of load.
  constexpr double kAwayCost = 0.2;
  const target* best = nullptr;
  double least = 0;
  std::uint64_t equals = 0;
  for (const target* each : candidates) {
    const auto load = ledger.Load(each->id, now);
    const double cost =
        (load.writers + (each->failure_domain == nearby ? 0 : kAwayCost)) /
        std::max(each->slots, 1U);
    if (best == nullptr || cost < least) {
      best = each;
      least = cost;
      equals = 1;
    } else if (cost == least && DrawBelow(random, ++equals) == 0) {
      best = each;
    }
  }
  return best;
}

}  // namespace acaciaferry::forwarding
