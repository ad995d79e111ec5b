#include "acaciaferry/quarantine/request_crash.hpp"

#include <algorithm>

namespace acaciaferry {
namespace internal {
namespace {

// A target that has crashed needs longer to be back.
constexpr duration kOneCrash = std::chrono::seconds(1);
// A failed rack or switch takes its targets within this time.
constexpr duration kOneCause = std::chrono::milliseconds(300);
// A request is sent again at the moment of a crash, and times travel between
// VMs in whole milliseconds.
constexpr duration kSameMoment = std::chrono::milliseconds(5);
// Time in which all VMs that are in touch hear of a crash: the users' bound,
// contact_ms.
constexpr duration kAllHaveHeard = std::chrono::seconds(3);

// Several VMs lose their exchanges with the same target.
std::vector<request_crash> WithoutRepeats(std::vector<request_crash> crashes) {
  std::sort(crashes.begin(), crashes.end(),
            [](const request_crash& a, const request_crash& b) {
              return a.at < b.at;
            });
  std::vector<request_crash> distinct;
  for (const request_crash& each : crashes) {
    const bool is_known = std::any_of(
        distinct.begin(), distinct.end(), [&](const request_crash& known) {
          return known.target == each.target && each.at - known.at < kOneCrash;
        });
    if (!is_known) {
      distinct.push_back(each);
    }
  }
  return distinct;
}

}  // namespace
}  // namespace internal

crash_tally Tally(std::vector<request_crash> crashes, std::uint32_t unlisted) {
  const auto distinct = internal::WithoutRepeats(std::move(crashes));
  crash_tally tally;
  tally.halves = 2 * unlisted;
  const request_crash* wave = nullptr;
  for (const request_crash& each : distinct) {
    // A target that got the request after another one had gone shows that the
    // request, not a cause in common, takes targets down.
    const bool is_in_wave =
        wave != nullptr && each.at - wave->at < internal::kOneCause &&
        each.at - each.ran_for + internal::kSameMoment < wave->at;
    tally.halves += is_in_wave ? 1 : 2;
    if (!is_in_wave) {
      wave = &each;
    }
    if (tally.limit_reached_at) {
      tally.failed_tests +=
          each.at > *tally.limit_reached_at + internal::kAllHaveHeard ? 1 : 0;
    } else if (tally.halves >= 2 * kMaxRequestCrashes) {
      tally.limit_reached_at = each.at;
    }
  }
  return tally;
}

}  // namespace acaciaferry
