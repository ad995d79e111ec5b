#include "acaciaferry/routing/request_mix.hpp"

#include <algorithm>
#include <cmath>

namespace acaciaferry {
namespace internal {

constexpr double kMixHalfLifeSeconds = 60;
// The mix must differ from the current step by more than this fraction of a
// step before the share changes.
constexpr double kStepHysteresis = 0.75;

}  // namespace internal

void AddToMix(request_mix& mix, double work, bool is_long, time_point now) {
  if (now > mix.updated_at) {
    const double keep = std::exp2(-ToSeconds(now - mix.updated_at) /
                                  internal::kMixHalfLifeSeconds);
    mix.short_work *= keep;
    mix.long_work *= keep;
    mix.updated_at = now;
  }
  (is_long ? mix.long_work : mix.short_work) += std::max(0.0, work);
}

double UpdateShortOnlyShare(request_mix& mix, double floor) {
  const double total = mix.short_work + mix.long_work;
  // Without long prompts, short ones need no engines of their own.
  if (total > 0 && mix.long_work > 0) {
    const double exact = mix.short_work / total * kShareSteps;
    if (std::abs(exact - mix.step) > internal::kStepHysteresis) {
      mix.step = static_cast<unsigned>(exact);
    }
  }
  mix.share = std::max(floor, static_cast<double>(mix.step) / kShareSteps);
  return mix.share;
}

}  // namespace acaciaferry
