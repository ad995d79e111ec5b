#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "acaciaferry/reducer/reduce.hpp"

#include <CppUTest/TestHarness.h>

using namespace acaciaferry;

namespace {

// One VM with three engines and three service targets; the clock moves on
// request.
struct one_vm {
  state value;
  time_point now{std::chrono::hours(1)};
  std::uint64_t next_sequence{1};

  one_vm() {
    value.self.vm = {"vm1"};
    value.self.incarnation = 9;
    value.operations.secret = "secret";
    deployment config;
    config.revision = 1;
    config.pools = {{.id = {"model"}, .kind = request_kind::kCompletion},
                    {.id = {"kiosk"}, .kind = request_kind::kServiceCall}};
    config.workloads = {{.id = {"short"},
                         .pool = {"model"},
                         .max_prompt_tokens = 1000,
                         .deadline = std::chrono::seconds(60)},
                        {.id = {"release"},
                         .pool = {"kiosk"},
                         .method = "POST",
                         .deadline = std::chrono::seconds(10),
                         .idempotent = false},
                        {.id = {"read"},
                         .pool = {"kiosk"},
                         .method = "GET",
                         .deadline = std::chrono::seconds(10)}};
    Do(deployment_received{config});
    vm_list_received list;
    for (const char* const name : {"e1", "e2", "e3"}) {
      list.vms.push_back({.name = name,
                          .address = name,
                          .role = vm_role::kEngine,
                          .pool = {"model"}});
    }
    for (const char* const name : {"s1", "s2", "s3"}) {
      list.vms.push_back({.name = name,
                          .address = name,
                          .role = vm_role::kService,
                          .pool = {"kiosk"}});
    }
    Do(list);
  }

  effects Do(const event& happened) { return Reduce(value, happened, now); }

  // Advances in steps that are shorter than a pause of the process.
  effects Wait(int seconds) {
    effects all;
    for (int i = 0; i < seconds; ++i) {
      now += std::chrono::seconds(1);
      for (effect& each : Do(timer_expired{})) {
        all.push_back(std::move(each));
      }
    }
    return all;
  }

  effects Complete(std::uint64_t fingerprint = 1) {
    request sent;
    sent.id = {9, next_sequence++};
    sent.pool = {"model"};
    sent.prompt_tokens = 10;
    sent.fingerprint = fingerprint;
    return Do(request_arrived{sent});
  }

  effects Call(const std::string& method, const std::string& key = "") {
    request sent;
    sent.id = {9, next_sequence++};
    sent.kind = request_kind::kServiceCall;
    sent.pool = {"kiosk"};
    sent.method = method;
    sent.idempotency_key = key;
    return Do(request_arrived{sent});
  }

  std::string Mint() {
    return MintKey(value.operations, value.self.vm, value.self.incarnation, now)
        ->text;
  }
};

template <typename Kind>
std::vector<Kind> All(const effects& from) {
  std::vector<Kind> found;
  for (const effect& each : from) {
    if (const auto* const match = std::get_if<Kind>(&each)) {
      found.push_back(*match);
    }
  }
  return found;
}

template <typename Kind>
Kind The(const effects& from) {
  const auto found = All<Kind>(from);
  CHECK_EQUAL(1U, found.size());
  return found.front();
}

std::string Text(const effects& from) {
  std::string text;
  for (const auto& chunk : All<deliver_chunk>(from)) {
    text += chunk.text;
  }
  return text;
}

// Other modules look after targets and peers in the same turns.
bool LeavesRequestsAlone(const effects& out) {
  return All<start_attempt>(out).empty() && All<resume_attempt>(out).empty() &&
         All<cancel_attempt>(out).empty() && All<count_retry>(out).empty() &&
         All<deliver_chunk>(out).empty() && All<fail_request>(out).empty() &&
         All<finish_request>(out).empty();
}

bool FailsWith(const effects& from, failure_code code, outcome result) {
  const failure reason = The<fail_request>(from).reason;
  return reason.code == code && reason.result == result;
}

}  // namespace

TEST_GROUP(Attempts) {
  one_vm vm;
};

