#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "acaciaferry/core/name.hpp"
#include "acaciaferry/core/request.hpp"
#include "acaciaferry/core/time.hpp"
#include "acaciaferry/ini/document.hpp"

namespace acaciaferry {

/**
 * @brief A set of targets that serve one model or one plain service.
 */
struct pool {
  pool_id id;
  request_kind kind{request_kind::kCompletion};
  /** Whether its targets execute a call at most once per idempotency key. */
  bool deduplicates{};
  /** Whether its targets reject orders with an outdated fencing number. */
  bool checks_fencing{};
  /** KV cache capacity of one engine in tokens; zero for plain services. */
  std::uint64_t kv_capacity_tokens{};
  /** Models, with versions and adapters, that every engine must have loaded, in
   * the format of the engine's load report; empty for plain services. */
  std::vector<std::string> models;
};

/**
 * @brief A class of requests with a common deadline and priority.
 */
struct workload {
  workload_id id;
  pool_id pool;
  /** A completion belongs to the workload with the smallest limit that its
   * prompt fits. */
  std::uint64_t max_prompt_tokens{};
  std::uint64_t max_output_tokens{};
  /** A service call belongs to the workload with the longest matching path
   * prefix and a matching method (`*` matches any). */
  std::string method;
  std::string path_prefix;
  /** Time from the arrival of a request to the end of its answer. */
  duration deadline{};
  /** Priority at the engine, 0 (highest) to 9. */
  std::uint32_t priority{};
  bool idempotent{true};
  /** Largest number of requests of this workload queued on one VM. */
  std::uint64_t queue_limit{256};
};

/**
 * @brief A group of callers with a common bearer token, share and limit.
 */
struct workspace {
  workspace_id id;
  /** SHA-256 of its bearer token in lower-case hexadecimal. */
  std::string token_digest;
  /** Relative share of capacity when workspaces compete for it. */
  double weight{1};
  /** Fleet-wide limit in predicted tokens per second; zero for none. */
  double tokens_per_second{};
};

/**
 * @brief Policy parameters derived from the questionnaire answers.
 */
struct policy {
  /** Cost weight of the delay that long requests cause short ones, 0 to 10. */
  double short_weight{1};
  /** Cost weight of the delay of long requests, 0 to 10. */
  double long_weight{1};
  /** Minimum fraction of engines reserved for short prompts, 0 to 0.9. */
  double short_only_floor{};
  /** Retries as a fraction of successful requests, 0 to 1. */
  double retry_budget{0.1};
  /** Number of entry VMs; divides fleet-wide limits into static shares. */
  std::uint64_t entry_vms{1};
  /** Number of failure domains; divides fleet-wide limits into static shares.
   */
  std::uint64_t failure_domains{1};
  /** Limit on weight store reads per second, over the whole deployment. */
  double weight_store_rate{1};
};

/**
 * @brief The configuration of a whole deployment.
 */
struct deployment {
  std::string name;
  std::uint64_t revision{};
  std::vector<pool> pools;
  std::vector<workload> workloads;
  std::vector<workspace> workspaces;
  acaciaferry::policy policy;
};

/**
 * @brief Parses a deployment configuration.
 * @param text INI text of at most 1 MB.
 * @param revision The revision under which it was published.
 * @param faults Receives every fault; the result is usable when it is empty.
 * @return The deployment.
 */
[[nodiscard]] deployment ParseDeployment(std::string_view text,
                                         std::uint64_t revision,
                                         std::vector<setting_fault>& faults);

/** @return The pool with this id, or null. */
[[nodiscard]] const pool* FindPool(const deployment& value,
                                   const pool_id& id) noexcept;

/** @return The workspace with this id, or null. */
[[nodiscard]] const workspace* FindWorkspace(const deployment& value,
                                             const workspace_id& id) noexcept;

/**
 * @brief Finds the workload that a request belongs to.
 * @param value The deployment.
 * @param request The request.
 * @return The workload, or null when none matches.
 */
[[nodiscard]] const workload* FindWorkload(const deployment& value,
                                           const request& request) noexcept;

}  // namespace acaciaferry
