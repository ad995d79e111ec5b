#include "acaciaferry/quarantine/prompt_parts.hpp"

#include <CppUTest/TestHarness.h>

using namespace acaciaferry;
using std::chrono::milliseconds;

namespace {

constexpr prompt_part kDeadly = 0xD;
constexpr prompt_part kFirst = 0xF;

time_point At(int ms) {
  return time_point(milliseconds(1'000'000 + ms));
}

evidence_source Vm(int index) {
  return {{"vm" + std::to_string(index)}, 1};
}

target_id Target(int index) {
  return {"e" + std::to_string(index)};
}

part_crash Crash(int vm,
                 std::uint64_t sequence,
                 int target,
                 int ms,
                 std::vector<prompt_part> parts) {
  return {Vm(vm), sequence, Target(target), At(ms), std::move(parts)};
}

bool Refuses(const part_quarantine& state, std::vector<prompt_part> parts) {
  return HasRefusedParts(state, parts);
}

// Records crashes of different targets, half a second apart, the first one at
// `ms`.
void RecordCrashes(part_quarantine& state,
                   int count,
                   int ms,
                   const std::vector<prompt_part>& parts) {
  for (int i = 0; i < count; ++i) {
    static_cast<void>(
        RecordPartCrash(state, Vm(0), Target(i), parts, At(ms + 500 * i)));
  }
}

void Begin(part_quarantine& state, std::vector<prompt_part> parts, int ms) {
  static_cast<void>(RecordAnswerBegun(state, parts, At(ms)));
}

}  // namespace

TEST_GROUP(PromptParts){};

// Guards against a part that crashes one target after the other in requests no
// two of which are alike.
TEST(PromptParts, RefusesAPartAfterThreeCrashesWhateverElseTheRequestHolds) {
  part_quarantine state;
  for (int i = 0; i < 3; ++i) {
    CHECK_FALSE(Refuses(state, {kDeadly}));
    static_cast<void>(RecordPartCrash(
        state, Vm(0), Target(i),
        std::vector<prompt_part>{100U + static_cast<prompt_part>(i), kDeadly},
        At(500 * i)));
  }
  CHECK_TRUE(Refuses(state, {777, kDeadly, 778}));
  CHECK_FALSE(Refuses(state, {100}));
  CHECK_FALSE(Refuses(state, {}));
}

// Guards against refusing sound requests that share the first part with a bad
// one.
TEST(PromptParts, ClearsPartsOnWhichAnswersBegin) {
  part_quarantine state;
  Begin(state, {kFirst}, 0);
  RecordCrashes(state, 5, 100, {kFirst, kDeadly});
  CHECK_TRUE(Refuses(state, {kFirst, kDeadly}));
  CHECK_TRUE(Refuses(state, {kDeadly}));
  CHECK_FALSE(Refuses(state, {kFirst}));
  CHECK_FALSE(Refuses(state, {kFirst, 5}));
}

