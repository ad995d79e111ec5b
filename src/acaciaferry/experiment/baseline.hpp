#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "acaciaferry/core/random.hpp"
#include "acaciaferry/reducer/effect.hpp"
#include "acaciaferry/reducer/event.hpp"

namespace acaciaferry {

/** The policies that the benchmark compares. */
enum class policy_kind {
  kAcaciaferry,
  kRandom,
  kRoundRobin,
  kLeastOutstanding,
  kLeastTokens,
  kTwoChoices,
  kLeastTokensPriority,
};

inline constexpr std::size_t kPolicyCount = 7;

/** @return The policy's name in reports. */
[[nodiscard]] std::string_view ToString(policy_kind kind) noexcept;

/**
 * @brief An entry VM that runs a baseline policy.
 *
 * It knows the VM list, the configuration and its own dispatches. It
 * dispatches at once, ends each request at its deadline and repeats what is
 * safe to repeat on another target.
 */
struct baseline_state {
  struct request_record {
    acaciaferry::request request;
    workload work;
    time_point deadline{};
    attempt_id current_attempt;
    target_id target;
    std::string address;
    std::uint32_t attempts{};
    std::uint64_t delivered_bytes{};
    /** Whether the current attempt counts as outstanding. */
    bool dispatched{};
  };
  struct outstanding_load {
    std::uint64_t requests{};
    std::uint64_t tokens{};
  };

  policy_kind kind{policy_kind::kRandom};
  random_engine random;
  std::optional<deployment> config;
  std::vector<vm_entry> targets;
  std::unordered_map<target_id, outstanding_load> load_by_target;
  std::unordered_map<pool_id, std::size_t> next_by_pool;
  std::unordered_map<request_id, request_record> requests;
  std::set<std::pair<time_point, request_id>> deadlines;
};

/** @brief As `Reduce`, for a baseline policy. */
[[nodiscard]] effects ReduceBaseline(baseline_state& state,
                                     const event& event,
                                     time_point now);

/** @brief As `NextTimer`, for a baseline policy. */
[[nodiscard]] std::optional<time_point> NextBaselineTimer(
    const baseline_state& state);

}  // namespace acaciaferry
