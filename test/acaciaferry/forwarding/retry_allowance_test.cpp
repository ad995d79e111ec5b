#include "acaciaferry/forwarding/retry_allowance.hpp"

#include <CppUTest/TestHarness.h>

using namespace acaciaferry;
using namespace acaciaferry::forwarding;

namespace {

const pool_id kPool{"p"};

time_point At(int seconds) {
  return time_point(std::chrono::seconds(seconds));
}

int TakeAll(retry_allowance& allowance, std::uint64_t vm_count, int seconds) {
  int taken = 0;
  while (taken < 1'000 && allowance.TryTake(kPool, vm_count, At(seconds))) {
    ++taken;
  }
  return taken;
}

}  // namespace

TEST_GROUP(RetryAllowance){};

// Guards against VMs that together exceed the limit that they share.
TEST(RetryAllowance, AllSharesTogetherKeepTheLimit) {
  const retry_bound bound{0.2, std::chrono::seconds(10), 102};
  int spent = 0;
  for (int vm = 0; vm < 7; ++vm) {
    retry_allowance allowance(bound);
    for (int i = 0; i < 50; ++i) {
      allowance.CountRequest(kPool, At(0));
    }
    spent += TakeAll(allowance, 7, 0);
  }
  CHECK_TRUE(spent <= 0.2 * 350 + 102);
  CHECK_TRUE(spent > 0);
}

// Guards against retries that count forever.
TEST(RetryAllowance, WindowsSlide) {
  retry_allowance allowance({0.2, std::chrono::seconds(10), 10});
  const int first = TakeAll(allowance, 1, 0);
  LONGS_EQUAL(0, TakeAll(allowance, 1, 9));
  LONGS_EQUAL(first, TakeAll(allowance, 1, 10));
}
