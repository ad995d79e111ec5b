#include "acaciaferry/forwarding/target_table.hpp"

#include <CppUTest/TestHarness.h>

using namespace acaciaferry;
using namespace acaciaferry::forwarding;
using std::chrono::milliseconds;

namespace {

const pool_id kPool{"p"};

time_point At(int ms) {
  return time_point(milliseconds(ms));
}

target Published(const char* id, std::uint64_t incarnation = 1) {
  target made;
  made.id.value = id;
  made.pool = kPool;
  made.address = std::string(id) + ":1";
  made.incarnation = incarnation;
  return made;
}

std::size_t Usable(const target_table& table, int ms) {
  return table.Usable(kPool, At(ms)).size();
}

}  // namespace

TEST_GROUP(TargetTable){};

// Guards against choosing a target that is leaving, even if a later entry
// claims that it is ready.
TEST(TargetTable, LeavingLastsUntilTheIncarnationChanges) {
  target_table table;
  target leaving = Published("a");
  leaving.state = target_state::kLeaving;
  static_cast<void>(table.Update({leaving}));
  LONGS_EQUAL(0, Usable(table, 0));
  static_cast<void>(table.Update({Published("a")}));
  LONGS_EQUAL(0, Usable(table, 1));
  const auto changes = table.Update({Published("a", 2)});
  LONGS_EQUAL(1, changes.size());
  CHECK_TRUE(changes[0].kind == target_table::change::type::kRestarted);
  LONGS_EQUAL(1, Usable(table, 2));
}

// Guards against a target that is retried all the time while it is down, and
// against one that is never retried.
TEST(TargetTable, DistrustGrowsAndEnds) {
  target_table table;
  static_cast<void>(table.Update({Published("a")}));
  const auto first =
      table.Distrust({"a"}, distrust_reason::kUnreachable, At(0));
  LONGS_EQUAL(0, Usable(table, 1));
  LONGS_EQUAL(1, Usable(table, 700));
  const auto second =
      table.Distrust({"a"}, distrust_reason::kUnreachable, At(701));
  CHECK_TRUE(second > first);
  table.RecordSuccess({"a"});
  CHECK_TRUE(table.Distrust({"a"}, distrust_reason::kUnreachable, At(9'000)) ==
             first);
}

// Guards against a target that fails some of its requests and is still chosen,
// and against distrust after a single failure.
TEST(TargetTable, DistrustsTargetsThatFailOften) {
  target_table table;
  static_cast<void>(table.Update({Published("a")}));
  CHECK_FALSE(table.RecordFailure({"a"}, At(0)));
  CHECK_TRUE(table.RecordFailure({"a"}, At(1)));
  LONGS_EQUAL(0, Usable(table, 2));
}

// Guards against choosing a target whose entry has disappeared while there are
// others, and against choosing none when all entries have disappeared.
TEST(TargetTable, MissingTargetsAreTheLastResort) {
  target_table table;
  target missing = Published("a");
  missing.missing = true;
  static_cast<void>(table.Update({missing, Published("b")}));
  const auto usable = table.Usable(kPool, At(0));
  LONGS_EQUAL(1, usable.size());
  STRCMP_EQUAL("b", usable[0]->id.value.c_str());
  LONGS_EQUAL(2, table.NotLeaving(kPool).size());
}
