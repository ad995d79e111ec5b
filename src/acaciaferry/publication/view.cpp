#include "acaciaferry/publication/view.hpp"

#include <xxhash.h>

#include <array>

namespace acaciaferry::publication {

std::uint64_t DigestOf(const view& documents) noexcept {
  std::uint64_t digest = 0;
  for (const auto& [key, value] : documents.items) {
    const std::array<std::uint64_t, 3> state{value.era, value.revision,
                                             value.missing ? 1U : 0U};
    digest ^= XXH3_64bits_withSeed(key.data(), key.size(),
                                   XXH3_64bits(state.data(), sizeof state));
  }
  return digest;
}

}  // namespace acaciaferry::publication
