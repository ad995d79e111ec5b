#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "acaciaferry/reducer/reduce.hpp"

#include <CppUTest/TestHarness.h>

using namespace acaciaferry;

namespace {

// One VM with three engines and three service targets. The test advances the
// clock.
struct single_vm {
  state value;
  time_point now{std::chrono::hours(1)};
  std::uint64_t next_sequence{1};

  single_vm() {
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
    Apply(deployment_received{config});
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
    Apply(list);
  }

  effects Apply(const event& occurred) { return Reduce(value, occurred, now); }

  // Advances in steps that are too short to count as a pause of the process.
  effects Wait(int seconds) {
    effects all;
    for (int i = 0; i < seconds; ++i) {
      now += std::chrono::seconds(1);
      for (effect& each : Apply(timer_expired{})) {
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
    return Apply(request_arrived{sent});
  }

  effects Call(const std::string& method, const std::string& key = "") {
    request sent;
    sent.id = {9, next_sequence++};
    sent.kind = request_kind::kServiceCall;
    sent.pool = {"kiosk"};
    sent.method = method;
    sent.idempotency_key = key;
    return Apply(request_arrived{sent});
  }

  std::string Mint() {
    return MintKey(value.operations, value.self.vm, value.self.incarnation, now)
        ->text;
  }
};

template <typename Kind>
std::vector<Kind> EffectsOf(const effects& from) {
  std::vector<Kind> found;
  for (const effect& each : from) {
    if (const auto* const match = std::get_if<Kind>(&each)) {
      found.push_back(*match);
    }
  }
  return found;
}

template <typename Kind>
Kind Single(const effects& from) {
  const auto found = EffectsOf<Kind>(from);
  CHECK_EQUAL(1U, found.size());
  return found.front();
}

std::string DeliveredText(const effects& from) {
  std::string text;
  for (const auto& chunk : EffectsOf<deliver_chunk>(from)) {
    text += chunk.text;
  }
  return text;
}

// Other modules may add effects for targets and peers.
bool HasNoRequestEffects(const effects& out) {
  return EffectsOf<start_attempt>(out).empty() &&
         EffectsOf<resume_attempt>(out).empty() &&
         EffectsOf<cancel_attempt>(out).empty() &&
         EffectsOf<count_retry>(out).empty() &&
         EffectsOf<deliver_chunk>(out).empty() &&
         EffectsOf<fail_request>(out).empty() &&
         EffectsOf<finish_request>(out).empty();
}

bool FailsWith(const effects& from, failure_code code, outcome result) {
  const failure reason = Single<fail_request>(from).reason;
  return reason.code == code && reason.result == result;
}

}  // namespace

TEST_GROUP(Attempts) {
  single_vm vm;
};

// Guards against a stream that stalls for ever, and against bytes that are sent
// to the caller twice after it is resumed.
TEST(Attempts, SilentStreamIsResumedFromItsOffset) {
  const attempt_id id = Single<start_attempt>(vm.Complete()).attempt;
  vm.Apply(attempt_sent{id});
  vm.Apply(answer_chunk{id, 0, "abc"});
  CHECK_TRUE(HasNoRequestEffects(vm.Wait(2)));
  vm.Apply(attempt_progressed{id});
  CHECK_TRUE(EffectsOf<resume_attempt>(vm.Wait(2)).empty());
  const auto resumed = Single<resume_attempt>(vm.Wait(2));
  CHECK_EQUAL(3U, resumed.offset);
  CHECK_EQUAL(1U, resumed.connection_number);
  // A failure of the replaced connection is ignored.
  CHECK_TRUE(
      vm.Apply(attempt_failed{id, transport_error::kConnectionLost}).empty());
  const effects end = [&] {
    vm.Apply(answer_chunk{id, 3, "def"});
    return vm.Apply(answer_ended{id, 6, "stop"});
  }();
  CHECK_EQUAL(1U, EffectsOf<finish_request>(end).size());
}

// Guards against waiting for a target that has lost the stream or stopped, and
// against memory that an abandoned stream keeps on the target.
TEST(Attempts, LostStreamFailsOverAndIsCancelled) {
  for (const bool target_answers : {true, false}) {
    const auto first = Single<start_attempt>(vm.Complete());
    vm.Apply(answer_chunk{first.attempt, 0, "abc"});
    const auto resumed = Single<resume_attempt>(vm.Wait(3));
    const effects out =
        target_answers ? vm.Apply(attempt_failed{
                             first.attempt, transport_error::kUnknownStream,
                             resumed.connection_number})
                       : vm.Wait(3);
    CHECK_TRUE(Single<cancel_attempt>(out).attempt == first.attempt);
    const auto second = Single<start_attempt>(out);
    CHECK_FALSE(second.target == first.target);
    CHECK_TRUE(second.remaining < first.remaining);
    CHECK_EQUAL(
        std::string("d"),
        DeliveredText(vm.Apply(answer_chunk{second.attempt, 0, "abcd"})));
    CHECK_TRUE(vm.Apply(answer_ended{first.attempt, 3, "stop"}).empty());
    CHECK_EQUAL(1U, EffectsOf<finish_request>(
                        vm.Apply(answer_ended{second.attempt, 4, "stop"}))
                        .size());
  }
}

// Guards against streams that are abandoned because this process was paused.
TEST(Attempts, PauseOfThisProcessDoesNotStallStreams) {
  vm.Complete();
  vm.now += std::chrono::seconds(20);
  CHECK_TRUE(HasNoRequestEffects(vm.Apply(timer_expired{})));
  CHECK_EQUAL(1U, EffectsOf<resume_attempt>(vm.Wait(3)).size());
}

// Guards against a second answer that ends before the bytes that the caller
// already has.
TEST(Attempts, ShorterSecondAnswerFailsAsCorrupt) {
  const attempt_id first = Single<start_attempt>(vm.Complete()).attempt;
  vm.Apply(answer_chunk{first, 0, "abc"});
  const attempt_id second =
      Single<start_attempt>(
          vm.Apply(attempt_failed{first, transport_error::kConnectionLost}))
          .attempt;
  vm.Apply(answer_chunk{second, 0, "ab"});
  CHECK_TRUE(FailsWith(vm.Apply(answer_ended{second, 2, "stop"}),
                       failure_code::kAnswerCorrupt, outcome::kUnknown));
}

// Guards against `not-run` from a target that has begun to answer.
TEST(Attempts, RejectionAfterAcceptanceIsUnknown) {
  const attempt_id id = Single<start_attempt>(vm.Call("POST")).attempt;
  vm.Apply(attempt_accepted{id, 200, "t"});
  CHECK_TRUE(FailsWith(vm.Apply(attempt_rejected{id}),
                       failure_code::kAnswerCorrupt, outcome::kUnknown));
}

// Guards against two suspects that are retried on the same target: each waits
// for a target without another suspect.
TEST(Attempts, SuspectsAreRetriedOnDifferentTargets) {
  std::vector<start_attempt> sent;
  for (std::uint64_t fingerprint = 1; fingerprint <= 9; ++fingerprint) {
    sent.push_back(Single<start_attempt>(vm.Complete(fingerprint)));
    vm.Apply(attempt_accepted{sent.back().attempt, 200, ""});
  }
  // e2 and e3 keep one request each, so a suspect may be started there.
  for (const std::size_t ended : {1U, 2U, 4U, 5U}) {
    vm.Apply(answer_ended{sent[ended].attempt, 0, "stop"});
  }
  std::vector<start_attempt> retried;
  for (const std::size_t lost : {0U, 3U, 6U}) {
    CHECK_EQUAL(std::string("e1"), sent[lost].target.value);
    for (const auto& start : EffectsOf<start_attempt>(vm.Apply(attempt_failed{
             sent[lost].attempt, transport_error::kConnectionLost}))) {
      retried.push_back(start);
    }
  }
  CHECK_EQUAL(2U, retried.size());
  CHECK_FALSE(retried[0].target == retried[1].target);
  const effects out = vm.Apply(answer_ended{retried[0].attempt, 0, "stop"});
  CHECK_TRUE(Single<start_attempt>(out).target == retried[0].target);
}

// Guards against copies of a crashing prompt that continue on other targets
// after it was quarantined.
TEST(Attempts, QuarantineCancelsRunningCopies) {
  std::vector<attempt_id> copies;
  for (const char* const engine : {"e1", "e2", "e3"}) {
    load_report report;
    report.target = {engine};
    report.incarnation = 1;
    report.sequence = 1;
    report.running = 1;
    vm.Apply(load_report_received{report});
    copies.push_back(Single<start_attempt>(vm.Complete()).attempt);
    vm.Apply(attempt_accepted{copies.back(), 200, ""});
  }
  vm.Apply(attempt_failed{copies[0], transport_error::kConnectionLost});
  const effects out =
      vm.Apply(attempt_failed{copies[1], transport_error::kConnectionLost});
  CHECK_EQUAL(3U, EffectsOf<fail_request>(out).size());
  CHECK_TRUE(EffectsOf<cancel_attempt>(out).back().attempt == copies[2]);
  CHECK_TRUE(
      FailsWith(vm.Complete(), failure_code::kQuarantined, outcome::kNotRun));
}

// Guards against an answer with the status of one attempt and the body of
// another.
TEST(Attempts, ServiceAnswerComesFromOneAttempt) {
  const auto first = Single<start_attempt>(vm.Call("GET"));
  effects out = vm.Apply(attempt_accepted{first.attempt, 404, "text/old"});
  CHECK_TRUE(out.empty());
  CHECK_TRUE(vm.Apply(answer_chunk{first.attempt, 0, "old"}).empty());
  out =
      vm.Apply(attempt_failed{first.attempt, transport_error::kConnectionLost});
  const auto second = Single<start_attempt>(out);
  vm.Apply(answer_chunk{second.attempt, 0, "new"});
  vm.Apply(attempt_accepted{second.attempt, 200, "text/new"});
  out = vm.Apply(answer_ended{second.attempt, 3, "stop"});
  CHECK_EQUAL(200, Single<deliver_head>(out).http_status);
  CHECK_EQUAL(std::string("new"), DeliveredText(out));
}

// Guards against a retry after the start of a long answer was delivered.
TEST(Attempts, LongServiceAnswerIsNotRetriedOnceDelivered) {
  const attempt_id id = Single<start_attempt>(vm.Call("GET")).attempt;
  vm.Apply(attempt_accepted{id, 200, "t"});
  const std::string large((1 << 20) + 1, 'x');
  const effects out = vm.Apply(answer_chunk{id, 0, large});
  CHECK_EQUAL(1U, EffectsOf<deliver_head>(out).size());
  CHECK_TRUE(
      FailsWith(vm.Apply(attempt_failed{id, transport_error::kConnectionLost}),
                failure_code::kTargetLost, outcome::kUnknown));
}

// Guards against a second attempt of a call that may have been sent, and
// against failing a call that certainly was not.
TEST(Attempts, NonIdempotentCallIsSentOnce) {
  const auto first = Single<start_attempt>(vm.Call("POST"));
  const auto second = Single<start_attempt>(
      vm.Apply(attempt_failed{first.attempt, transport_error::kConnectFailed}));
  vm.Apply(attempt_sent{second.attempt});
  const effects out = vm.Apply(
      attempt_failed{second.attempt, transport_error::kConnectionLost});
  CHECK_TRUE(EffectsOf<start_attempt>(out).empty());
  CHECK_TRUE(FailsWith(out, failure_code::kTargetLost, outcome::kUnknown));
}

// Guards against a retry budget that is used up by dead targets that the VM
// list still contains.
TEST(Attempts, RefusedConnectionsUseNoRetryBudget) {
  for (int i = 0; i < 20; ++i) {
    const auto first = Single<start_attempt>(vm.Call("POST"));
    const auto second = Single<start_attempt>(vm.Apply(
        attempt_failed{first.attempt, transport_error::kConnectFailed}));
    CHECK_FALSE(second.target == first.target);
    vm.Apply(caller_disconnected{second.attempt.request});
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
  attempt_id id = Single<start_attempt>(vm.Call("GET")).attempt;
  vm.Apply(attempt_sent{id});
  id = Single<start_attempt>(
           vm.Apply(attempt_failed{id, transport_error::kConnectionLost}))
           .attempt;
  id = Single<start_attempt>(vm.Apply(attempt_rejected{id})).attempt;
  CHECK_TRUE(FailsWith(vm.Apply(attempt_rejected{id}),
                       failure_code::kTargetRejected, outcome::kUnknown));
}

// Guards against a second execution when the caller disconnects and calls
// again.
TEST(Attempts, OperationContinuesAfterItsCallerDisconnects) {
  const std::string key = vm.Mint();
  const auto started = Single<start_attempt>(vm.Call("POST", key));
  CHECK_TRUE(EffectsOf<cancel_attempt>(
                 vm.Apply(caller_disconnected{started.attempt.request}))
                 .empty());
  CHECK_TRUE(FailsWith(vm.Call("POST", key), failure_code::kOperationInProgress,
                       outcome::kUnknown));
  vm.Apply(attempt_accepted{started.attempt, 200, "t"});
  vm.Apply(answer_chunk{started.attempt, 0, "released"});
  vm.Apply(answer_ended{started.attempt, 8, "stop"});
  const effects again = vm.Call("POST", key);
  CHECK_TRUE(EffectsOf<start_attempt>(again).empty());
  CHECK_EQUAL(std::string("released"), DeliveredText(again));
}

// Guards against a drain that refuses a spent key as not run or starts the call
// of an unspent key.
TEST(Attempts, DrainingRefusesUnspentKeysAndAnswersSpentOnes) {
  const std::string spent = vm.Mint();
  const std::string unspent = vm.Mint();
  const attempt_id id = Single<start_attempt>(vm.Call("POST", spent)).attempt;
  vm.Apply(attempt_accepted{id, 200, "t"});
  vm.Apply(answer_ended{id, 0, "stop"});
  vm.Apply(drain_requested{});
  vm.Wait(1);
  CHECK_EQUAL(1U, EffectsOf<finish_request>(vm.Call("POST", spent)).size());
  CHECK_TRUE(FailsWith(vm.Call("POST", unspent), failure_code::kDraining,
                       outcome::kNotRun));
}

// Guards against a graceful shutdown that refuses requests during its grace
// period, or that ends while a request is in flight.
TEST(Attempts, DrainAcceptsDuringItsGraceAndWaitsForRequests) {
  vm.Apply(drain_requested{std::chrono::seconds(2)});
  CHECK_TRUE(EffectsOf<drain_completed>(vm.Wait(1)).empty());
  const attempt_id id = Single<start_attempt>(vm.Complete()).attempt;
  vm.Apply(attempt_accepted{id, 200, "t"});
  CHECK_TRUE(EffectsOf<drain_completed>(vm.Wait(2)).empty());
  CHECK_TRUE(
      FailsWith(vm.Complete(2), failure_code::kDraining, outcome::kNotRun));
  CHECK_TRUE(
      EffectsOf<drain_completed>(vm.Apply(answer_chunk{id, 0, "x"})).empty());
  const effects last = vm.Apply(answer_ended{id, 1, "stop"});
  CHECK_EQUAL(1U, EffectsOf<finish_request>(last).size());
  CHECK_EQUAL(1U, EffectsOf<drain_completed>(last).size());
}

// Guards against a key of the caller's own making that is accepted for a
// non-idempotent call, and against a new key that does not work.
TEST(Attempts, CallersOwnKeyIsAnsweredWithANewKey) {
  const auto refusal = Single<fail_request>(vm.Call("POST", "my-key"));
  CHECK(refusal.reason.code == failure_code::kOperationKeyRequired);
  CHECK_EQUAL(
      1U,
      EffectsOf<start_attempt>(vm.Call("POST", refusal.operation_key)).size());
}

// Guards against a forwarded call whose loss is reported as not run, although
// an earlier one with the same key may have reached the minting VM.
TEST(Attempts, LostForwardIsUnknownAndReportedOutcomeIsDelivered) {
  single_vm owner;
  owner.value.self.vm = {"vm2"};
  owner.value.self.incarnation = 10;
  const std::string key = owner.Mint();
  vm.Apply(peer_discovered{{"vm2"}, 10, "127.0.0.1:2"});
  const auto lost = Single<start_attempt>(vm.Call("POST", key));
  CHECK_TRUE(lost.forward);
  CHECK_TRUE(FailsWith(
      vm.Apply(attempt_failed{lost.attempt, transport_error::kConnectFailed}),
      failure_code::kOperationOwnerLost, outcome::kUnknown));
  const auto sent = Single<start_attempt>(vm.Call("POST", key));
  vm.Apply(attempt_accepted{sent.attempt, 503, "t", outcome::kNotRun});
  const auto head =
      Single<deliver_head>(vm.Apply(answer_ended{sent.attempt, 0, ""}));
  CHECK(head.result == outcome::kNotRun);
  CHECK_EQUAL(503, head.http_status);
}
