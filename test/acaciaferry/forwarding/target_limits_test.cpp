#include "acaciaferry/forwarding/limited_fleet.hpp"

#include <CppUTest/TestHarness.h>

using namespace acaciaferry;
using namespace acaciaferry::forwarding;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// The users' rule: from 3 s after a target first named its limit, at most one
// and a half times what it allows, and 5 requests, in any 4 s.
constexpr duration kNoticeTime = seconds(3);
constexpr duration kWindow = seconds(4);

std::size_t Allowed(double requests_per_s) {
  return static_cast<std::size_t>(1.5 * requests_per_s * ToSeconds(kWindow) +
                                  5);
}

}  // namespace

TEST_GROUP(TargetLimits){};

// Guards against a target that gets more than it takes from all VMs together.
TEST(TargetLimits, AllVmsTogetherKeepTheLimitOfATarget) {
  for (const std::size_t vms : {7U, 81U}) {
    limited_fleet fleet(vms, 4, false);
    fleet.Run(seconds(2), milliseconds(10), 0);
    fleet.SetLimit(0, 1.0);
    const time_point named_at = fleet.Now();
    fleet.Run(seconds(20), milliseconds(10), 0);
    CHECK_COMPARE(fleet.MostArrivals(0, named_at + kNoticeTime, kWindow), <=,
                  Allowed(1.0));
  }
}
