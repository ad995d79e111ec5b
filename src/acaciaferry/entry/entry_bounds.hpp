#pragma once

#include <cstddef>

#include "acaciaferry/entry/entry_settings.hpp"

namespace acaciaferry::entry::internal {

// Of all answers that have arrived and were not passed on, a fifth of the
// memory of the smallest VM. Buffers that grow take up to twice of it.
constexpr std::size_t kMaxAnswerMemory = 32U << 20U;

// A tunnel takes two descriptors, so all tunnels take a quarter.
constexpr std::size_t kTunnelDescriptorPart = 8;

[[nodiscard]] std::size_t RequestMemory(const entry_settings& settings);

[[nodiscard]] std::size_t DescriptorLimit(const entry_settings& settings);

}  // namespace acaciaferry::entry::internal
