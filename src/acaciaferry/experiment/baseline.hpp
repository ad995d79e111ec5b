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
 * @brief The state of an entry VM that runs a baseline policy.
 *
 * The policy sees the VM list, the configuration and the dispatches of this VM
 * only. It dispatches each request at once, fails it at its deadline, and
 * retries it on another target when that is safe.
 */
struct baseline_state {
  /** A request in progress. */
  struct request_record {
    acaciaferry::request request;
    workload work;
    time_point deadline{};
    attempt_id current_attempt;
    target_id target;
    std::string address;
    std::uint32_t attempts{};
    std::uint64_t delivered_bytes{};
    /** Whether the current attempt counts in `load_by_target`. */
    bool dispatched{};
  };
  /** What this VM has dispatched to a target and not yet seen end. */
  struct outstanding_load {
    std::uint64_t requests{};
    std::uint64_t tokens{};
  };

  policy_kind kind{policy_kind::kRandom};
  random_engine random;
  std::optional<deployment> config;
  std::vector<vm_record> targets;
  std::unordered_map<target_id, outstanding_load> load_by_target;
  /** Round-robin counter of each pool. */
  std::unordered_map<pool_id, std::size_t> next_by_pool;
  std::unordered_map<request_id, request_record> requests;
  std::set<std::pair<time_point, request_id>> deadlines;
};

/** @brief The counterpart of `Reduce` for a baseline policy. */
[[nodiscard]] effects ReduceBaseline(baseline_state& state,
                                     const event& event,
                                     time_point now);

/** @brief The counterpart of `NextTimer` for a baseline policy. */
[[nodiscard]] std::optional<time_point> NextBaselineTimer(
    const baseline_state& state);

}  // namespace acaciaferry
