#include "acaciaferry/routing/request_mix.hpp"

#include <algorithm>
#include <cmath>

namespace acaciaferry {
namespace internal {

constexpr double kHalfLifeSeconds = 60;
// The mix must pass the middle of the next step before the share follows.
constexpr double kStepsBeforeChange = 0.75;
// Standard deviations of the long prompts' load that their engines can take:
// 95 in 100 long prompts find one free.
constexpr double kDeviations = 1.65;

double MeasuredShare(double long_fraction, std::size_t engines) noexcept {
  const auto size = static_cast<double>(engines);
  const double mean = long_fraction * size;
  const double open = mean + kDeviations * std::sqrt(mean);
  return std::clamp(1 - open / std::max(1.0, size), 0.0, 1.0);
}

}  // namespace internal

void NoteRequest(request_mix& mix, double work, bool is_long, time_point now) {
  if (now > mix.updated_at) {
    const double keep = std::exp2(-ToSeconds(now - mix.updated_at) /
                                  internal::kHalfLifeSeconds);
    mix.short_work *= keep;
    mix.long_work *= keep;
    mix.updated_at = now;
  }
  (is_long ? mix.long_work : mix.short_work) += std::max(0.0, work);
}

double ShortOnlyShare(request_mix& mix, std::size_t engines, double floor) {
  const double total = mix.short_work + mix.long_work;
  // Without long prompts there is nothing to keep apart.
  if (total > 0 && mix.long_work > 0) {
    const double exact =
        internal::MeasuredShare(mix.long_work / total, engines) * kShareSteps;
    if (std::abs(exact - mix.step) > internal::kStepsBeforeChange) {
      mix.step = static_cast<unsigned>(exact);
    }
  }
  mix.share = std::max(floor, static_cast<double>(mix.step) / kShareSteps);
  return mix.share;
}

}  // namespace acaciaferry