// Guards against refusing sound requests on parts that the crashes don't tell
// apart from the bad one.
TEST(PromptParts, RefusesOnlyTheCombinationWhileCrashesDoNotTellPartsApart) {
  part_quarantine state;
  RecordCrashes(state, 3, 0, {kFirst, kDeadly});
  CHECK_TRUE(Refuses(state, {kFirst, kDeadly}));
  CHECK_FALSE(Refuses(state, {kFirst, 5}));
  CHECK_FALSE(Refuses(state, {kDeadly, 5}));
  // A crash with another first part tells them apart.
  static_cast<void>(RecordPartCrash(state, Vm(0), Target(9),
                                    std::vector<prompt_part>{6, kDeadly},
                                    At(2'000)));
  CHECK_TRUE(Refuses(state, {kDeadly, 5}));
  CHECK_FALSE(Refuses(state, {kFirst, 5}));
}

// Guards against blaming a part for engines that fail together, such as a rack
// or all connections of a VM.
TEST(PromptParts, CountsCrashesAtTheSameMomentOnce) {
  part_quarantine state;
  for (int i = 0; i < 20; ++i) {
    static_cast<void>(RecordPartCrash(
        state, Vm(0), Target(i), std::vector<prompt_part>{kFirst}, At(10 * i)));
  }
  CHECK_FALSE(Refuses(state, {kFirst}));
}

// Guards against blaming a part for one engine that fails again and again, and
// against a part that crashes the only engine for ever.
TEST(PromptParts, CrashesOfOneTargetCountHalf) {
  part_quarantine state;
  for (int i = 0; i < 5; ++i) {
    CHECK_FALSE(Refuses(state, {kFirst}));
    static_cast<void>(RecordPartCrash(state, Vm(0), Target(0),
                                      std::vector<prompt_part>{kFirst},
                                      At(500 * i)));
  }
  CHECK_TRUE(Refuses(state, {kFirst}));
}

// Guards against a busy part that is refused because engines crash all the time
// for other reasons.
TEST(PromptParts, AnswersBetweenCrashesKeepAPartInUse) {
  part_quarantine state;
  Begin(state, {kFirst}, -100);
  for (int i = 0; i < 60; ++i) {
    static_cast<void>(RecordPartCrash(state, Vm(0), Target(i),
                                      std::vector<prompt_part>{kFirst},
                                      At(500 * i)));
    if (i % 4 == 3) {
      Begin(state, {kFirst}, 500 * i + 100);
    }
    CHECK_FALSE(Refuses(state, {kFirst}));
  }
}

// Guards against a part that was sound, and crashes engines of a new version.
TEST(PromptParts, RefusesAPartWithEarlierAnswersAfterMoreCrashes) {
  part_quarantine state;
  Begin(state, {kFirst}, 0);
  RecordCrashes(state, 5, 1'000, {kFirst});
  CHECK_FALSE(Refuses(state, {kFirst}));
  RecordCrashes(state, 8, 5'000, {kFirst});
  CHECK_TRUE(Refuses(state, {kFirst}));
}

// Guards against a wrongly refused part that stays so although a VM that has
// not heard of it served it.
TEST(PromptParts, AnswersToldByPeersLiftTheRefusal) {
  part_quarantine state;
  RecordCrashes(state, 4, 0, {kFirst});
  CHECK_TRUE(Refuses(state, {kFirst}));
  const auto verdicts =
      MergeBegunParts(state, {{{kFirst, milliseconds(100)}}}, At(3'000));
  CHECK_FALSE(Refuses(state, {kFirst}));
  LONGS_EQUAL(1, verdicts.dropped.size());
  CHECK_TRUE(state.crashes.empty());
}

// Guards against evidence that counts twice: datagrams are repeated, and VMs
// that join are sent what all have heard.
TEST(PromptParts, RepeatedAndForeignReportsChangeNothing) {
  part_quarantine state;
  const part_crashes_received two{
      {Crash(1, 1, 1, 0, {kDeadly}), Crash(2, 1, 2, 500, {kDeadly})}};
  for (int i = 0; i < 5; ++i) {
    static_cast<void>(MergePartCrashes(state, Vm(0), two, At(600 + i)));
  }
  LONGS_EQUAL(2, state.crashes.size());
  CHECK_FALSE(Refuses(state, {kDeadly}));
  const auto verdicts = MergePartCrashes(
      state, Vm(0), {{Crash(3, 1, 3, 1'000, {kDeadly})}}, At(1'100));
  CHECK_TRUE(Refuses(state, {kDeadly}));
  LONGS_EQUAL(1, verdicts.added.size());
  // Reports of this process come back from peers that joined.
  static_cast<void>(MergePartCrashes(
      state, Vm(0), {{Crash(0, 9, 4, 1'200, {kFirst})}}, At(1'300)));
  LONGS_EQUAL(3, state.crashes.size());
}

// Guards against peers that suspect a part which this VM knows to be sound.
TEST(PromptParts, PeersAreToldOfAnswersOnSuspectedParts) {
  part_quarantine state;
  Begin(state, {kFirst}, 0);
  const auto heard = [&](std::uint64_t sequence, int ms) {
    return MergePartCrashes(state, Vm(0),
                            {{Crash(1, sequence, 1, ms, {kFirst, kDeadly})}},
                            At(ms + 10));
  };
  const auto told = heard(1, 1'000).to_tell;
  LONGS_EQUAL(1, told.size());
  CHECK_TRUE(told[0].part == kFirst);
  // Not with each datagram.
  LONGS_EQUAL(0, heard(2, 1'100).to_tell.size());
  LONGS_EQUAL(1, heard(3, 2'200).to_tell.size());
}

// Guards against a wrongly refused part that no VM ever tries again, and
// against tests by every VM.
TEST(PromptParts, OneVmTestsARefusedPartNowAndThen) {
  part_quarantine state;
  const std::vector<prompt_part> parts{kDeadly};
  static_cast<void>(
      MergePartCrashes(state, Vm(0),
                       {{Crash(1, 1, 1, 0, parts), Crash(2, 1, 2, 500, parts),
                         Crash(2, 2, 3, 1'000, parts)}},
                       At(1'100)));
  CHECK_TRUE(Refuses(state, parts));
  CHECK_FALSE(TryTestParts(state, Vm(1), parts, At(180'000)));
  CHECK_FALSE(TryTestParts(state, Vm(2), parts, At(182'000)));
  CHECK_FALSE(TryTestParts(state, Vm(0), parts, At(182'000)));
  CHECK_TRUE(TryTestParts(state, Vm(1), parts, At(182'000)));
  CHECK_FALSE(TryTestParts(state, Vm(1), parts, At(183'000)));
  // Crashed tests prolong the quarantine.
  for (int minute = 3; minute < 30; minute += 3) {
    static_cast<void>(RecordPartCrash(state, Vm(1), Target(minute % 5), parts,
                                      At(60'000 * minute + 5'000)));
    static_cast<void>(ExpireParts(state, At(60'000 * minute + 6'000)));
    CHECK_TRUE(Refuses(state, parts));
  }
}

// Guards against messages that grow with the number of crashes, and against VMs
// that join and don't hear why a part is refused.
TEST(PromptParts, MessagesAreBoundedAndExplainRefusalsFirst) {
  part_quarantine state;
  RecordCrashes(state, 3, 0, {kDeadly});
  for (prompt_part part = 1'000; part < 1'200; ++part) {
    static_cast<void>(RecordPartCrash(
        state, Vm(0), Target(7), std::vector<prompt_part>{part}, At(2'000)));
  }
  for (const auto& sent :
       {PartCrashesToTell(state),
        OwnPartCrashes(state, Vm(0), std::chrono::hours(1), At(3'000))}) {
    LONGS_EQUAL(kMaxPartCrashesSent, sent.size());
    part_quarantine joined;
    static_cast<void>(MergePartCrashes(joined, Vm(1), {sent}, At(3'000)));
    CHECK_TRUE(Refuses(joined, {kDeadly}));
  }
}

// Guards against state that grows without bound, and against a flood of other
// crashes that pushes out why a part is refused.
TEST(PromptParts, StateIsBoundedAndForgotten) {
  part_quarantine state;
  RecordCrashes(state, 3, 0, {kDeadly});
  CHECK_TRUE(Refuses(state, {kDeadly}));
  for (prompt_part part = 1'000; part < 7'000; ++part) {
    static_cast<void>(RecordPartCrash(
        state, Vm(0), Target(7), std::vector<prompt_part>{part}, At(2'000)));
    Begin(state, {part + 100'000}, 2'000);
  }
  CHECK_TRUE(state.crashes.size() <= 256);
  CHECK_TRUE(state.begun.size() <= 4'096);
  CHECK_TRUE(Refuses(state, {kDeadly}));
  LONGS_EQUAL(
      0, OwnPartCrashes(state, Vm(0), milliseconds(500), At(3'000)).size());
  const auto verdicts = ExpireParts(state, At(603'000));
  LONGS_EQUAL(1, verdicts.dropped.size());
  CHECK_FALSE(Refuses(state, {kDeadly}));
  CHECK_TRUE(state.crashes.empty());
  CHECK_TRUE(state.begun.empty());
}
