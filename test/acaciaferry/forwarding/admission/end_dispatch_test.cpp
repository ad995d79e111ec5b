#include <limits>
#include <variant>
#include <vector>

#include "forwarding/single_vm.hpp"

#include <CppUTest/TestHarness.h>

using namespace acaciaferry;
using namespace acaciaferry::forwarding;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t kAskerIncarnation = 5;

// A VM that places the calls of another one.
struct planning_vm : single_vm {
  void Ask() { Post(placement_asked{"10.0.0.9:1", query}); }

  [[nodiscard]] placement_verdict Verdict() const {
    return All<answer_query>().front().answer.verdict;
  }

  // Places a call, which holds a slot then.
  void Place() {
    Ask();
    CHECK_TRUE(std::holds_alternative<placed_call>(Verdict()));
    LONGS_EQUAL(1, Held());
  }

  [[nodiscard]] std::uint32_t Held() const {
    return current.admission.HeldByPlaced(kModel).all;
  }

  // Lets dispatches of a third VM hold all slots.
  void FillSlots() {
    peer_load_update update;
    dispatch_id key = dispatch_id{99} << 32U;
    for (const target& each : published) {
      for (std::uint32_t slot = 0; slot < each.slots; ++slot) {
        job held;
        held.key = ++key;
        held.target = each.id;
        held.is_decode = true;
        held.weight = 1;
        held.deadline = At(60'000);
        update.jobs.push_back(held);
      }
    }
    Post(update);
  }

  static placement_query Query() {
    placement_query made;
    made.key = ProcessPrefix(kAskerIncarnation) << 32U | 1U;
    made.pool = kModel;
    made.prompt_tokens = 5'000;
    made.output_tokens = 1'000;
    made.latency_objective = milliseconds(300);
    made.gap_objective = milliseconds(250);
    made.time_left = seconds(9);
    made.is_first_attempt = true;
    return made;
  }

  placement_query query{Query()};
};

}  // namespace

TEST_GROUP(EndDispatch){};

// Guards against a slot that counts as held after the end of its dispatch,
// since the ledger doesn't know the slots of a target that is gone.
TEST(EndDispatch, EndAtALostTargetFreesTheSlot) {
  planning_vm vm;
  vm.Place();
  vm.Post(targets_published{{vm.published.front()}});
  CHECK_FALSE(vm.current.ledger.SlotOf(vm.query.key).has_value());
  vm.Post(peer_load_update{{}, {vm.query.key}, {}});
  LONGS_EQUAL(0, vm.Held());
}

// Guards against slots that count as held by the calls of a lost process.
TEST(EndDispatch, LostProcessFreesItsSlots) {
  planning_vm vm;
  vm.Place();
  vm.Post(peer_lost{kAskerIncarnation + 1});
  LONGS_EQUAL(1, vm.Held());
  vm.Post(peer_lost{kAskerIncarnation});
  LONGS_EQUAL(0, vm.Held());
}

// Guards against slots that count as held by dispatches whose end was lost,
// though their VM has said that it isn't running them.
TEST(EndDispatch, DispatchesThatAreNotLiveFreeTheirSlots) {
  planning_vm vm;
  vm.Place();
  vm.PostAt(300, peer_live_dispatches{kAskerIncarnation, {vm.query.key}});
  LONGS_EQUAL(1, vm.Held());
  vm.PostAt(300, peer_live_dispatches{kAskerIncarnation, {}});
  LONGS_EQUAL(0, vm.Held());
}

// Guards against a slot that is held for longer than its dispatch is in the
// ledger, which ends it 2 s after its deadline.
TEST(EndDispatch, OverdueDispatchesFreeTheirSlotsWithTheLedger) {
  planning_vm vm;
  vm.Place();
  vm.PostAt(11'500, timer_fired{});
  LONGS_EQUAL(0, vm.current.ledger.JobCount());
  LONGS_EQUAL(0, vm.Held());
}

// Guards against a call that holds a slot after its repeated query was refused.
TEST(EndDispatch, RepeatedQueryThatIsNotPlacedFreesTheSlot) {
  planning_vm vm;
  vm.Place();
  vm.FillSlots();
  vm.query.waited = milliseconds(290);
  vm.Ask();
  CHECK_TRUE(std::holds_alternative<refused_call>(vm.Verdict()));
  LONGS_EQUAL(0, vm.Held());
}

// Guards against an overflow by the stated length of an answer: a call that
// states the greatest number is refused as one with a very long answer.
TEST(EndDispatch, StatedOutputTokensAreBounded) {
  planning_vm vm;
  vm.FillSlots();
  vm.query.output_tokens = std::numeric_limits<std::uint64_t>::max();
  vm.Ask();
  const placement_verdict verdict = vm.Verdict();
  const auto* refused = std::get_if<refused_call>(&verdict);
  CHECK_TRUE(refused != nullptr);
  // The longest one, a third of the time that is left.
  CHECK_TRUE(refused->retry_after == seconds(3));
}