// Guards against a stream that stays silent for good, and against bytes that
// are sent to the caller twice after it is resumed.
TEST(Attempts, SilentStreamIsResumedFromItsOffset) {
  const attempt_id id = The<start_attempt>(vm.Complete()).attempt;
  vm.Do(attempt_sent{id});
  vm.Do(answer_chunk{id, 0, "abc"});
  CHECK_TRUE(LeavesRequestsAlone(vm.Wait(2)));
  vm.Do(attempt_progressed{id});
  CHECK_TRUE(All<resume_attempt>(vm.Wait(2)).empty());
  const auto resumed = The<resume_attempt>(vm.Wait(2));
  CHECK_EQUAL(3U, resumed.offset);
  CHECK_EQUAL(1U, resumed.connection_number);
  // The end of the replaced connection is late news.
  CHECK_TRUE(
      vm.Do(attempt_failed{id, transport_error::kConnectionLost}).empty());
  const effects end = [&] {
    vm.Do(answer_chunk{id, 3, "def"});
    return vm.Do(answer_ended{id, 6, "stop"});
  }();
  CHECK_EQUAL(1U, All<finish_request>(end).size());
}

// Guards against waiting for a target that has lost the stream or stopped,
// and against memory that the abandoned stream keeps there.
TEST(Attempts, LostStreamFailsOverAndIsCancelled) {
  for (const bool target_answers : {true, false}) {
    const auto first = The<start_attempt>(vm.Complete());
    vm.Do(answer_chunk{first.attempt, 0, "abc"});
    const auto resumed = The<resume_attempt>(vm.Wait(3));
    const effects out =
        target_answers ? vm.Do(attempt_failed{first.attempt,
                                              transport_error::kUnknownStream,
                                              resumed.connection_number})
                       : vm.Wait(3);
    CHECK_TRUE(The<cancel_attempt>(out).attempt == first.attempt);
    const auto second = The<start_attempt>(out);
    CHECK_FALSE(second.target == first.target);
    CHECK_TRUE(second.remaining < first.remaining);
    CHECK_EQUAL(std::string("d"),
                Text(vm.Do(answer_chunk{second.attempt, 0, "abcd"})));
    CHECK_TRUE(vm.Do(answer_ended{first.attempt, 3, "stop"}).empty());
    CHECK_EQUAL(
        1U, All<finish_request>(vm.Do(answer_ended{second.attempt, 4, "stop"}))
                .size());
  }
}

// Guards against streams that are given up because this process was paused.
TEST(Attempts, OwnPauseIsNotSilence) {
  vm.Complete();
  vm.now += std::chrono::seconds(20);
  CHECK_TRUE(LeavesRequestsAlone(vm.Do(timer_expired{})));
  CHECK_EQUAL(1U, All<resume_attempt>(vm.Wait(3)).size());
}

// Guards against a second answer that ends before the bytes that the caller
// already has.
TEST(Attempts, ShorterSecondAnswerFailsTyped) {
  const attempt_id first = The<start_attempt>(vm.Complete()).attempt;
  vm.Do(answer_chunk{first, 0, "abc"});
  const attempt_id second =
      The<start_attempt>(
          vm.Do(attempt_failed{first, transport_error::kConnectionLost}))
          .attempt;
  vm.Do(answer_chunk{second, 0, "ab"});
  CHECK_TRUE(FailsWith(vm.Do(answer_ended{second, 2, "stop"}),
                       failure_code::kAnswerCorrupt, outcome::kUnknown));
}

// Guards against `not-run` from a target that has begun to answer.
TEST(Attempts, RejectionAfterAcceptanceIsUnknown) {
  const attempt_id id = The<start_attempt>(vm.Call("POST")).attempt;
  vm.Do(attempt_accepted{id, 200, "t"});
  CHECK_TRUE(FailsWith(vm.Do(attempt_rejected{id}),
                       failure_code::kAnswerCorrupt, outcome::kUnknown));
}

// Guards against suspects that meet again on the next target: each waits for
// one without another suspect.
TEST(Attempts, SuspectsAreRetriedApart) {
  std::vector<start_attempt> sent;
  for (std::uint64_t fingerprint = 1; fingerprint <= 9; ++fingerprint) {
    sent.push_back(The<start_attempt>(vm.Complete(fingerprint)));
    vm.Do(attempt_accepted{sent.back().attempt, 200, ""});
  }
  // One request is left on e2 and on e3, beside which a suspect may start.
  for (const std::size_t ended : {1U, 2U, 4U, 5U}) {
    vm.Do(answer_ended{sent[ended].attempt, 0, "stop"});
  }
  std::vector<start_attempt> retried;
  for (const std::size_t lost : {0U, 3U, 6U}) {
    CHECK_EQUAL(std::string("e1"), sent[lost].target.value);
    for (const auto& start : All<start_attempt>(vm.Do(attempt_failed{
             sent[lost].attempt, transport_error::kConnectionLost}))) {
      retried.push_back(start);
    }
  }
  CHECK_EQUAL(2U, retried.size());
  CHECK_FALSE(retried[0].target == retried[1].target);
  const effects out = vm.Do(answer_ended{retried[0].attempt, 0, "stop"});
  CHECK_TRUE(The<start_attempt>(out).target == retried[0].target);
}

