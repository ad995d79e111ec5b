#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "acaciaferry/core/time.hpp"
#include "options.hpp"

namespace acaciaferry::load {

enum class request_type { kCompletion, kChat, kReadingCall, kMutatingCall };

/** @brief One request of the load, fixed before it starts. */
struct planned_request {
  std::uint64_t number{};
  /** Time of sending, from the start of the load. */
  duration at{};
  request_type type{request_type::kCompletion};
  /** Position of the first entry VM in the list. */
  std::size_t entry{};
  std::uint64_t prompt_tokens{};
  std::uint64_t prompt_offset{};
  std::uint64_t output_tokens{};
  bool streamed{true};
  duration timeout{};
};

/**
 * @brief Draws the load: Poisson arrivals, 1 prompt in 50 over 100k tokens.
 * @param options Rate, bounds and seed.
 * @return The requests in order of time; the same for the same options.
 */
[[nodiscard]] std::vector<planned_request> MakePlan(const options& options);

}  // namespace acaciaferry::load
