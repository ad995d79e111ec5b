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
 * @brief What may be repeated: an idempotent call may run more than once, the
 * others at most once unless a stream can be resumed.
 */
enum class call_kind { kIdempotent, kNonIdempotent, kStreaming };

/** @return A static name of the kind. */
[[nodiscard]] std::string_view ToString(call_kind kind) noexcept;

/**
 * @brief How a model engine spends its time. An engine with writers works in
 * passes of `steps_per_pass` steps; prompts are read inside these steps.
 */
struct engine_properties {
  std::uint32_t slots{};
  std::uint64_t memory_tokens{};
  std::uint32_t steps_per_pass{1};
  double step_ms{};
  double step_ms_per_decode{};
  double step_ms_per_k_context{};
  double prefill_tokens_per_ms{};
  /** Per million pairs of a token and an earlier one. */
  double prefill_ms_per_m_pairs{};
  /** Mean number of tokens of a prompt. */
  double mean_prompt_tokens{};
};

/**
 * @brief The targets that serve one model or one plain service.
 */
struct pool {
  pool_id name;
  /** Nothing for a plain service. */
  std::optional<engine_properties> engine;
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
  /** Longest pause between two events of a stream that is still on time. */
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
  /** Takes precedence over the route's when set. */
  std::optional<std::uint32_t> priority;
};

/** @brief Bounds on what a caller may send. */
struct caller_limits {
  std::uint64_t head_bytes{16'384};
  std::uint64_t body_bytes{4'194'304};
  duration head_timeout{std::chrono::seconds(3)};
  duration idle_timeout{std::chrono::seconds(15)};
};

/**
 * @brief One accepted version of routes, pools, workspaces and limits.
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
   * @brief Finds the route of a host whose prefix is the longest that begins
   * the path.
   * @param host Without a port.
   * @param path Without a query.
   * @return The route, or null.
   */
  [[nodiscard]] const route* FindRoute(std::string_view host,
                                       std::string_view path) const;
  /** @return The workspace that holds a key, or null. */
  [[nodiscard]] const workspace* FindWorkspace(std::string_view key) const;

  [[nodiscard]] std::size_t RouteCount() const noexcept {
    return routes_.size();
  }

 private:
  /** By host, line feed and prefix. */
  std::unordered_map<std::string, route> routes_;
  std::unordered_map<std::string, workspace> owners_;
};

}  // namespace acaciaferry::forwarding
