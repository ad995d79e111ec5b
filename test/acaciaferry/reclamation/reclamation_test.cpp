#include "acaciaferry/reclamation/reclamation.hpp"

#include <string>
#include <vector>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace acaciaferry;
using namespace std::chrono_literals;

namespace {

vm_record EntryVm(const std::string& name, std::uint64_t incarnation) {
  return {.name = name, .role = vm_role::kEntry, .incarnation = incarnation};
}

holding HeldBy(const std::string& owner,
               std::uint64_t incarnation,
               duration remaining) {
  return {"h", holding_kind::kStream, {owner}, incarnation, remaining, 1'000};
}

}  // namespace

TEST_GROUP(Reclamation) {
  reclamation_state state;
  time_point now{};

  // Feeds the same VM list once a second for the period.
  void List(const std::vector<vm_record>& vms, std::chrono::seconds period) {
    for (const time_point end = now + period; now < end; now += 1s) {
      ObserveVmList(state, vms, 1s, now);
    }
  }
};

// Guards against memory that is never released because its owner died.
TEST(Reclamation, OwnerMissingFromTheListForLongIsGone) {
  List({EntryVm("a", 1)}, 3s);
  List({}, 31s);
  CHECK(FindReleaseReason(state, HeldBy("a", 1, 60s), now) ==
        release_reason::kOwnerGone);
}

// Guards against holdings of a VM's earlier incarnation that are only released
// at their deadline.
TEST(Reclamation, SupersededIncarnationIsReleased) {
  List({EntryVm("a", 2)}, 1s);
  CHECK(FindReleaseReason(state, HeldBy("a", 1, 60s), now) ==
        release_reason::kOwnerSuperseded);
  CHECK_FALSE(FindReleaseReason(state, HeldBy("a", 2, 60s), now).has_value());
  // The VM list may be outdated: a holding of a later incarnation is in use.
  CHECK_FALSE(FindReleaseReason(state, HeldBy("a", 3, 60s), now).has_value());
}

// Guards against the release of holdings in use while the platform is
// unreachable: without a fresh VM list no owner counts as gone.
TEST(Reclamation, StaleListReleasesNothingBeforeTheDeadline) {
  List({EntryVm("a", 1)}, 3s);
  List({}, 1s);
  now += 10min;
  CHECK_FALSE(FindReleaseReason(state, HeldBy("a", 1, 60s), now).has_value());
  // The absence starts again with the first list after the gap.
  ObserveVmList(state, std::vector<vm_record>{}, 1s, now);
  CHECK_FALSE(FindReleaseReason(state, HeldBy("a", 1, 60s), now).has_value());
}

// Guards against memory that is never released in a large fleet, where the VM
// list is read less often than every five seconds.
TEST(Reclamation, ListThatIsReadSeldomProvesAbsence) {
  const std::vector<vm_record> live{EntryVm("a", 1)};
  ObserveVmList(state, live, 175s, now);
  ObserveVmList(state, std::vector<vm_record>{}, 175s, now += 175s);
  // One list proves nothing about the time after it was read.
  now += 60s;
  CHECK_FALSE(FindReleaseReason(state, HeldBy("a", 1, 60s), now).has_value());
  ObserveVmList(state, std::vector<vm_record>{}, 175s, now += 115s);
  CHECK(FindReleaseReason(state, HeldBy("a", 1, 60s), now) ==
        release_reason::kOwnerGone);
}

// Guards against the release of holdings in use because a list that is read
// rarely counts as fresh forever: it is stale after three failed reads.
TEST(Reclamation, ListThatIsReadSeldomGetsStale) {
  ObserveVmList(state, std::vector<vm_record>{EntryVm("a", 1)}, 20s, now);
  for (int i = 0; i < 3; ++i) {
    ObserveVmList(state, std::vector<vm_record>{}, 20s, now += 20s);
  }
  now += 60s;
  CHECK(FindReleaseReason(state, HeldBy("a", 1, 60s), now) ==
        release_reason::kOwnerGone);
  now += 1s;
  CHECK_FALSE(FindReleaseReason(state, HeldBy("a", 1, 60s), now).has_value());
  // The absence starts again.
  ObserveVmList(state, std::vector<vm_record>{}, 20s, now);
  ObserveVmList(state, std::vector<vm_record>{}, 20s, now += 20s);
  CHECK_FALSE(FindReleaseReason(state, HeldBy("a", 1, 60s), now).has_value());
}

// Guards against the release of holdings of a VM that is too new for the VM
// list.
TEST(Reclamation, UnknownOwnerGetsTheFullAbsence) {
  List({EntryVm("a", 1)}, 60s);
  reclamation_effects out;
  const holdings_listed event{{"e1"}, {HeldBy("new", 9, 60s)}};
  OnHoldingsListed(state, event, "address", now, out);
  CHECK(out.empty());
  List({EntryVm("a", 1)}, 31s);
  OnHoldingsListed(state, event, "address", now, out);
  CHECK_EQUAL(1U, out.size());
}

// A holding must never be released while its owner is listed with that
// incarnation and its deadline has not passed, and must always be released
// after its deadline and the grace period.
TEST(Reclamation, LiveOwnersKeepTheirHoldings) {
  CHECK_TRUE(rc::check([] {
    reclamation_state state;
    time_point now{};
    const auto steps = *rc::gen::inRange(1, 80);
    bool is_listed = true;
    time_point last_listed{};
    for (int i = 0; i < steps; ++i) {
      now += std::chrono::milliseconds(*rc::gen::inRange(100, 9'000));
      is_listed = *rc::gen::inRange(0, 4) != 0;
      const std::vector<vm_record> live{EntryVm("a", 5)};
      ObserveVmList(state, is_listed ? live : std::vector<vm_record>{}, 1s,
                    now);
      last_listed = is_listed ? now : last_listed;
      const bool was_live = now - last_listed < kOwnerAbsenceTimeout;
      const duration remaining =
          std::chrono::milliseconds(*rc::gen::inRange(-30'000, 30'000));
      const auto reason =
          FindReleaseReason(state, HeldBy("a", 5, remaining), now);
      if (remaining <= -kHoldingGracePeriod) {
        RC_ASSERT(reason == release_reason::kDeadlinePassed);
      } else if (was_live) {
        RC_ASSERT(!reason.has_value());
      }
    }
  }));
}

// Guards against listing the holdings of every target on every call.
TEST(Reclamation, SweepsEachTargetOncePerInterval) {
  target engine;
  engine.id = {"e1"};
  const std::vector<const target*> assigned{&engine};
  reclamation_effects out;
  SweepTargets(state, assigned, now, out);
  SweepTargets(state, assigned, now + 1s, out);
  CHECK_EQUAL(1U, out.size());
  SweepTargets(state, assigned, now + kSweepInterval, out);
  CHECK_EQUAL(2U, out.size());
}
