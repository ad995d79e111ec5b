#include "acaciaferry/routing/sample.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace acaciaferry {
namespace internal {

// Maximum number of random draws; a draw that hits an already sampled position
// is repeated.
constexpr std::size_t kMaxDraws = 8;

void DrawDistinct(target_sample& sample,
                  const std::vector<std::size_t>& list,
                  std::size_t count,
                  random_engine& random) {
  if (list.size() <= count) {
    for (const std::size_t position : list) {
      sample.Add(position);
    }
    return;
  }
  std::size_t added = 0;
  for (std::size_t draw = 0; draw < kMaxDraws && added < count; ++draw) {
    added += sample.Add(list[DrawBelow(random, list.size())]) ? 1 : 0;
  }
}

}  // namespace internal

bool target_sample::Add(std::size_t position) noexcept {
  const std::size_t* const end = positions.data() + size;
  if (size == positions.size() ||
      std::find(std::as_const(positions).data(), end, position) != end) {
    return false;
  }
  positions[size++] = position;
  return true;
}

void SampleMembers(target_sample& sample,
                   const pool_members& members,
                   bool is_long,
                   random_engine& random) {
  using internal::DrawDistinct;
  if (is_long) {
    DrawDistinct(sample, members.other_unrestricted, 1, random);
    DrawDistinct(sample, members.own_unrestricted, kSampledTargets, random);
    DrawDistinct(sample, members.other_unrestricted, kSampledTargets, random);
    return;
  }
  DrawDistinct(sample,
               members.other_short_only.empty() ? members.other_unrestricted
                                                : members.other_short_only,
               1, random);
  DrawDistinct(sample, members.own_short_only, 2, random);
  DrawDistinct(sample, members.own_unrestricted, kSampledTargets, random);
  DrawDistinct(sample, members.own_short_only, kSampledTargets, random);
  DrawDistinct(sample, members.other_short_only, kSampledTargets, random);
  DrawDistinct(sample, members.other_unrestricted, kSampledTargets, random);
}

}  // namespace acaciaferry
