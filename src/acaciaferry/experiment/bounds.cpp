#include "acaciaferry/experiment/bounds.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <optional>
#include <set>

#include "acaciaferry/core/length_class.hpp"

namespace acaciaferry {
namespace internal {

// The limits of section 1.3 of the design.
constexpr double kMaxShortTtftRatio = 1.25;
constexpr double kMaxLongTtftRatio = 1.5;
constexpr double kMaxAddedDelayShare = 0.5;
constexpr double kMinOverloadGoodputShare = 0.9;

constexpr std::string_view kShort = ToString(length_class::kUpTo4k);
constexpr std::string_view kLong = ToString(length_class::kOver128k);

template <typename... Values>
std::string Format(const char* format, Values... values) {
  constexpr std::size_t kLongestLine = 256;
  std::array<char, kLongestLine> text{};
  std::snprintf(text.data(), text.size(), format, values...);
  return text.data();
}

bound_check MakeCheck(std::string name, bool met, std::string figures) {
  return {std::move(name), met ? bound_verdict::kMet : bound_verdict::kNotMet,
          std::move(figures)};
}

bound_check MakeNotMeasured(std::string name) {
  return {std::move(name), bound_verdict::kNotMeasured, "runs are missing"};
}

// The rows of one deployment and seed, and the checks of the bounds on them.
class deployment_rows {
 public:
  deployment_rows(std::span<const measurement_row> rows,
                  deployment_kind deployment,
                  std::uint64_t seed)
      : deployment_(deployment), seed_(seed) {
    for (const measurement_row& row : rows) {
      if (row.plan.deployment == deployment && row.plan.seed == seed) {
        rows_.push_back(&row);
      }
    }
  }

  void Check(std::vector<bound_check>& out) const {
    CheckTtftRatio(out);
    CheckAddedDelay(out);
    CheckOtherClass(out);
    CheckCorrectness(out);
    CheckGoodput(out);
    CheckOverload(out);
  }

 private:
  [[nodiscard]] bool IsWorks() const {
    return deployment_ == deployment_kind::kWorks;
  }

  [[nodiscard]] std::string Name(std::string_view text) const {
    return std::string(ToString(deployment_)) + " seed " +
           std::to_string(seed_) + ": " + std::string(text);
  }

  [[nodiscard]] std::optional<double> P95(policy_kind policy,
                                          scenario_kind scenario,
                                          std::string_view length) const {
    for (const measurement_row* const row : rows_) {
      if (row->plan.policy == policy && row->plan.scenario == scenario &&
          row->plan.load == ScenarioLoad(scenario) &&
          row->length_class == length) {
        return row->ttft_p95_ms;
      }
    }
    return std::nullopt;
  }

  // Returns the lowest p95 among the policies from index `first` on. Index 0 is
  // `acaciaferry`; the baselines begin at 1.
  [[nodiscard]] std::optional<double> LowestP95(std::size_t first,
                                                scenario_kind scenario,
                                                std::string_view length) const {
    std::optional<double> lowest;
    for (std::size_t i = first; i < kPolicyCount; ++i) {
      const auto p95 = P95(static_cast<policy_kind>(i), scenario, length);
      if (p95 && (!lowest || *p95 < *lowest)) {
        lowest = p95;
      }
    }
    return lowest;
  }

  [[nodiscard]] std::optional<double> BestBaseline(
      std::string_view length) const {
    return LowestP95(1, scenario_kind::kMixed, length);
  }

  [[nodiscard]] std::string_view WeightedClass() const {
    return IsWorks() ? kShort : kLong;
  }

  [[nodiscard]] scenario_kind ReferenceScenario() const {
    return IsWorks() ? scenario_kind::kShortOnly : scenario_kind::kIdle;
  }

  void CheckTtftRatio(std::vector<bound_check>& out) const {
    const double limit = IsWorks() ? kMaxShortTtftRatio : kMaxLongTtftRatio;
    const auto mixed =
        P95(policy_kind::kAcaciaferry, scenario_kind::kMixed, WeightedClass());
    const auto reference =
        P95(policy_kind::kAcaciaferry, ReferenceScenario(), WeightedClass());
    const std::string name =
        Name("p95 TTFT of " + std::string(WeightedClass()) + " in mixed over " +
             std::string(ToString(ReferenceScenario())));
    out.push_back(
        mixed && reference
            ? MakeCheck(name, *mixed <= limit * *reference,
                        Format("%.1f ms / %.1f ms = %.2f, limit %.2f", *mixed,
                               *reference, *mixed / *reference, limit))
            : MakeNotMeasured(name));
  }

  void CheckAddedDelay(std::vector<bound_check>& out) const {
    const std::string name =
        Name("added delay of " + std::string(WeightedClass()) +
             " against half of the best baseline's");
    const auto actual =
        P95(policy_kind::kAcaciaferry, scenario_kind::kMixed, WeightedClass());
    const auto baseline = BestBaseline(WeightedClass());
    const auto lowest = LowestP95(0, ReferenceScenario(), WeightedClass());
    if (!actual || !baseline || !lowest) {
      out.push_back(MakeNotMeasured(name));
      return;
    }
    const double limit = kMaxAddedDelayShare * (*baseline - *lowest);
    out.push_back(
        MakeCheck(name, *actual - *lowest <= limit,
                  Format("added %.1f ms, best baseline adds %.1f ms, "
                         "limit %.1f ms",
                         *actual - *lowest, *baseline - *lowest, limit)));
  }

