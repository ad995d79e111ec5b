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

operation_verdict Resolve(const operations_state& state,
                          const operation_call& call,
                          time_point now = kStart) {
  return ResolveCall(state, kVm, kIncarnation, call, now);
}

failure FailureOf(const operation_verdict& verdict) {
  CHECK_TRUE(std::holds_alternative<failure>(verdict));
  return std::get<failure>(verdict);
}

}  // namespace

TEST_GROUP(Operations){};

// Guards against keys that are accepted after a modification, or that were
// authenticated with another deployment's secret.
TEST(Operations, ModifiedKeyIsNotGenuine) {
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

// Guards against a second execution: a call with a spent key is never started
// again, whatever its result.
TEST(Operations, SpentKeyReturnsTheStoredResult) {
  operations_state state = MakeOperations();
  const operation_call call{Mint(state), 5, false};
  CHECK_TRUE(std::holds_alternative<start_operation>(Resolve(state, call)));
  CHECK_TRUE(MarkSpent(state, call));
  CHECK_FALSE(MarkSpent(state, call));
  CHECK(FailureOf(Resolve(state, call)).code ==
        failure_code::kOperationInProgress);
  const operation_call other_body{call.key, 6, false};
  CHECK(FailureOf(Resolve(state, other_body)).code ==
        failure_code::kOperationKeyReused);
  const failure lost{failure_code::kTargetLost, outcome::kUnknown, {}};
  StoreFailure(state, call.key.sequence, lost);
  CHECK_TRUE(FailureOf(Resolve(state, call)) == lost);
  StoreResult(state, call.key.sequence, stored_answer{200, "t", "done"});
  const auto verdict = Resolve(state, call);
  CHECK_EQUAL(std::string("done"),
              std::get<replay_answer>(verdict).answer->body);
}

// Guards against a call that runs after its caller was told that it did not
// run: an earlier call with the same key may arrive late.
TEST(Operations, KeyOfACallThatDidNotRunStaysSpent) {
  operations_state state = MakeOperations();
  const operation_call call{Mint(state), 5, false};
  CHECK_TRUE(MarkSpent(state, call));
  const failure rejected{failure_code::kTargetRejected, outcome::kNotRun, {}};
  StoreFailure(state, call.key.sequence, rejected);
  CHECK_TRUE(FailureOf(Resolve(state, call)) == rejected);
}

// Guards against a table of peers that grows with every replaced VM, or that
// drops the current ones.
TEST(Operations, LatestOwnersAreKept) {
  operations_state state = MakeOperations();
  for (std::uint64_t i = 1; i <= 5'000; ++i) {
    UpdateKeyOwner(state, {{"vm" + std::to_string(i)}, i, "127.0.0.1:1"});
  }
  CHECK_EQUAL(4'096U, state.key_owners.size());
  CHECK_TRUE(state.key_owners.contains({"vm5000"}));
}

// Guards against `not-run` for an expired key, whose record is removed, and
// against removing the record of a call that still runs.
TEST(Operations, ExpiredKeyIsUnknownAndRunningCallIsKept) {
  operations_state state = MakeOperations();
  const operation_call running{Mint(state), 5, false};
  const operation_call ended{Mint(state), 5, false};
  CHECK_TRUE(MarkSpent(state, running));
  CHECK_TRUE(MarkSpent(state, ended));
  StoreResult(state, ended.key.sequence, stored_answer{200, "t", "done"});
  const time_point later = ended.key.expires;
  ExpireOperations(state, later);
  CHECK_EQUAL(0U, state.answer_bytes);
  CHECK(FailureOf(Resolve(state, running, later)).code ==
        failure_code::kOperationInProgress);
  const failure expired = FailureOf(Resolve(state, ended, later));
  CHECK(expired.code == failure_code::kOperationKeyExpired);
  CHECK(expired.result == outcome::kUnknown);
}

// Guards against starting a call whose key was minted by a dead, unknown or
// unreachable incarnation, and against a forwarded call that is forwarded
// again.
TEST(Operations, OnlyTheMintingIncarnationStartsACall) {
  operations_state state = MakeOperations();
  const operation_key foreign{{"vm2"}, 10, 1, kStart};
  const auto lost = [&](const operation_call& call) {
    const failure reason = FailureOf(Resolve(state, call));
    return reason.code == failure_code::kOperationOwnerLost &&
           reason.result == outcome::kUnknown;
  };
  CHECK_TRUE(lost({foreign, 5, false}));
  CHECK_TRUE(lost({{kVm, kIncarnation - 1, 1, kStart}, 5, false}));
  UpdateKeyOwner(state, {{"vm2"}, 10, "127.0.0.1:1"});
  const auto verdict = Resolve(state, {foreign, 5, false});
  CHECK_EQUAL(std::string("127.0.0.1:1"),
              std::get<forward_call>(verdict).address);
  CHECK_TRUE(lost({foreign, 5, true}));
  UpdateKeyOwner(state, {{"vm2"}, 11, "127.0.0.1:2"});
  UpdateKeyOwner(state, {{"vm2"}, 10, "127.0.0.1:1"});
  CHECK_TRUE(lost({foreign, 5, false}));
}

// Guards against a store that grows without bound, or that removes a spent key
// to make room.
TEST(Operations, StoreIsBoundedAndKeepsSpentKeys) {
  operations_state state = MakeOperations();
  const operation_call first{Mint(state), 5, false};
  CHECK_TRUE(MarkSpent(state, first));
  const std::string large(1 << 20, 'x');
  StoreResult(state, first.key.sequence, stored_answer{200, "t", large});
  std::size_t spent = 1;
  operation_call call{Mint(state), 5, false};
  while (MarkSpent(state, call)) {
    ++spent;
    if (spent <= 20) {
      StoreResult(state, call.key.sequence, stored_answer{200, "t", large});
    }
    call.key = Mint(state);
  }
  CHECK_EQUAL(16'384U, spent);
  CHECK_EQUAL(std::size_t{16} << 20, state.answer_bytes);
  const failure dropped = FailureOf(Resolve(state, first));
  CHECK(dropped.code == failure_code::kOperationAnswerDropped);
  CHECK(dropped.result == outcome::kRan);
}
