#pragma once

#include <array>
#include <cstddef>
#include <span>

#include "acaciaferry/core/random.hpp"
#include "acaciaferry/routing/pool_index.hpp"

namespace acaciaferry {

inline constexpr std::size_t kSampledTargets = 4;

/**
 * @brief At most kSampledTargets distinct indices into the target table.
 */
struct target_sample {
  std::array<std::size_t, kSampledTargets> positions{};
  std::size_t size{};

  /** @return Whether the index was added: false for a duplicate or a full
   * sample. */
  bool Add(std::size_t position) noexcept;
  [[nodiscard]] std::span<const std::size_t> View() const noexcept {
    return {positions.data(), size};
  }
};

/**
 * @brief Samples a pool's members for a request.
 *
 * Most of the sample comes from this VM's failure domain; one target comes from
 * another, so that load can move out of an overloaded failure domain. For short
 * prompts, short-only members come first.
 *
 * @param sample The sample to fill; may already hold targets.
 * @param members The pool.
 * @param is_long Whether to sample only members that accept long prompts.
 * @param random Source of the sample.
 */
void SampleMembers(target_sample& sample,
                   const pool_members& members,
                   bool is_long,
                   random_engine& random);

}  // namespace acaciaferry
