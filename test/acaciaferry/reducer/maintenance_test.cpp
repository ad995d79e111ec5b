#include "acaciaferry/reducer/maintenance.hpp"

#include <variant>
#include <vector>

#include "acaciaferry/reducer/reduce.hpp"

#include <CppUTest/TestHarness.h>

using namespace acaciaferry;
using namespace std::chrono_literals;

TEST_GROUP(Maintenance) {
  state value;
  time_point now{1h};

  void setup() override {
    value.self = {{"vm1"}, {"a"}, {}, 7};
  }

  // Reads the same list of VMs once a second for the given period.
  void ReadList(const std::vector<vm_record>& vms,
                std::chrono::seconds period) {
    for (const time_point end = now + period; now < end; now += 1s) {
      static_cast<void>(Reduce(value, vm_list_received{vms}, now));
    }
  }

  std::size_t ReleasesOf(const vm_id& owner, std::uint64_t incarnation) {
    const holding held{"h", holding_kind::kStream, owner, incarnation, 60s, 10};
    const effects out = Reduce(value, holdings_listed{{"e1"}, {held}}, now);
    std::size_t releases = 0;
    for (const effect& each : out) {
      releases += std::holds_alternative<release_holding>(each) ? 1 : 0;
    }
    return releases;
  }
};

// Guards against a VM that releases its own running streams because the list of
// VMs does not contain it.
TEST(Maintenance, OwnHoldingsAreNotReleased) {
  const std::vector<vm_record> list{{.name = "e1",
                                     .address = "e1",
                                     .failure_domain = {"a"},
                                     .role = vm_role::kEngine}};
  ReadList(list, 60s);
  CHECK_EQUAL(0U, ReleasesOf({"vm1"}, 7));
  CHECK_EQUAL(1U, ReleasesOf({"vm1"}, 6));
}
