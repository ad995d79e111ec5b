#include "acaciaferry/forwarding/placement.hpp"

#include <algorithm>
#include <array>
#include <cmath>

namespace acaciaferry::forwarding {
namespace internal {

// A prompt is not split into parts with less prefill time than this, unless its
// memory requires it: that would save less than the steps that the prefill is
// spread over.
constexpr duration kMinPartTime = std::chrono::milliseconds(12);
// Share of an engine's memory that placement uses; the rest is kept free for
// responses that turn out longer than expected.
constexpr double kUsableMemoryShare = 0.94;
// Share of the gap objective above which a predicted gap counts as late; the
// rest is for the network and the entry VM.
constexpr double kMaxGapShare = 0.8;
// Share of the latency budget above which a predicted first event counts as
// late.
constexpr double kMaxLatencyShare = 0.7;
// Share of an engine's slots up to which decodes are packed on it.
constexpr double kMaxPackedShare = 0.8;
// Cost, in late requests, of the first decode with a gap objective on an
// engine: from then on the engine can't take long prefills.
constexpr double kFirstPacedDecodeCost = 0.5;
// With this many decodes an engine can't take long prefills anyway.
constexpr double kLongPrefillDecodeLimit = 8;
// Cost of each further part, so that equal choices use the fewest engines.
constexpr double kPartCost = 0.01;
constexpr std::array<std::size_t, 12> kSplitSizes{1, 2,  3,  4,  5,  6,
                                                  8, 10, 12, 14, 16, 17};

// One candidate and what a part would cost there.
struct option {
  const target* candidate{};
  target_load load;
  duration pass_time{};
  /** Prefills that wait for the next pass, or all prefills without decodes. */
  duration queued_prefill{};
  double cost{};
  duration prefill_done{};
  bool may_help{true};
};

double Seconds(duration value) {
  return ToSeconds(value);
}

// Grows from almost 0 below `share` of the bound to about 1 at the bound, and
// slowly beyond it.
double LatenessPenalty(duration predicted, duration bound, double share) {
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

// Cost of a prefill to the prefills that it delays. Without decodes a part
// overtakes everything that is unfinished; with decodes it makes the next pass
// longer, which delays all prefills that wait for that pass.
double PrefillInterference(const option& on,
                           duration prefill_time,
                           bool is_part,
                           time_point now) {
  if (!is_part && !on.load.has_decodes) {
    return 0;
  }
  double interference = 0;
  for (const pending_prefill& each : on.load.prefills) {
    if (each.in_pass || each.first_event_due <= now) {
      continue;
    }
    const duration left = each.first_event_due - now;
    interference +=
        each.weight *
        (LatenessPenalty(each.done_at + prefill_time - now, left,
                         kMaxLatencyShare) -
         LatenessPenalty(each.done_at - now, left, kMaxLatencyShare));
  }
  return interference;
}

// Cost of a prefill to the decodes of an engine: everything that is queued is
// prefilled in the next pass, so it adds to the gap between two events.
double DecodeInterference(const option& on, duration prefill_time) {
  const duration before = on.pass_time + on.queued_prefill;
  double interference = 0;
  for (const paced_decode& each : on.load.paced_decodes) {
    interference += each.weight *
                    (LatenessPenalty(before + prefill_time, each.gap_objective,
                                     kMaxGapShare) -
                     LatenessPenalty(before, each.gap_objective, kMaxGapShare));
  }
  return interference;
}

double Interference(const option& on,
                    duration prefill_time,
                    bool is_part,
                    time_point now) {
  return DecodeInterference(on, prefill_time) +
         PrefillInterference(on, prefill_time, is_part, now);
}

// With decodes a prefill waits for the end of the current pass; without decodes
// a part overtakes all queued prefills.
duration PrefillDone(const option& on, duration prefill_time, bool is_part) {
  if (on.load.has_decodes) {
    return on.load.pass_remaining + on.queued_prefill + prefill_time;
  }
  return (is_part ? duration{} : on.queued_prefill) + prefill_time;
}

// The first event is sent at the end of the pass that completes the prefill.
// The first pass of an engine without decodes has nothing else to do.
duration TimeToFirstEvent(const option& on,
                          duration prefill_time,
                          bool is_part) {
  return PrefillDone(on, prefill_time, is_part) +
         (on.load.has_decodes ? on.pass_time : on.pass_time / 2);
}

bool HasMemory(const engine_properties& engine,
               const target_load& load,
               const placement_request& wanted) {
  if (wanted.memory_tokens == 0) {
    return true;
  }
  const auto usable = static_cast<std::uint64_t>(
      static_cast<double>(engine.memory_tokens) * kUsableMemoryShare);
  const std::uint64_t needed = wanted.memory_tokens;
  // A prompt that needs more than the usable share may still use an empty
  // engine.
  return load.memory_tokens + needed <= usable ||
         (load.memory_tokens == 0 && needed <= engine.memory_tokens);
}

// Cost of generating the response on an engine.
double DecodeCost(const engine_properties& engine,
                  const option& on,
                  const placement_request& wanted) {
  const double slots = std::max(on.candidate->slots, 1U);
  const double taken = (on.load.decodes + 1) / slots;
  double cost = 0.02 * taken;
  if (taken > kMaxPackedShare) {
    cost += (taken - kMaxPackedShare) * 5;
  }
  if (on.load.decodes >= on.candidate->slots) {
    cost += 2;
  }
  const auto memory =
      static_cast<double>(on.load.memory_tokens + wanted.prompt_tokens) /
      static_cast<double>(std::max<std::uint64_t>(engine.memory_tokens, 1));
  cost += 0.2 * memory;
  return cost;
}

std::vector<option> MakeOptions(const engine_properties& engine,
                                std::span<const target* const> candidates,
                                const load_ledger& ledger,
                                const placement_request& wanted,
                                time_point now) {
  std::vector<option> options;
  options.reserve(candidates.size());
  for (const target* each : candidates) {
    option one{each, ledger.Load(each->id, now), {}, {}, 0, {}};
    one.may_help =
        std::find(wanted.not_as_helpers.begin(), wanted.not_as_helpers.end(),
                  each->id) == wanted.not_as_helpers.end();
    one.queued_prefill = one.load.QueuedPrefill();
    one.pass_time = PassTime(engine, one.load.decodes + 1,
                             one.load.context_tokens + wanted.prompt_tokens);
    options.push_back(one);
  }
  return options;
}

struct split {
  double cost{};
  double interference{};
  std::size_t parts{};
  std::size_t decode_index{};
  duration part_time{};
  duration time_to_first_event{};
};

// Chooses the decode target: it must have the memory, and prefills one part.
std::optional<std::size_t> ChooseDecodeTarget(
    const engine_properties& engine,
    const std::vector<option>& options,
    const placement_request& wanted,
    duration part,
    bool is_part,
    time_point now) {
  std::optional<std::size_t> best;
  double min_cost = 0;
  const bool is_paced =
      wanted.gap_objective > duration{} && part <= kMinPartTime * 4;
  for (std::size_t index = 0; index < options.size(); ++index) {
    const option& each = options[index];
    if (!HasMemory(engine, each.load, wanted)) {
      continue;
    }
    const duration done = TimeToFirstEvent(each, part, is_part);
    double cost =
        Interference(each, part, is_part, now) +
        DecodeCost(engine, each, wanted) +
        LatenessPenalty(done, wanted.latency_budget, kMaxLatencyShare);
    if (is_paced) {
      cost += kFirstPacedDecodeCost *
              std::max(0.0, 1 - each.load.decodes / kLongPrefillDecodeLimit);
    }
    if (!best || cost < min_cost) {
      best = index;
      min_cost = cost;
    }
  }
  return best;
}

split EvaluateSplit(std::vector<option>& options,
                    std::size_t decode_index,
                    std::size_t parts,
                    duration whole,
                    double weight,
                    const placement_request& wanted,
                    time_point now) {
  split result;
  result.parts = parts;
  result.decode_index = decode_index;
  result.part_time = whole / static_cast<std::int64_t>(parts);
  const bool is_part = parts > 1;
  for (option& each : options) {
    each.prefill_done = PrefillDone(each, result.part_time, is_part);
    each.cost =
        Interference(each, result.part_time, is_part, now) +
        weight * LatenessPenalty(each.prefill_done, wanted.latency_budget,
                                 kMaxLatencyShare);
  }
  std::vector<const option*> helpers;
  for (std::size_t index = 0; index < options.size(); ++index) {
    if (index != decode_index && options[index].may_help) {
      helpers.push_back(&options[index]);
    }
  }
  std::partial_sort(
      helpers.begin(), helpers.begin() + static_cast<std::ptrdiff_t>(parts - 1),
      helpers.end(),
      [](const option* a, const option* b) { return a->cost < b->cost; });
  duration last_part_done{};
  result.interference =
      Interference(options[decode_index], result.part_time, is_part, now);
  for (std::size_t index = 0; index + 1 < parts; ++index) {
    last_part_done = std::max(last_part_done, helpers[index]->prefill_done);
    result.interference +=
        Interference(*helpers[index], result.part_time, is_part, now);
    result.cost += kPartCost;
  }
  result.time_to_first_event = std::max(
      TimeToFirstEvent(options[decode_index], result.part_time, is_part),
      last_part_done + options[decode_index].pass_time / 2);
  result.cost +=
      result.interference + weight * LatenessPenalty(result.time_to_first_event,
                                                     wanted.latency_budget,
                                                     kMaxLatencyShare);
  return result;
}

}  // namespace internal

double RequestWeight(const engine_properties& engine,
                     std::uint64_t prompt_tokens) noexcept {
  // Used if the configuration has no mean prompt length.
  constexpr double kDefaultMeanPromptTokens = 10'000;
  const double mean_prompt_tokens = engine.mean_prompt_tokens > 0
                                        ? engine.mean_prompt_tokens
                                        : kDefaultMeanPromptTokens;
  return 1 + static_cast<double>(prompt_tokens) / mean_prompt_tokens;
}

std::optional<placement> PlacePrompt(const engine_properties& engine,
                                     std::span<const target* const> candidates,
                                     const load_ledger& ledger,
                                     const placement_request& wanted,
                                     std::size_t max_helpers,
                                     time_point now) {
  auto options = internal::MakeOptions(engine, candidates, ledger, wanted, now);
  const duration whole = PrefillTime(engine, wanted.prompt_tokens);
  const double weight = RequestWeight(engine, wanted.prompt_tokens);
  std::optional<internal::split> best;
  for (const std::size_t parts : internal::kSplitSizes) {
    const duration part = whole / static_cast<std::int64_t>(parts);
    if (parts < wanted.min_parts) {
      continue;
    }
    if (parts > options.size() || parts > max_helpers + 1 ||
        (parts > wanted.min_parts && part < internal::kMinPartTime)) {
      break;
    }
    const auto decode_index = internal::ChooseDecodeTarget(
        engine, options, wanted, part, parts > 1, now);
    if (!decode_index) {
      return std::nullopt;
    }
    const auto helpers = static_cast<std::size_t>(
        std::count_if(
            options.begin(), options.end(),
            [](const internal::option& each) { return each.may_help; }) -
        (options[*decode_index].may_help ? 1 : 0));
    if (parts > helpers + 1) {
      break;
    }
    const auto split = internal::EvaluateSplit(options, *decode_index, parts,
                                               whole, weight, wanted, now);
    if (!best || split.cost < best->cost) {
      best = split;
    }
  }
  if (!best) {
    return std::nullopt;
  }
  // Restore the costs of the best split, which the last evaluation overwrote.
  static_cast<void>(internal::EvaluateSplit(
      options, best->decode_index, best->parts, whole, weight, wanted, now));
  placement chosen{options[best->decode_index].candidate->id,
                   {},
                   best->part_time,
                   best->time_to_first_event,
                   best->interference};
  std::swap(options[best->decode_index], options.back());
  options.pop_back();
  std::erase_if(options,
                [](const internal::option& each) { return !each.may_help; });
  std::partial_sort(
      options.begin(),
      options.begin() + static_cast<std::ptrdiff_t>(best->parts - 1),
      options.end(), [](const internal::option& a, const internal::option& b) {
        return a.cost < b.cost;
      });
  for (std::size_t index = 0; index + 1 < best->parts; ++index) {
    chosen.helpers.push_back(options[index].candidate->id);
  }
  return chosen;
}

const target* PlaceCall(std::span<const target* const> candidates,
                        const load_ledger& ledger,
                        const failure_domain_id& own_domain,
                        random_engine& random,
                        time_point now) {
  // A call to another failure domain costs little more than a network round
  // trip, so the domain only breaks ties between equally loaded targets.
  constexpr double kRemoteDomainCost = 0.2;
  const target* best = nullptr;
  double min_cost = 0;
  std::uint64_t equals = 0;
  for (const target* each : candidates) {
    const auto load = ledger.Load(each->id, now);
    const double cost =
        (load.decodes +
         (each->failure_domain == own_domain ? 0 : kRemoteDomainCost)) /
        std::max(each->slots, 1U);
    if (best == nullptr || cost < min_cost) {
      best = each;
      min_cost = cost;
      equals = 1;
    } else if (cost == min_cost && DrawBelow(random, ++equals) == 0) {
      best = each;
    }
  }
  return best;
}

}  // namespace acaciaferry::forwarding
