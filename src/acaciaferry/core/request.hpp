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
 * @brief Metadata of a request that admission and routing decide on. The
 * adapter that received the request keeps its body.
 */
struct request {
  request_id id;
  workspace_id workspace;
  request_kind kind{request_kind::kCompletion};
  pool_id pool;
  /** Estimated from the body's size; zero for service calls. */
  std::uint64_t prompt_tokens{};
  std::uint64_t max_output_tokens{};
  /** Chained hashes of the prompt's complete blocks, in prompt order. */
  std::vector<std::uint64_t> prefix_blocks;
  /** Hash over workspace, model and body. */
  std::uint64_t fingerprint{};
  /** HTTP method and path relative to the service; empty for completions. */
  std::string method;
  std::string path;
  /** As sent by the caller; empty when there is none. */
  std::string idempotency_key;
  /** The caller's timeout, when shorter than the workload's deadline. */
  std::optional<duration> timeout;
  /** Whether another VM forwarded the call to this one. */
  bool forwarded{};
};

}  // namespace acaciaferry