// Guards against copies of a crashing prompt that run on elsewhere after its
// quarantine.
TEST(Attempts, QuarantineCancelsRunningCopies) {
  std::vector<attempt_id> copies;
  for (const char* const engine : {"e1", "e2", "e3"}) {
    load_report alone;
    alone.target = {engine};
    alone.incarnation = 1;
    alone.sequence = 1;
    alone.running = 1;
    vm.Do(load_report_received{alone});
    copies.push_back(The<start_attempt>(vm.Complete()).attempt);
    vm.Do(attempt_accepted{copies.back(), 200, ""});
  }
  vm.Do(attempt_failed{copies[0], transport_error::kConnectionLost});
  const effects out =
      vm.Do(attempt_failed{copies[1], transport_error::kConnectionLost});
  CHECK_EQUAL(3U, All<fail_request>(out).size());
  CHECK_TRUE(All<cancel_attempt>(out).back().attempt == copies[2]);
  CHECK_TRUE(
      FailsWith(vm.Complete(), failure_code::kQuarantined, outcome::kNotRun));
}

// Guards against a status of one attempt with the body of another.
TEST(Attempts, ServiceAnswerIsDeliveredWholeOrNotAtAll) {
  const auto first = The<start_attempt>(vm.Call("GET"));
  effects out = vm.Do(attempt_accepted{first.attempt, 404, "text/old"});
  CHECK_TRUE(out.empty());
  CHECK_TRUE(vm.Do(answer_chunk{first.attempt, 0, "old"}).empty());
  out = vm.Do(attempt_failed{first.attempt, transport_error::kConnectionLost});
  const auto second = The<start_attempt>(out);
  vm.Do(answer_chunk{second.attempt, 0, "new"});
  vm.Do(attempt_accepted{second.attempt, 200, "text/new"});
  out = vm.Do(answer_ended{second.attempt, 3, "stop"});
  CHECK_EQUAL(200, The<deliver_head>(out).http_status);
  CHECK_EQUAL(std::string("new"), Text(out));
}

// Guards against a retry after the head of a long answer was passed on.
TEST(Attempts, LongServiceAnswerIsNotRetriedOnceDelivered) {
  const attempt_id id = The<start_attempt>(vm.Call("GET")).attempt;
  vm.Do(attempt_accepted{id, 200, "t"});
  const std::string large((1 << 20) + 1, 'x');
  const effects out = vm.Do(answer_chunk{id, 0, large});
  CHECK_EQUAL(1U, All<deliver_head>(out).size());
  CHECK_TRUE(
      FailsWith(vm.Do(attempt_failed{id, transport_error::kConnectionLost}),
                failure_code::kTargetLost, outcome::kUnknown));
}

// Guards against a second attempt of a call that may have been sent, and
// against giving up one that certainly was not.
TEST(Attempts, NonIdempotentCallIsSentOnce) {
  const auto first = The<start_attempt>(vm.Call("POST"));
  const auto second = The<start_attempt>(
      vm.Do(attempt_failed{first.attempt, transport_error::kConnectFailed}));
  vm.Do(attempt_sent{second.attempt});
  const effects out =
      vm.Do(attempt_failed{second.attempt, transport_error::kConnectionLost});
  CHECK_TRUE(All<start_attempt>(out).empty());
  CHECK_TRUE(FailsWith(out, failure_code::kTargetLost, outcome::kUnknown));
}

// Guards against a budget that dead targets use up before the VM list drops
// them.
TEST(Attempts, RefusedConnectionsCostNoBudget) {
  for (int i = 0; i < 20; ++i) {
    const auto first = The<start_attempt>(vm.Call("POST"));
    const auto second = The<start_attempt>(
        vm.Do(attempt_failed{first.attempt, transport_error::kConnectFailed}));
    CHECK_FALSE(second.target == first.target);
    vm.Do(caller_disconnected{second.attempt.request});
  }
}

// Guards against `not-run` for a call whose first bytes leave this VM while
// the deadline passes.
TEST(Attempts, AbandonedCallIsUnknownEvenWhenItLooksUnsent) {
  vm.Call("POST");
  CHECK_TRUE(FailsWith(vm.Wait(10), failure_code::kDeadlineExceeded,
                       outcome::kUnknown));
}

// Guards against `not-run` when an earlier attempt may have run.
TEST(Attempts, RejectionAfterALostAttemptIsUnknown) {
  attempt_id id = The<start_attempt>(vm.Call("GET")).attempt;
  vm.Do(attempt_sent{id});
  id = The<start_attempt>(
           vm.Do(attempt_failed{id, transport_error::kConnectionLost}))
           .attempt;
  id = The<start_attempt>(vm.Do(attempt_rejected{id})).attempt;
  CHECK_TRUE(FailsWith(vm.Do(attempt_rejected{id}),
                       failure_code::kTargetRejected, outcome::kUnknown));
}