  void CheckOtherClass(std::vector<bound_check>& out) const {
    const std::string_view other = IsWorks() ? kLong : kShort;
    const std::string name = Name("p95 TTFT of " + std::string(other) +
                                  " in mixed against the best baseline's");
    const auto actual =
        P95(policy_kind::kAcaciaferry, scenario_kind::kMixed, other);
    const auto baseline = BestBaseline(other);
    out.push_back(
        actual && baseline
            ? MakeCheck(name, *actual <= *baseline,
                        Format("%.1f ms, limit %.1f ms", *actual, *baseline))
            : MakeNotMeasured(name));
  }

  void CheckCorrectness(std::vector<bound_check>& out) const {
    std::uint64_t late = 0;
    std::uint64_t duplicated = 0;
    std::uint64_t leaked = 0;
    bool measured = false;
    for (const measurement_row* const row : rows_) {
      if (row->plan.policy == policy_kind::kAcaciaferry) {
        measured = true;
        late += row->late;
        duplicated += row->duplicated;
        leaked = std::max(leaked, row->leaked_bytes);
      }
    }
    const std::string name =
        Name("late, duplicated and leaked_bytes are 0 in every scenario");
    out.push_back(
        measured ? MakeCheck(name, late + duplicated + leaked == 0,
                             Format("late %llu, duplicated %llu, leaked %llu",
                                    static_cast<unsigned long long>(late),
                                    static_cast<unsigned long long>(duplicated),
                                    static_cast<unsigned long long>(leaked)))
                 : MakeNotMeasured(name));
  }

  [[nodiscard]] std::optional<double> Goodput(
      policy_kind policy,
      scenario_kind scenario,
      double load,
      double measurement_row::*field) const {
    std::optional<double> sum;
    for (const measurement_row* const row : rows_) {
      if (row->plan.policy == policy && row->plan.scenario == scenario &&
          row->plan.load == load && row->length_class != kServiceCallClass) {
        sum = sum.value_or(0) + row->*field;
      }
    }
    return sum;
  }

  void CheckGoodput(std::vector<bound_check>& out) const {
    for (std::size_t i = 0; i < kScenarioCount; ++i) {
      const auto scenario = static_cast<scenario_kind>(i);
      if (scenario != scenario_kind::kIdle) {
        CheckGoodputIn(scenario, out);
      }
    }
  }

  void CheckGoodputIn(scenario_kind scenario,
                      std::vector<bound_check>& out) const {
    const std::string name =
        Name("goodput in " + std::string(ToString(scenario)) +
             " against the best baseline's");
    const double load = ScenarioLoad(scenario);
    const auto actual = Goodput(policy_kind::kAcaciaferry, scenario, load,
                                &measurement_row::goodput);
    std::optional<double> best;
    std::string_view best_name;
    for (std::size_t i = 1; i < kPolicyCount; ++i) {
      const auto policy = static_cast<policy_kind>(i);
      const auto value =
          Goodput(policy, scenario, load, &measurement_row::goodput);
      if (value && (!best || *value > *best)) {
        best = value;
        best_name = ToString(policy);
      }
    }
    if (!actual || !best) {
      out.push_back(MakeNotMeasured(name));
      return;
    }
    out.push_back(MakeCheck(name, *actual >= *best,
                            Format("%.3f requests/s, limit %.3f (%s)", *actual,
                                   *best, std::string(best_name).c_str())));
  }

  void CheckOverload(std::vector<bound_check>& out) const {
    double peak = 0;
    for (const measurement_row* const row : rows_) {
      if (row->plan.policy == policy_kind::kAcaciaferry &&
          CountsForPeak(row->plan.scenario)) {
        peak = std::max(peak, Goodput(row->plan.policy, row->plan.scenario,
                                      row->plan.load, &measurement_row::goodput)
                                  .value_or(0));
      }
    }
    for (const auto scenario :
         {scenario_kind::kOverloadX2, scenario_kind::kOverloadX5}) {
      const std::string name =
          Name("goodput in " + std::string(ToString(scenario)) +
               " against 90% of its peak");
      const auto actual =
          Goodput(policy_kind::kAcaciaferry, scenario, ScenarioLoad(scenario),
                  &measurement_row::goodput);
      out.push_back(
          actual ? MakeCheck(
                       name, *actual >= kMinOverloadGoodputShare * peak,
                       Format("%.3f requests/s, peak %.3f, limit %.3f", *actual,
                              peak, kMinOverloadGoodputShare * peak))
                 : MakeNotMeasured(name));
    }
  }

  [[nodiscard]] static bool CountsForPeak(scenario_kind kind) noexcept {
    return kind == scenario_kind::kMixed ||
           kind == scenario_kind::kOverloadX2 ||
           kind == scenario_kind::kOverloadX5;
  }

  deployment_kind deployment_;
  std::uint64_t seed_;
  std::vector<const measurement_row*> rows_;
};

}  // namespace internal

std::vector<bound_check> CheckBounds(std::span<const measurement_row> rows) {
  std::set<std::pair<deployment_kind, std::uint64_t>> runs;
  for (const measurement_row& row : rows) {
    runs.emplace(row.plan.deployment, row.plan.seed);
  }
  std::vector<bound_check> bounds;
  for (const auto& [deployment, seed] : runs) {
    internal::deployment_rows(rows, deployment, seed).Check(bounds);
  }
  return bounds;
}

std::string ToString(const bound_check& value) {
  constexpr std::array<std::string_view, 3> kVerdicts{"met", "NOT MET",
                                                      "not measured"};
  return std::string(kVerdicts[static_cast<std::size_t>(value.verdict)]) +
         ": " + value.name + ": " + value.figures;
}

}  // namespace acaciaferry
