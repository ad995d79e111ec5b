#pragma once

#include <string>
#include <vector>

#include "acaciaferry/routing/routing.hpp"

namespace acaciaferry::test {

/**
 * @brief Engines of pool `m` in three failure domains, and one VM in `d0`.
 */
struct fleet {
  targets_state targets;
  cost_state costs;
  policy weights;
  routing_state routing;
  failure_domain_id domain{"d0"};
  workload work{.id = {"w"}, .max_output_tokens = 100};
  time_point now{std::chrono::hours(1)};
  random_engine random{7};

  explicit fleet(std::size_t size) {
    std::vector<vm_record> entries;
    for (std::size_t i = 0; i < size; ++i) {
      entries.push_back({.name = Name(i),
                         .failure_domain = {"d" + std::to_string(i % 3)},
                         .role = vm_role::kEngine,
                         .pool = {"m"},
                         .incarnation = 1});
    }
    ApplyVmList(targets, entries);
    RebuildPoolIndex(routing, targets, domain);
  }

  static std::string Name(std::size_t i) { return "e" + std::to_string(i); }

  void Report(std::size_t engine, std::uint64_t queued) {
    load_report report{.target = {Name(engine)},
                       .incarnation = 1,
                       .sequence = ++sequence,
                       .running = 1,
                       .queued_prefill_tokens = queued,
                       .kv_used_tokens = queued,
                       .kv_capacity_tokens = 10'000'000,
                       .prefill_tokens_per_s = 10'000,
                       .decode_ms_per_token = 30};
    report.waiting = queued / 4'096 + 1;
    (void)ApplyLoadReport(targets, report, now);
  }

  [[nodiscard]] routing_context View() const {
    return {targets, costs, weights, domain, now};
  }

  [[nodiscard]] std::optional<routing_choice> Choose(
      std::uint64_t prompt_tokens,
      const cached_prefix& cached = {},
      std::span<const target_id> excluded = {}) {
    request asked;
    asked.pool = {"m"};
    asked.prompt_tokens = prompt_tokens;
    return ChooseTarget(routing, {asked, work, excluded, cached}, View(),
                        random);
  }

  std::uint64_t sequence{};
};

}  // namespace acaciaferry::test