// Guards against a second run when the caller goes away and calls again.
TEST(Attempts, OperationGoesOnWithoutItsCaller) {
  const std::string key = vm.Mint();
  const auto started = The<start_attempt>(vm.Call("POST", key));
  CHECK_TRUE(
      All<cancel_attempt>(vm.Do(caller_disconnected{started.attempt.request}))
          .empty());
  CHECK_TRUE(FailsWith(vm.Call("POST", key), failure_code::kOperationInProgress,
                       outcome::kUnknown));
  vm.Do(attempt_accepted{started.attempt, 200, "t"});
  vm.Do(answer_chunk{started.attempt, 0, "released"});
  vm.Do(answer_ended{started.attempt, 8, "stop"});
  const effects again = vm.Call("POST", key);
  CHECK_TRUE(All<start_attempt>(again).empty());
  CHECK_EQUAL(std::string("released"), Text(again));
}

// Guards against a spent key that is refused as not run while draining, and
// against an unspent one that is started then.
TEST(Attempts, DrainingRefusesUnspentKeysAndAnswersSpentOnes) {
  const std::string spent = vm.Mint();
  const std::string unspent = vm.Mint();
  const attempt_id id = The<start_attempt>(vm.Call("POST", spent)).attempt;
  vm.Do(attempt_accepted{id, 200, "t"});
  vm.Do(answer_ended{id, 0, "stop"});
  vm.Do(drain_requested{});
  vm.Wait(1);
  CHECK_EQUAL(1U, All<finish_request>(vm.Call("POST", spent)).size());
  CHECK_TRUE(FailsWith(vm.Call("POST", unspent), failure_code::kDraining,
                       outcome::kNotRun));
}

// Guards against a graceful shutdown that refuses requests during its grace, or
// that ends while a request is in flight.
TEST(Attempts, DrainAcceptsDuringItsGraceAndWaitsForRequests) {
  vm.Do(drain_requested{std::chrono::seconds(2)});
  CHECK_TRUE(All<drain_completed>(vm.Wait(1)).empty());
  const attempt_id id = The<start_attempt>(vm.Complete()).attempt;
  vm.Do(attempt_accepted{id, 200, "t"});
  CHECK_TRUE(All<drain_completed>(vm.Wait(2)).empty());
  CHECK_TRUE(
      FailsWith(vm.Complete(2), failure_code::kDraining, outcome::kNotRun));
  CHECK_TRUE(All<drain_completed>(vm.Do(answer_chunk{id, 0, "x"})).empty());
  const effects last = vm.Do(answer_ended{id, 1, "stop"});
  CHECK_EQUAL(1U, All<finish_request>(last).size());
  CHECK_EQUAL(1U, All<drain_completed>(last).size());
}

// Guards against a client-made key that seems to protect a call, and against
// a fresh key that does not work.
TEST(Attempts, ClientMadeKeyIsAnsweredWithAFreshOne) {
  const auto refusal = The<fail_request>(vm.Call("POST", "my-key"));
  CHECK(refusal.reason.code == failure_code::kOperationKeyRequired);
  CHECK_EQUAL(
      1U, All<start_attempt>(vm.Call("POST", refusal.operation_key)).size());
}

// Guards against a forwarded call whose loss is reported as not run, although
// an earlier one with the same key may have reached the minting VM.
TEST(Attempts, LostForwardIsUnknownAndTheOwnersWordIsPassedOn) {
  one_vm owner;
  owner.value.self.vm = {"vm2"};
  owner.value.self.incarnation = 10;
  const std::string key = owner.Mint();
  vm.Do(peer_learnt{{"vm2"}, 10, "127.0.0.1:2"});
  const auto lost = The<start_attempt>(vm.Call("POST", key));
  CHECK_TRUE(lost.forward);
  CHECK_TRUE(FailsWith(
      vm.Do(attempt_failed{lost.attempt, transport_error::kConnectFailed}),
      failure_code::kOperationOwnerLost, outcome::kUnknown));
  const auto sent = The<start_attempt>(vm.Call("POST", key));
  vm.Do(attempt_accepted{sent.attempt, 503, "t", outcome::kNotRun});
  const auto head = The<deliver_head>(vm.Do(answer_ended{sent.attempt, 0, ""}));
  CHECK(head.result == outcome::kNotRun);
  CHECK_EQUAL(503, head.http_status);
}
