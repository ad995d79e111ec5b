#pragma once

#include <array>
#include <cstddef>
#include <span>

#include "acaciaferry/core/random.hpp"
#include "acaciaferry/routing/pool_index.hpp"

namespace acaciaferry {

inline constexpr std::size_t kSampledTargets = 4;

/**
 * @brief Positions in the target table, at most kSampledTargets, all distinct.
 */
struct target_sample {
  std::array<std::size_t, kSampledTargets> positions{};
  std::size_t size{};

  /** @return Whether the position was new and there was room for it. */
  bool Add(std::size_t position) noexcept;
  [[nodiscard]] std::span<const std::size_t> View() const noexcept {
    return {positions.data(), size};
  }
};

/**
 * @brief Samples a pool's members for a request.
 *
 * Most of the sample is of the VM's own failure domain; one is of another, so
 * that an overloaded failure domain can be left. For short prompts, short-only
 * members come first.
 *
 * @param sample Is filled up; may already hold some.
 * @param members The pool.
 * @param is_long Whether only members that take long prompts are wanted.
 * @param random Source of the sample.
 */
void SampleMembers(target_sample& sample,
                   const pool_members& members,
                   bool is_long,
                   random_engine& random);

}  // namespace acaciaferry
