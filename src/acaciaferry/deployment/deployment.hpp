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
 * @brief The targets of one model or one plain service.
 */
struct pool {
  pool_id id;
  request_kind kind{request_kind::kCompletion};
  /** Whether its targets execute one idempotency key at most once. */
  bool deduplicates{};
  /** Whether its targets refuse orders with an old fencing number. */
  bool checks_fencing{};
  /** KV memory of one engine in tokens; zero for plain services. */
  std::uint64_t kv_capacity_tokens{};
  /** Models, with their versions and adapters, that each engine must have
   * loaded, as its load report names them; empty for plain services. */
  std::vector<std::string> models;
};

/**
 * @brief A class of requests with its deadline and priority.
 */
struct workload {
  workload_id id;
  pool_id pool;
  /** Completions match by prompt length, the smallest limit first. */
  std::uint64_t max_prompt_tokens{};
  std::uint64_t max_output_tokens{};
  /** Service calls match by method (`*` is any) and longest path prefix. */
  std::string method;
  std::string path_prefix;
  /** From arrival to the end of the answer. */
  duration deadline{};
  /** Priority at the engine, 0 (first) to 9. */
  std::uint32_t priority{};
  bool idempotent{true};
  /** Requests of this workload that may wait on one VM. */
  std::uint64_t queue_limit{256};
};

/**
 * @brief A team of callers.
 */
struct workspace {
  workspace_id id;
  /** SHA-256 of its bearer token in lower-case hexadecimal. */
  std::string token_digest;
  /** Share relative to the other workspaces when they compete. */
  double weight{1};
  /** Fleet-wide limit in predicted tokens a second; zero for none. */
  double tokens_per_second{};
};

/**
 * @brief Weights and fractions that follow from the questionnaire answers.
 */
struct policy {
  /** Weight of the delay that short requests suffer from long ones, 0 to 10. */
  double short_weight{1};
  /** Weight of the delay that long requests suffer, 0 to 10. */
  double long_weight{1};
  /** Least share of engines that take no long prompts, 0 to 0.9. */
  double short_only_floor{};
  /** Retries as a fraction of successful requests, 0 to 1. */
  double retry_budget{0.1};
  /** Entry VMs of the deployment, for static shares. */
  std::uint64_t entry_vms{1};
  /** Failure domains of the deployment, for static shares. */
  std::uint64_t failure_domains{1};
  /** Weight store reads a second over the whole deployment. */
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

/** @return The pool of that id, or null. */
[[nodiscard]] const pool* FindPool(const deployment& value,
                                   const pool_id& id) noexcept;

/** @return The workspace of that id, or null. */
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
