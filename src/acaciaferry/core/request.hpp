#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "acaciaferry/core/name.hpp"
#include "acaciaferry/core/request_id.hpp"
#include "acaciaferry/core/time.hpp"

namespace acaciaferry {

enum class request_kind { kCompletion, kServiceCall };

/**
 * @brief What the decisions know of a request; its body stays with the
 * adapter that received it.
 */
struct request {
  request_id id;
  workspace_id workspace;
  request_kind kind{request_kind::kCompletion};
  pool_id pool;
  /** Estimated from the body's size; zero for service calls. */
  std::uint64_t prompt_tokens{};
  std::uint64_t max_output_tokens{};
  /** Chained hashes of the prompt's whole blocks, first block first. */
  std::vector<std::uint64_t> prefix_blocks;
  /** Hash over workspace, model and body. */
  std::uint64_t fingerprint{};
  /** HTTP method and path below the service; empty for completions. */
  std::string method;
  std::string path;
  /** As presented by the caller; empty when there is none. */
  std::string idempotency_key;
  /** The caller's own limit, when shorter than the workload's. */
  std::optional<duration> timeout;
  /** Whether another VM forwarded the call to this one. */
  bool forwarded{};
};

}  // namespace acaciaferry
