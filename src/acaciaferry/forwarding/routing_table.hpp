#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "acaciaferry/core/name.hpp"
#include "acaciaferry/core/time.hpp"

namespace acaciaferry::forwarding {

/**
 * @brief What may be retried: an idempotent call may run more than once, the
 * others at most once unless a stream can be resumed.
 */
enum class call_kind { kIdempotent, kNonIdempotent, kStreaming };

/** @return A static name of the kind. */
[[nodiscard]] std::string_view ToString(call_kind kind) noexcept;

/**
 * @brief Timing model and capacity of a model engine. An engine that decodes
 * works in passes of `steps_per_pass` steps; prompts are prefilled within these
 * steps, and events are sent at the end of a pass.
 */
struct engine_properties {
  std::uint32_t slots{};
  std::uint64_t memory_tokens{};
  std::uint32_t steps_per_pass{1};
  /** Base time of a step, to which decodes and their context add. */
  double step_ms{};
  double step_ms_per_decode{};
  /** Per 1,000 tokens of context of the decodes. */
  double step_ms_per_k_context{};
  double prefill_tokens_per_ms{};
  /** Attention time per million pairs of a token and an earlier one. */
  double prefill_ms_per_m_pairs{};
  /** Mean prompt length. */
  double mean_prompt_tokens{};
};

/**
 * @brief What the targets of a pool can take after a start.
 */
struct cold_start {
  /** Time that a target is cold, above 0. */
  duration period{};
  /** Requests a second that a cold target takes from all VMs together, above 0.
   */
  double requests_per_s{};
};

/**
 * @brief The targets that serve one model or one plain service.
 */
struct pool {
  pool_id name;
  /** Empty for a plain service. */
  std::optional<engine_properties> engine;
  /** Empty if cold targets take as much as others. */
  std::optional<cold_start> cold{};
};

struct weighted_pool {
  /** Index into the table's pools. */
  std::size_t pool{};
  std::uint32_t weight{};
};

struct route {
  std::string name;
  std::string host;
  /** Begins and ends with a slash. */
  std::string path_prefix;
  call_kind kind{call_kind::kNonIdempotent};
  duration timeout{};
  duration latency_objective{};
  /** Longest acceptable gap between two events of a stream; 0 for no limit. */
  duration gap_objective{};
  /** 0 is the highest. */
  std::uint32_t priority{};
  std::uint32_t max_attempts{1};
  bool is_public{};
  bool resumable{};
  std::vector<weighted_pool> pools;
};

struct workspace {
  workspace_id name;
  /** Overrides the priority of the route. */
  std::optional<std::uint32_t> priority;
};

/** @brief Limits on callers' requests. */
struct caller_limits {
  std::uint64_t head_bytes{16'384};
  std::uint64_t body_bytes{4'194'304};
  duration head_timeout{std::chrono::seconds(3)};
  duration idle_timeout{std::chrono::seconds(15)};
};

/**
 * @brief One version of the routes, pools, workspaces and limits.
 */
class routing_table {
 public:
  std::uint64_t version{};
  std::vector<pool> pools;
  caller_limits limits;
  /** Whether callers need a key on routes that are not public. */
  bool has_workspaces{};

  /** @brief Adds a route; a later one with the same host and prefix wins. */
  void Add(route added);
  /** @brief Adds a key of a workspace. */
  void AddKey(const std::string& key, const workspace& owner);

  /**
   * @brief Finds the route of a host with the longest prefix of the path.
   * @param host Without a port.
   * @param path Without a query.
   * @return The route, or null.
   */
  [[nodiscard]] const route* FindRoute(std::string_view host,
                                       std::string_view path) const;
  /** @return The workspace that a key belongs to, or null. */
  [[nodiscard]] const workspace* FindWorkspace(std::string_view key) const;

  [[nodiscard]] std::size_t RouteCount() const noexcept {
    return routes_.size();
  }

 private:
  /** Keyed by host, line feed and path prefix. */
  std::unordered_map<std::string, route> routes_;
  std::unordered_map<std::string, workspace> workspaces_by_key_;
};

}  // namespace acaciaferry::forwarding
