#include "acaciaferry/routing/routing.hpp"

#include <algorithm>
#include <map>
#include <set>

#include <rapidcheck.h>

#include "acaciaferry/routing/fleet.hpp"
#include "acaciaferry/routing/load_estimate.hpp"

#include <CppUTest/TestHarness.h>

using namespace acaciaferry;
using acaciaferry::test::fleet;

namespace {

constexpr std::uint64_t kShort = 2'000;
constexpr std::uint64_t kLong = 200'000;

// Routes `count` requests, records each dispatch and counts them by target.
std::map<target_id, int> Send(fleet& fleet, int count, std::uint64_t tokens) {
  std::map<target_id, int> sent;
  for (int i = 0; i < count; ++i) {
    const auto choice = fleet.Choose(tokens);
    ++sent[choice->target];
    RecordDispatch(fleet.routing, {{1, static_cast<std::uint64_t>(i)}, 1},
                   *choice, tokens == kLong, fleet.now);
  }
  return sent;
}

}  // namespace

TEST_GROUP(Routing){};

// Guards against sending every request to the target whose outdated report
// shows the least load.
TEST(Routing, CountsDispatchesThatNoReportShows) {
  fleet fleet(3);
  fleet.domain = {"elsewhere"};
  RebuildPoolIndex(fleet.routing, fleet.targets, fleet.domain);
  fleet.Report(0, 0);
  fleet.Report(1, 4'000);
  fleet.Report(2, 4'000);
  const auto sent = Send(fleet, 30, kShort);
  for (const auto& [id, count] : sent) {
    CHECK_TRUE(count >= 9 && count <= 12);
  }
}

// Guards against herding: VMs with the same reports that all choose the same,
// least loaded target.
TEST(Routing, VmsWithTheSameReportsSpread) {
  std::map<target_id, int> first_choices;
  for (std::uint64_t vm = 0; vm < 300; ++vm) {
    fleet fleet(150);
    fleet.random.seed(vm);
    for (std::size_t i = 0; i < 150; ++i) {
      fleet.Report(i, 100 * i);
    }
    ++first_choices[fleet.Choose(kShort)->target];
  }
  for (const auto& [id, count] : first_choices) {
    CHECK_TRUE(count <= 60);
  }
}

// Guards against long prompts on short-only engines, and against requests on
// excluded targets.
TEST(Routing, ChoicesRespectTheSharesAndExclusions) {
  CHECK_TRUE(rc::check([](std::uint8_t raw_size, std::uint8_t raw_floor) {
    const std::size_t size = raw_size % 40 + 1;
    fleet fleet(size);
    fleet.weights.short_only_floor = raw_floor % 91 / 100.0;
    request asked;
    asked.pool = {"m"};
    asked.prompt_tokens = kLong;
    UpdateRequestMix(fleet.routing, fleet.View(), asked, {100'000, 0, 0});
    asked.prompt_tokens = kShort;
    UpdateRequestMix(fleet.routing, fleet.View(), asked, {50'000, 0, 0});
    const pool_members& members = fleet.routing.index.pools.at({"m"});
    const double floor = fleet.weights.short_only_floor;
    RC_ASSERT(members.short_only >=
              std::min(size - 1, static_cast<std::size_t>(
                                     std::ceil(floor * double(size)))));
    std::set<target_id> short_only;
    for (std::size_t i = 0; i < members.short_only; ++i) {
      short_only.insert(fleet.targets.targets[members.short_only_order[i]].id);
    }
    std::vector<target_id> excluded;
    for (std::size_t i = 0; i < size; ++i) {
      const auto choice =
          fleet.Choose(i % 2 == 0 ? kLong : kShort, {}, excluded);
      RC_ASSERT(choice.has_value());
      RC_ASSERT(std::count(excluded.begin(), excluded.end(), choice->target) ==
                0);
      RC_ASSERT(excluded.size() > 0 || !short_only.contains(choice->target));
      excluded.push_back(choice->target);
    }
    RC_ASSERT(!fleet.Choose(kShort, {}, excluded).has_value());
  }));
}

// Guards against VMs that disagree about which engines are short-only: when
// their mixes differ, one set must contain the other.
TEST(Routing, ShortOnlySetsOfDifferentVmsAreNested) {
  CHECK_TRUE(rc::check([](std::uint8_t a, std::uint8_t b) {
    std::vector<std::size_t> sets[2];
    const double shares[2] = {a / 255.0, b / 255.0};
    const char* const domains[2] = {"d0", "d2"};
    for (int vm = 0; vm < 2; ++vm) {
      const fleet fleet(33);
      pool_index index = BuildPoolIndex(fleet.targets, {domains[vm]});
      pool_members& members = index.pools.at({"m"});
      SetShortOnlyShare(members, fleet.targets, {domains[vm]}, shares[vm]);
      sets[vm].assign(members.short_only_order.begin(),
                      members.short_only_order.begin() +
                          static_cast<std::ptrdiff_t>(members.short_only));
      std::sort(sets[vm].begin(), sets[vm].end());
    }
    const int larger = sets[0].size() >= sets[1].size() ? 0 : 1;
    RC_ASSERT(std::includes(sets[larger].begin(), sets[larger].end(),
                            sets[1 - larger].begin(), sets[1 - larger].end()));
  }));
}

// Guards against routing to another failure domain for a small gain, and
// against staying in the own one when it is overloaded.
TEST(Routing, LeavesTheOwnDomainOnlyWhenClearlyBetter) {
  fleet fleet(9);
  for (std::size_t i = 0; i < 9; ++i) {
    fleet.Report(i, i % 3 == 0 ? 300 : 0);
  }
  const auto near = fleet.Choose(kShort);
  CHECK_EQUAL(std::string("d0"),
              FindTarget(fleet.targets, near->target)->failure_domain.value);
  for (std::size_t i = 0; i < 9; ++i) {
    fleet.Report(i, i % 3 == 0 ? 50'000 : 0);
  }
  const auto far = fleet.Choose(kShort);
  CHECK_TRUE(FindTarget(fleet.targets, far->target)->failure_domain !=
             fleet.domain);
}

// Guards against a cached prefix that attracts requests to an overloaded
// target.
TEST(Routing, AffinityYieldsToAClearDifferenceInLoad) {
  fleet fleet(3);
  fleet.domain = {"elsewhere"};
  RebuildPoolIndex(fleet.routing, fleet.targets, fleet.domain);
  const cached_prefix cached{
      [](const target_id& id) { return id.value == "e0" ? 30'000.0 : 0.0; },
      target_id{"e0"}};
  for (const std::uint64_t queued : {0U, 2'000U}) {
    fleet.Report(0, queued);
    CHECK_EQUAL(std::string("e0"), fleet.Choose(30'000, cached)->target.value);
  }
  fleet.Report(1, 0);
  fleet.Report(0, 6'000);
  CHECK_TRUE(fleet.Choose(30'000, cached)->target.value != "e0");
}

// Guards against negative estimates when the clock steps back or when reports
// and dispatches contradict each other.
TEST(Routing, LoadEstimateIsNeverNegative) {
  CHECK_TRUE(rc::check(
      [](const std::vector<std::tuple<std::int16_t, std::uint16_t, bool, bool>>&
             sent,
         std::uint32_t queued, std::int16_t age_ms) {
        fleet fleet(1);
        fleet.Report(0, queued);
        const target& engine = fleet.targets.targets[0];
        std::vector<dispatch> own;
        for (const auto& [at_ms, tokens, is_long, answered] : sent) {
          dispatch each{
              .started_at = fleet.now + std::chrono::milliseconds(at_ms),
              .prefill_tokens = double{1} * tokens,
              .is_long = is_long};
          each.last_chunk_at = answered ? fleet.now : time_point{};
          own.push_back(each);
        }
        const load_estimate load =
            EstimateLoad(engine, own, EstimateRates(fleet.costs, engine),
                         fleet.now + std::chrono::milliseconds(age_ms));
        RC_ASSERT(load.short_prefill_tokens >= 0 &&
                  load.long_prefill_tokens >= 0);
        RC_ASSERT(load.kv_used >= 0 && load.running >= 0);
        RC_ASSERT(load.overdue >= duration::zero());
      }));
}

// Guards against a target that answers nothing, reports that it is idle and so
// attracts all requests.
TEST(Routing, AvoidsATargetThatDoesNotAnswer) {
  fleet fleet(2);
  fleet.domain = {"elsewhere"};
  RebuildPoolIndex(fleet.routing, fleet.targets, fleet.domain);
  fleet.Report(0, 0);
  fleet.Report(1, 3'000);
  RecordDispatch(fleet.routing, {{1, 1}, 1}, *fleet.Choose(kShort), false,
                 fleet.now);
  fleet.now += std::chrono::seconds(3);
  fleet.Report(0, 0);
  fleet.Report(1, 3'000);
  CHECK_EQUAL(std::string("e1"), fleet.Choose(kShort)->target.value);
}

// Guards against a measured share that takes engines from long prompts although
// they weigh more: then only the configured floor is short-only.
TEST(Routing, OnlyTheFloorIsShortOnlyWhereLongPromptsWeighMore) {
  for (const bool prefers_long : {false, true}) {
    fleet fleet(20);
    fleet.weights.short_only_floor = 0.1;
    fleet.weights.long_weight = prefers_long ? 3 : 1;
    request asked;
    asked.pool = {"m"};
    asked.prompt_tokens = 100'000;
    UpdateRequestMix(fleet.routing, fleet.View(), asked, {100'000, 0, 0});
    asked.prompt_tokens = 1'000;
    UpdateRequestMix(fleet.routing, fleet.View(), asked, {100'000, 0, 0});
    CHECK_EQUAL(prefers_long ? 2U : 10U,
                fleet.routing.index.pools.at({"m"}).short_only);
  }
}
