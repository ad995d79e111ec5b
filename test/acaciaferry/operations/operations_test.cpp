#include "acaciaferry/operations/operations.hpp"

#include <rapidcheck.h>

#include <string>
#include <variant>

#include <CppUTest/TestHarness.h>

using namespace acaciaferry;

namespace {

constexpr std::uint64_t kIncarnation = 42;
const vm_id kVm{"vm.1"};
const std::string kSecret = "the deployment's key";
const time_point kStart{std::chrono::seconds(100)};

operations_state MakeOperations() {
  operations_state state;
  state.secret = kSecret;
  return state;
}

operation_key Mint(operations_state& state, time_point now = kStart) {
  const auto minted = MintKey(state, kVm, kIncarnation, now);
  return ParseKey(minted->text, kSecret).key;
}

operation_verdict Judge(const operations_state& state,
                        const operation_call& call,
                        time_point now = kStart) {
  return JudgeCall(state, kVm, kIncarnation, call, now);
}

failure FailureOf(const operation_verdict& verdict) {
  CHECK_TRUE(std::holds_alternative<failure>(verdict));
  return std::get<failure>(verdict);
}

}  // namespace

TEST_GROUP(Operations){};

// Guards against keys that are accepted after any change, or that were made
// with another deployment's key.
TEST(Operations, AnyChangeOfAKeyMakesItForged) {
  CHECK_TRUE(rc::check([](std::uint64_t incarnation, std::uint64_t sequence) {
    const operation_key key{kVm, incarnation, sequence, kStart};
    const std::string text = FormatKey(key, kSecret);
    const presented_key presented = ParseKey(text, kSecret);
    RC_ASSERT(presented.verdict == key_verdict::kGenuine);
    RC_ASSERT(presented.key == key);
    RC_ASSERT(ParseKey(text, "other").verdict == key_verdict::kForged);
    RC_ASSERT(ParseKey(text, "").verdict == key_verdict::kForged);
    const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
    std::string changed = text;
    changed[at] = changed[at] == '1' ? '2' : '1';
    RC_ASSERT(ParseKey(changed, kSecret).verdict != key_verdict::kGenuine);
    RC_ASSERT(ParseKey(text.substr(0, at), kSecret).verdict !=
              key_verdict::kGenuine);
  }));
}

// Guards against a second run: a spent key never starts again, whatever became
// of the call, unless it certainly did not run.
TEST(Operations, SpentKeyIsAnsweredFromTheStore) {
  operations_state state = MakeOperations();
  const operation_call call{Mint(state), 5, false};
  CHECK_TRUE(std::holds_alternative<start_operation>(Judge(state, call)));
  CHECK_TRUE(Spend(state, call));
  CHECK_FALSE(Spend(state, call));
  CHECK(FailureOf(Judge(state, call)).code ==
        failure_code::kOperationInProgress);
  const operation_call other_body{call.key, 6, false};
  CHECK(FailureOf(Judge(state, other_body)).code ==
        failure_code::kOperationKeyReused);
  const failure lost{failure_code::kTargetLost, outcome::kUnknown, {}};
  StoreFailure(state, call.key.sequence, lost);
  CHECK_TRUE(FailureOf(Judge(state, call)) == lost);
  StoreResult(state, call.key.sequence, stored_answer{200, "t", "done"});
  const auto verdict = Judge(state, call);
  CHECK_EQUAL(std::string("done"),
              std::get<replay_answer>(verdict).answer->body);
}

// Guards against a key that is wasted by a call that was certainly not run.
TEST(Operations, CallThatDidNotRunLeavesItsKeyUnspent) {
  operations_state state = MakeOperations();
  const operation_call call{Mint(state), 5, false};
  CHECK_TRUE(Spend(state, call));
  StoreFailure(state, call.key.sequence,
               {failure_code::kTargetRejected, outcome::kNotRun, {}});
  CHECK_TRUE(std::holds_alternative<start_operation>(Judge(state, call)));
}

// Guards against `not-run` for an expired key, whose record is forgotten, and
// against forgetting a call that still runs.
TEST(Operations, ExpiredKeyIsUnknownAndRunningCallIsKept) {
  operations_state state = MakeOperations();
  const operation_call running{Mint(state), 5, false};
  const operation_call ended{Mint(state), 5, false};
  CHECK_TRUE(Spend(state, running));
  CHECK_TRUE(Spend(state, ended));
  StoreResult(state, ended.key.sequence, stored_answer{200, "t", "done"});
  const time_point later = ended.key.expires;
  ExpireOperations(state, later);
  CHECK_EQUAL(0U, state.answer_bytes);
  CHECK(FailureOf(Judge(state, running, later)).code ==
        failure_code::kOperationInProgress);
  const failure expired = FailureOf(Judge(state, ended, later));
  CHECK(expired.code == failure_code::kOperationKeyExpired);
  CHECK(expired.result == outcome::kUnknown);
}

// Guards against a key of a dead, unknown or unreachable incarnation that is
// run here, and against a forwarded call that is forwarded again.
TEST(Operations, OnlyTheMintingIncarnationStartsACall) {
  operations_state state = MakeOperations();
  const operation_key foreign{{"vm2"}, 10, 1, kStart};
  const auto lost = [&](const operation_call& call) {
    const failure reason = FailureOf(Judge(state, call));
    return reason.code == failure_code::kOperationOwnerLost &&
           reason.result == outcome::kUnknown;
  };
  CHECK_TRUE(lost({foreign, 5, false}));
  CHECK_TRUE(lost({{kVm, kIncarnation - 1, 1, kStart}, 5, false}));
  LearnOwner(state, {{"vm2"}, 10, "127.0.0.1:1"});
  const auto verdict = Judge(state, {foreign, 5, false});
  CHECK_EQUAL(std::string("127.0.0.1:1"),
              std::get<forward_call>(verdict).address);
  CHECK_TRUE(lost({foreign, 5, true}));
  LearnOwner(state, {{"vm2"}, 11, "127.0.0.1:2"});
  LearnOwner(state, {{"vm2"}, 10, "127.0.0.1:1"});
  CHECK_TRUE(lost({foreign, 5, false}));
}

// Guards against a store that grows without bound, or that forgets a spent key
// to make room.
TEST(Operations, StoreIsBoundedAndNeverForgetsASpentKey) {
  operations_state state = MakeOperations();
  const operation_call first{Mint(state), 5, false};
  CHECK_TRUE(Spend(state, first));
  const std::string large(1 << 20, 'x');
  StoreResult(state, first.key.sequence, stored_answer{200, "t", large});
  std::size_t spent = 1;
  operation_call call{Mint(state), 5, false};
  while (Spend(state, call)) {
    ++spent;
    if (spent <= 20) {
      StoreResult(state, call.key.sequence, stored_answer{200, "t", large});
    }
    call.key = Mint(state);
  }
  CHECK_EQUAL(16'384U, spent);
  CHECK_EQUAL(std::size_t{16} << 20, state.answer_bytes);
  const failure dropped = FailureOf(Judge(state, first));
  CHECK(dropped.code == failure_code::kOperationAnswerDropped);
  CHECK(dropped.result == outcome::kRan);
}
