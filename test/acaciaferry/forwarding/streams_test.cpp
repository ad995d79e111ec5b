#include "forwarding/single_vm.hpp"

#include <CppUTest/TestHarness.h>

using namespace acaciaferry;
using namespace acaciaferry::forwarding;
using std::chrono::milliseconds;

TEST_GROUP(ForwardingStreams){};

// Guards against a stream with lost or repeated events: it resumes after the
// last event that was passed on.
TEST(ForwardingStreams, BrokenStreamsResumeAfterTheLastEvent) {
  single_vm fleet;
  const auto first = fleet.Start(call_kind::kStreaming, kModel, 5'000);
  fleet.Sent(first);
  fleet.Post(
      response_started{first.id, 1, response_verdict::kServed, 200, "", {}});
  fleet.Post(response_progressed{first.id, 1, 4});
  fleet.Post(attempt_failed{first.id, 1, attempt_failure::kBroken});
  const auto again = fleet.All<send_attempt>();
  LONGS_EQUAL(1, again.size());
  LONGS_EQUAL(4, again[0].resume_after);
}

// Guards against a stream that is framed as complete although its resumed run
// failed.
TEST(ForwardingStreams, StreamsWhoseResumedRunFailsAreAborted) {
  single_vm fleet;
  const auto first = fleet.Start(call_kind::kStreaming, kModel, 5'000);
  fleet.Sent(first);
  fleet.Post(
      response_started{first.id, 1, response_verdict::kServed, 200, "", {}});
  fleet.Post(response_progressed{first.id, 1, 4});
  fleet.Post(attempt_failed{first.id, 1, attempt_failure::kBroken});
  fleet.Sent(fleet.All<send_attempt>().front());
  fleet.Post(
      response_started{first.id, 2, response_verdict::kFailed, 500, "", {}});
  LONGS_EQUAL(1, fleet.All<abort_response>().size());
  fleet.Post(response_completed{first.id, 2});
  LONGS_EQUAL(0, fleet.All<finish_stream>().size());
  LONGS_EQUAL(0, fleet.All<deliver_response>().size());
}

// Guards against a stream that mixes two runs: one that is not resumable is
// aborted.
TEST(ForwardingStreams, NonResumableStreamsAreAborted) {
  single_vm fleet;
  const auto first = fleet.Start(call_kind::kStreaming, kModel, 5'000, false);
  fleet.Sent(first);
  fleet.Post(
      response_started{first.id, 1, response_verdict::kServed, 200, "", {}});
  fleet.Post(response_progressed{first.id, 1, 4});
  fleet.Post(attempt_failed{first.id, 1, attempt_failure::kBroken});
  LONGS_EQUAL(0, fleet.All<send_attempt>().size());
  LONGS_EQUAL(1, fleet.All<abort_response>().size());
}

// Guards against duplicated events: progress that arrives after its timeout
// belongs to the running attempt, so the stream must not have been resumed
// before it.
TEST(ForwardingStreams, ProgressIsProcessedBeforeTimeouts) {
  single_vm fleet;
  const auto first = fleet.Start(call_kind::kStreaming, kModel, 5'000);
  fleet.Sent(first);
  fleet.Post(
      response_started{first.id, 1, response_verdict::kServed, 200, "", {}});
  fleet.Post(response_progressed{first.id, 1, 1});
  fleet.PostAt(5'000, response_progressed{first.id, 1, 9});
  LONGS_EQUAL(0, fleet.All<send_attempt>().size());
  fleet.PostAt(9'000, timer_fired{});
  const auto again = fleet.All<send_attempt>();
  LONGS_EQUAL(1, again.size());
  LONGS_EQUAL(9, again[0].resume_after);
}

// Guards against distrusting a target that is busy with the prefill of other
// prompts.
TEST(ForwardingStreams, BusyTargetsGetMoreTime) {
  single_vm fleet;
  const auto first = fleet.Start(call_kind::kStreaming, kModel, 5'000);
  fleet.Sent(first);
  job other;
  other.key = 99;
  other.target = first.target;
  other.prefill_time = milliseconds(8'000);
  other.deadline = At(20'000);
  fleet.Post(peer_load_update{{other}, {}, {}});
  fleet.PostAt(1'500, timer_fired{});
  LONGS_EQUAL(0, fleet.All<send_attempt>().size());
}

// Guards against a stream that waits for a target without any activity until
// its caller disconnects.
TEST(ForwardingStreams, StreamsMoveOnFromSilentTargets) {
  single_vm fleet;
  const auto first = fleet.Start(call_kind::kStreaming, kModel, 5'000);
  fleet.Sent(first);
  fleet.PostAt(1'500, timer_fired{});
  const auto again = fleet.All<send_attempt>();
  LONGS_EQUAL(1, again.size());
  CHECK_TRUE(again[0].target != first.target);
}

// Guards against a slow but sound stream that is cut: one that can't go on at
// another target waits for its own until the deadline.
TEST(ForwardingStreams, SlowStreamsThatCannotMoveOnAreNotCut) {
  single_vm fleet;
  const auto first = fleet.Start(call_kind::kStreaming, kModel, 5'000, false);
  fleet.Sent(first);
  fleet.Post(
      response_started{first.id, 1, response_verdict::kServed, 200, "", {}});
  std::uint64_t event = 0;
  for (int ms = 1'500; ms < 9'000; ms += 1'500) {
    fleet.PostAt(ms, timer_fired{});
    LONGS_EQUAL(0, fleet.All<abort_response>().size());
    LONGS_EQUAL(0, fleet.All<cancel_attempt>().size());
    fleet.Post(response_progressed{first.id, 1, ++event});
  }
  fleet.Post(response_completed{first.id, 1});
  LONGS_EQUAL(1, fleet.All<finish_stream>().size());
}

// Guards against a sound stream that is cut because its VM was busy: what has
// arrived meanwhile is read before a target counts as silent.
TEST(ForwardingStreams, PausesOfTheVmAreNoSilenceOfTargets) {
  single_vm fleet;
  const auto first = fleet.StartStream();
  fleet.PostAt(3'000, targets_published{fleet.published});
  LONGS_EQUAL(0, fleet.All<send_attempt>().size());
  LONGS_EQUAL(0, fleet.All<cancel_attempt>().size());
  // The timer was set for a time before the pause ended.
  fleet.Post(timer_fired{At(900)});
  LONGS_EQUAL(0, fleet.All<send_attempt>().size());
  fleet.Post(response_progressed{first.id, 1, 2});
  fleet.Post(response_completed{first.id, 1});
  LONGS_EQUAL(1, fleet.All<finish_stream>().size());
}

// Guards against an attempt that counts as silent because its VM was busy
// between connecting and the moment at which it sent the request.
TEST(ForwardingStreams, SilenceCountsFromTheSendingOfTheRequest) {
  single_vm fleet;
  const auto first = fleet.Start(call_kind::kStreaming, kModel, 5'000);
  fleet.PostAt(2'500, attempt_sent{first.id, 1});
  fleet.Post(timer_fired{At(2'500)});
  LONGS_EQUAL(0, fleet.All<send_attempt>().size());
  fleet.PostAt(4'500, timer_fired{});
  LONGS_EQUAL(1, fleet.All<send_attempt>().size());
}

// Guards against a stream that is cut after a silence of its target because the
// target that should go on with it refuses it.
TEST(ForwardingStreams, SilentStreamsAreNotCutWhenTheNextTargetRefusesThem) {
  single_vm fleet;
  const auto first = fleet.StartStream();
  fleet.PostAt(2'500, timer_fired{});
  const auto second = fleet.All<send_attempt>();
  LONGS_EQUAL(1, second.size());
  LONGS_EQUAL(0, fleet.All<cancel_attempt>().size());
  fleet.Sent(second[0]);
  fleet.Post(
      response_started{first.id, 2, response_verdict::kNotRun, 503, "", {}});
  LONGS_EQUAL(0, fleet.All<abort_response>().size());
  fleet.Post(response_progressed{first.id, 1, 2});
  fleet.Post(response_completed{first.id, 1});
  LONGS_EQUAL(1, fleet.All<finish_stream>().size());
}

// Guards against an engine that works on for nobody, and against a stream that
// ends at the silent target after another one has gone on with it.
TEST(ForwardingStreams, TheSilentAttemptEndsWhenTheNextOneGoesOn) {
  single_vm fleet;
  const auto first = fleet.StartStream();
  fleet.PostAt(2'500, timer_fired{});
  fleet.Sent(fleet.All<send_attempt>().front());
  fleet.Post(
      response_started{first.id, 2, response_verdict::kServed, 200, "", {}});
  LONGS_EQUAL(0, fleet.All<cancel_attempt>().size());
  fleet.Post(response_progressed{first.id, 2, 2});
  LONGS_EQUAL(1, fleet.All<cancel_attempt>().size());
  LONGS_EQUAL(1, fleet.All<cancel_attempt>().front().attempt);
  fleet.Post(attempt_failed{first.id, 1, attempt_failure::kBroken});
  LONGS_EQUAL(0, fleet.last.size());
  fleet.Post(response_completed{first.id, 2});
  LONGS_EQUAL(1, fleet.All<finish_stream>().size());
  LONGS_EQUAL(0, fleet.current.ledger.JobCount());
}

// Guards against connections and jobs that are left behind when a call with two
// attempts ends, however it does.
TEST(ForwardingStreams, BothAttemptsEndWithTheirCall) {
  for (const bool caller_leaves : {true, false}) {
    single_vm fleet;
    const auto first = fleet.StartStream();
    fleet.PostAt(2'500, timer_fired{});
    fleet.Sent(fleet.All<send_attempt>().front());
    if (caller_leaves) {
      fleet.Post(caller_disconnected{first.id});
    } else {
      fleet.PostAt(10'000, timer_fired{});
      LONGS_EQUAL(1, fleet.All<abort_response>().size());
    }
    LONGS_EQUAL(2, fleet.All<cancel_attempt>().size());
    LONGS_EQUAL(0, fleet.current.ledger.JobCount());
    LONGS_EQUAL(0, fleet.current.pending_calls.size());
  }
}

// Guards against a stream that is cut because its silent target breaks off
// while another one is asked to go on.
TEST(ForwardingStreams, ASilentTargetThatBreaksOffDoesNotEndTheNextAttempt) {
  single_vm fleet;
  const auto first = fleet.StartStream();
  fleet.PostAt(2'500, timer_fired{});
  fleet.Sent(fleet.All<send_attempt>().front());
  fleet.Post(attempt_failed{first.id, 1, attempt_failure::kBroken});
  LONGS_EQUAL(0, fleet.All<abort_response>().size());
  LONGS_EQUAL(0, fleet.All<send_attempt>().size());
  fleet.Post(response_progressed{first.id, 2, 2});
  fleet.Post(response_completed{first.id, 2});
  LONGS_EQUAL(1, fleet.All<finish_stream>().size());
}

// Guards against streams that wait for targets in a domain that is cut off, and
// against abandoning targets there that still respond.
TEST(ForwardingStreams, StreamsMoveOnFromDomainsThatAreCutOff) {
  for (const bool answers : {false, true}) {
    single_vm fleet;
    const auto first = fleet.Start(call_kind::kStreaming, kModel, 5'000);
    fleet.Sent(first);
    fleet.now = At(600);
    if (answers) {
      fleet.Post(response_started{
          first.id, 1, response_verdict::kServed, 200, "", {}});
    }
    fleet.Post(domains_cut_off{{{""}}});
    fleet.Post(timer_fired{});
    LONGS_EQUAL(answers ? 0 : 1, fleet.All<send_attempt>().size());
    LONGS_EQUAL(answers ? 0 : 1, fleet.current.cut_off.size());
  }
}
