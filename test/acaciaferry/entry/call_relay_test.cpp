#include "acaciaferry/entry/call_relay.hpp"

#include <algorithm>
#include <memory>

#include "net/loopback.hpp"
#include "platform_dialect.hpp"

#include <CppUTest/TestHarness.h>

using namespace acaciaferry;
using namespace acaciaferry::entry;

namespace {

const std::string kStamp =
    "Acaciaferry-Engine-Stamp: s1\r\nAcaciaferry-Attempt-Id: a1\r\n";
// Of all answers of a fixture together.
constexpr std::size_t kMaxMemory = 1U << 20U;
// Of the body that the caller sends at a time.
constexpr std::size_t kBlockBytes = 1U << 16U;
const std::string kStreamHead =
    "HTTP/1.1 200 OK\r\n" + kStamp +
    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

std::string Chunk(const std::string& bytes) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string size;
  for (std::size_t left = bytes.size(); left > 0; left /= 16) {
    size.insert(size.begin(), kDigits[left % 16]);
  }
  return size + "\r\n" + bytes + "\r\n";
}

std::string Event(int id) {
  return Chunk("id: " + std::to_string(id) + "\ndata: x\n\n");
}

// A caller with one call, and the relay of that call. The test plays the
// targets, and decides on attempts in place of the reducer.
struct fixture {
  explicit fixture(
      forwarding::call_kind kind = forwarding::call_kind::kStreaming,
      std::size_t body_bytes = 0)
      : listener(loop),
        server(loop,
               [this, kind](std::shared_ptr<net::server_exchange> caller) {
                 parsed_request parsed;
                 parsed.call.id = 1;
                 parsed.call.caller_request_id = "a1";
                 parsed.call.kind = kind;
                 parsed.call.resumable = true;
                 parsed.forwarded_head = caller->head;
                 relay = std::make_shared<call_relay>(
                     loop, *protocol, caller, std::move(parsed),
                     [this](const forwarding::event& event) {
                       events.push_back(event);
                     },
                     &memory);
               }) {
    static_cast<void>(server.Listen("127.0.0.1:0"));
    caller = std::make_unique<net::raw_connection>(
        net::raw_connection::To(loop, server.Port()));
    caller->Send("POST /s/ HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                 std::to_string(body_bytes) + "\r\n\r\n");
    const std::string block(kBlockBytes, 'x');
    for (std::size_t sent = 0; sent < body_bytes; sent += kBlockBytes) {
      caller->Send(block);
      loop.poll();
    }
    CHECK_TRUE(net::RunUntil(loop, [this] { return relay != nullptr; }));
  }

  void Send(std::uint32_t number, std::uint64_t resume_after = 0) {
    forwarding::send_attempt attempt;
    attempt.id = 1;
    attempt.attempt = number;
    attempt.target = {"e"};
    attempt.address = listener.Address();
    attempt.resume_after = resume_after;
    relay->SendAttempt(attempt);
  }

  // Starts an attempt and returns the target's side of its connection.
  net::raw_connection Attempt(std::uint32_t number,
                              std::uint64_t resume_after = 0) {
    Send(number, resume_after);
    loop.restart();
    loop.run_for(std::chrono::milliseconds(5));
    return listener.Accept();
  }

  template <typename Event>
  [[nodiscard]] std::vector<Event> All() const {
    std::vector<Event> found;
    for (const forwarding::event& each : events) {
      if (const auto* one = std::get_if<Event>(&each)) {
        found.push_back(*one);
      }
    }
    return found;
  }

  template <typename Event>
  bool Reported(std::size_t count = 1) {
    return net::RunUntil(loop, [&] { return All<Event>().size() >= count; });
  }

  // Lets a target send the first bytes of an answer, and close or reset its
  // connection, until the attempt has ended.
  void SendAndEnd(net::raw_connection target,
                  const std::string& bytes,
                  bool with_reset) {
    const std::size_t failed = All<forwarding::attempt_failed>().size();
    target.Send(bytes);
    CHECK_TRUE(net::RunUntil(loop, [&] { return target.Has("POST"); }));
    with_reset ? target.Reset() : target.Close();
    CHECK_TRUE(Reported<forwarding::attempt_failed>(failed + 1));
  }

  // Lets a first target send two events and break off.
  void BreakOff() {
    auto target = Attempt(1);
    target.Send(kStreamHead + Event(1) + Event(2));
    CHECK_TRUE(Reported<forwarding::response_progressed>());
    CHECK_TRUE(net::RunUntil(loop, [&] { return target.Has("POST"); }));
    target.Close();
    CHECK_TRUE(Reported<forwarding::attempt_failed>());
  }

  net::memory_account memory{kMaxMemory};
  boost::asio::io_context loop;
  net::raw_listener listener;
  std::unique_ptr<dialect> protocol = platform_adapter::MakeDialect();
  std::vector<forwarding::event> events;
  std::shared_ptr<call_relay> relay;
  net::http_server server;
  std::unique_ptr<net::raw_connection> caller;
};

}  // namespace

TEST_GROUP(CallRelay){};

// Guards against a stream that is framed as complete, or that carries bytes of
// another kind of response, because the target that should resume it answers
// with something else below status 400.
TEST(CallRelay, OnlyAStreamOfTheSameKindResumesAStream) {
  const std::vector<std::string> heads{
      "HTTP/1.1 204 No Content\r\n" + kStamp + "\r\n",
      "HTTP/1.1 302 Found\r\n" + kStamp + "Content-Length: 0\r\n\r\n",
      "HTTP/1.1 206 Partial Content\r\n" + kStamp +
          "Content-Type: text/event-stream\r\nContent-Length: 0\r\n\r\n",
      "HTTP/1.1 200 OK\r\n" + kStamp +
          "Content-Type: text/plain\r\nContent-Length: 7\r\n\r\nerror\n\n"};
  for (const std::string& head : heads) {
    fixture call;
    call.BreakOff();
    auto target = call.Attempt(2, 2);
    target.Send(head);
    CHECK_TRUE(call.Reported<forwarding::response_started>(2));
    CHECK_TRUE(call.All<forwarding::response_started>().back().verdict ==
               forwarding::response_verdict::kUnusable);
    CHECK_FALSE(call.caller->Has("error"));
  }
}

// Guards against a resumed stream that is refused although it is sound.
TEST(CallRelay, AResumedStreamGoesOn) {
  fixture call;
  call.BreakOff();
  auto target = call.Attempt(2, 2);
  target.Send(kStreamHead + Event(3) + "0\r\n\r\n");
  CHECK_TRUE(call.Reported<forwarding::response_completed>());
  call.relay->FinishStream();
  CHECK_TRUE(
      net::RunUntil(call.loop, [&] { return call.caller->Has("0\r\n\r\n"); }));
  for (const int id : {1, 2, 3}) {
    CHECK_TRUE(call.caller->Has("id: " + std::to_string(id)));
  }
}

// Guards against events that reach the caller twice, and against a stream that
// is cut, while a second target goes on with a stream that fell silent.
TEST(CallRelay, TheFirstOfTwoAttemptsThatGoesOnIsKept) {
  for (const bool silent_one_goes_on : {true, false}) {
    fixture call;
    auto first = call.Attempt(1);
    first.Send(kStreamHead + Event(1) + Event(2));
    CHECK_TRUE(call.Reported<forwarding::response_progressed>());
    auto second = call.Attempt(2, 2);
    auto& kept = silent_one_goes_on ? first : second;
    auto& left = silent_one_goes_on ? second : first;
    kept.Send((silent_one_goes_on ? "" : kStreamHead) + Event(3));
    CHECK_TRUE(call.Reported<forwarding::response_progressed>(2));
    CHECK_TRUE(net::RunUntil(call.loop, [&] { return left.Ended(); }));
    left.Send((silent_one_goes_on ? kStreamHead : "") + Event(3) + Event(4));
    kept.Send(Event(4) + "0\r\n\r\n");
    CHECK_TRUE(call.Reported<forwarding::response_completed>());
    call.relay->FinishStream();
    CHECK_TRUE(net::RunUntil(call.loop,
                             [&] { return call.caller->Has("0\r\n\r\n"); }));
    const std::string answer = call.caller->Received();
    for (const std::string id : {"id: 1", "id: 2", "id: 3", "id: 4"}) {
      CHECK_TRUE(answer.find(id) != std::string::npos);
      CHECK_TRUE(answer.find(id) == answer.rfind(id));
    }
  }
}

// Guards against a silent stream that is cut because the next target refuses
// it.
TEST(CallRelay, ARefusalLeavesTheSilentAttemptOpen) {
  fixture call;
  auto first = call.Attempt(1);
  first.Send(kStreamHead + Event(1));
  CHECK_TRUE(call.Reported<forwarding::response_progressed>());
  auto second = call.Attempt(2, 1);
  second.Send(
      "HTTP/1.1 503 Full\r\nAcaciaferry-Attempt-Id: a1\r\n"
      "Acaciaferry-Not-Executed: 1\r\nContent-Length: 4\r\n\r\n");
  CHECK_TRUE(call.Reported<forwarding::response_started>(2));
  call.relay->CancelAttempt(2);
  first.Send(Event(2) + "0\r\n\r\n");
  CHECK_TRUE(call.Reported<forwarding::response_completed>());
  LONGS_EQUAL(1, call.All<forwarding::response_completed>().front().attempt);
}

// Guards against the text or the head of an error in the middle of a stream.
TEST(CallRelay, AnErrorOfTheNextTargetDoesNotReachAStreamThatHasBegun) {
  fixture call;
  call.BreakOff();
  auto target = call.Attempt(2, 2);
  target.Send("HTTP/1.1 500 Broken\r\n" + kStamp +
              "Content-Length: 8\r\n\r\nsecrets\n");
  CHECK_TRUE(call.Reported<forwarding::response_completed>());
  call.relay->Abort();
  CHECK_TRUE(net::RunUntil(call.loop, [&] { return call.caller->Ended(); }));
  CHECK_FALSE(call.caller->Has("secrets"));
  CHECK_FALSE(call.caller->Has("Broken"));
  CHECK_FALSE(call.caller->Has("0\r\n\r\n"));
}

// Guards against an answer that breaks off anywhere and reaches its caller as
// complete: in the head of a chunk, in its bytes, in an event, in the trailer.
TEST(CallRelay, AStreamThatBreaksOffAnywhereIsNotComplete) {
  const std::string whole = kStreamHead + Event(1) + Event(2) + "0\r\n\r\n";
  for (std::size_t cut = 0; cut < whole.size(); ++cut) {
    fixture call;
    auto target = call.Attempt(1);
    target.Send(whole.substr(0, cut));
    CHECK_TRUE(net::RunUntil(call.loop, [&] { return target.Has("POST"); }));
    target.Close();
    CHECK_TRUE(call.Reported<forwarding::attempt_failed>());
    LONGS_EQUAL(0, call.All<forwarding::response_completed>().size());
    CHECK_FALSE(call.caller->Has("0\r\n\r\n"));
  }
}

// Guards against a part of an answer that reaches its caller as complete
// because its target resets the connection while the request is written.
TEST(CallRelay, AnAnswerThatIsResetDuringTheRequestIsNotComplete) {
  constexpr std::size_t kUploadBytes = 64 * kBlockBytes;
  constexpr int kMaxTurns = 8;
  for (const auto kind : {forwarding::call_kind::kStreaming,
                          forwarding::call_kind::kNonIdempotent}) {
    for (int turns = 0; turns < kMaxTurns; ++turns) {
      fixture call(kind, kUploadBytes);
      call.Send(1);
      CHECK_TRUE(net::RunOneByOneUntil(call.loop, [&] {
        return !call.All<forwarding::attempt_sent>().empty();
      }));
      auto target = call.listener.Accept();
      target.Send("HTTP/1.1 200 OK\r\n" + kStamp +
                  "Content-Type: text/event-stream\r\n\r\n"
                  "id: 1\ndata: x\n\n");
      CHECK_TRUE(net::RunOneByOneUntil(call.loop, [&] {
        return !call.All<forwarding::response_started>().empty();
      }));
      for (int turn = 0; turn < turns; ++turn) {
        net::RunOne(call.loop);
      }
      target.Reset();
      CHECK_TRUE(call.Reported<forwarding::attempt_failed>());
      CHECK_TRUE(call.All<forwarding::attempt_failed>().front().how ==
                 forwarding::attempt_failure::kBroken);
      LONGS_EQUAL(0, call.All<forwarding::response_completed>().size());
    }
  }
}

// Guards against a collected answer that breaks off and reaches its caller.
TEST(CallRelay, AnAnswerThatBreaksOffAnywhereIsNotDelivered) {
  const std::string whole = "HTTP/1.1 200 OK\r\n" + kStamp +
                            "Transfer-Encoding: chunked\r\n\r\n" +
                            Chunk("done") + "0\r\nX-Sum: 1\r\n\r\n";
  for (std::size_t cut = 0; cut < whole.size(); ++cut) {
    fixture call(forwarding::call_kind::kNonIdempotent);
    auto target = call.Attempt(1);
    target.Send(whole.substr(0, cut));
    CHECK_TRUE(net::RunUntil(call.loop, [&] { return target.Has("POST"); }));
    target.Close();
    CHECK_TRUE(call.Reported<forwarding::attempt_failed>());
    STRCMP_EQUAL("", call.caller->Received().c_str());
  }
}

// Guards against a second copy of an answer, or an earlier refusal written once
// more, that is taken for the answer to another request: the id tells them
// apart, and no connection to a target serves two requests.
TEST(CallRelay, AnswersToOtherRequestsAreSkipped) {
  fixture call(forwarding::call_kind::kNonIdempotent);
  auto target = call.Attempt(1);
  const std::string earlier =
      "HTTP/1.1 503 Full\r\nAcaciaferry-Attempt-Id: a0\r\n"
      "Acaciaferry-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
  const std::string own =
      "HTTP/1.1 200 OK\r\n" + kStamp + "Content-Length: 4\r\n\r\ndone";
  target.Send(earlier + own + own + earlier);
  CHECK_TRUE(call.Reported<forwarding::response_completed>());
  const auto heads = call.All<forwarding::response_started>();
  LONGS_EQUAL(1, heads.size());
  LONGS_EQUAL(200, heads.front().status);
  CHECK_TRUE(net::RunUntil(call.loop, [&] { return target.Ended(); }));
}

// Guards against a stalled stream that never ends, since its target sends a
// byte now and then: only events are progress.
TEST(CallRelay, BytesWithoutEventsAreNoProgress) {
  fixture call;
  auto target = call.Attempt(1);
  target.Send(kStreamHead);
  for (const std::string_view bytes : {": wait\n\n", "\n", "\n", ": x"}) {
    target.Send(Chunk(std::string(bytes)));
    call.loop.restart();
    call.loop.run_for(std::chrono::milliseconds(2));
  }
  CHECK_TRUE(call.Reported<forwarding::response_started>());
  LONGS_EQUAL(0, call.All<forwarding::response_progressed>().size());
  STRCMP_EQUAL("", call.caller->Received().c_str());
  // What no event has followed is a part of the answer all the same.
  target.Send(Chunk("\n\n") + Event(1) + Chunk(": end\n\n") + "0\r\n\r\n");
  CHECK_TRUE(call.Reported<forwarding::response_completed>());
  LONGS_EQUAL(1, call.All<forwarding::response_progressed>().size());
  call.relay->FinishStream();
  CHECK_TRUE(
      net::RunUntil(call.loop, [&] { return call.caller->Has("0\r\n\r\n"); }));
  CHECK_TRUE(call.caller->Has(": wait"));
  CHECK_TRUE(call.caller->Has(": end"));
}

// Guards against the faulty bytes of one target that reach the caller of
// another request: what follows an answer on its connection is never read.
TEST(CallRelay, BytesAfterAnAnswerReachNobody) {
  fixture call(forwarding::call_kind::kNonIdempotent);
  auto target = call.Attempt(1);
  target.Send("HTTP/1.1 200 OK\r\n" + kStamp +
              "Content-Length: 4\r\n\r\ndoneHTTP/1.1 200 OK\r\n" + kStamp +
              "Content-Length: 6\r\n\r\nsecond");
  CHECK_TRUE(call.Reported<forwarding::response_completed>());
  call.relay->DeliverCollected();
  CHECK_TRUE(
      net::RunUntil(call.loop, [&] { return call.caller->Has("done"); }));
  CHECK_TRUE(net::RunUntil(call.loop, [&] { return target.Ended(); }));
  CHECK_FALSE(call.caller->Has("second"));
  LONGS_EQUAL(1, call.All<forwarding::response_completed>().size());
}

// Guards against a head that breaks off, in good order or with a reset, and is
// taken for a whole one with an empty or short body: at any byte, so also after
// a field without the empty line, and in the digits of a length.
TEST(CallRelay, AHeadThatBreaksOffAnywhereIsNoAnswer) {
  const std::vector<std::string> framings{
      "Content-Length: 12\r\n", "Transfer-Encoding: chunked\r\n",
      "Content-Length: 0\r\n", "Connection: close\r\n"};
  for (const std::string& framing : framings) {
    const std::string head = "HTTP/1.1 200 OK\r\n" + kStamp + framing + "\r\n";
    for (std::size_t cut = 0; cut < head.size(); ++cut) {
      for (const bool with_reset : {false, true}) {
        fixture call(forwarding::call_kind::kNonIdempotent);
        call.SendAndEnd(call.Attempt(1), head.substr(0, cut), with_reset);
        CHECK_TRUE(call.All<forwarding::attempt_failed>().back().how ==
                   forwarding::attempt_failure::kNoResponse);
        LONGS_EQUAL(0, call.All<forwarding::response_started>().size());
        LONGS_EQUAL(0, call.All<forwarding::response_completed>().size());
        STRCMP_EQUAL("", call.caller->Received().c_str());
      }
    }
  }
}

// Guards against a body that is shorter than its head says, which reaches its
// caller framed as whole.
TEST(CallRelay, AShortBodyIsNoAnswer) {
  const std::string head =
      "HTTP/1.1 200 OK\r\n" + kStamp + "Content-Length: 12\r\n\r\n";
  for (std::size_t bytes = 0; bytes < 12; ++bytes) {
    for (const bool with_reset : {false, true}) {
      fixture call(forwarding::call_kind::kNonIdempotent);
      call.SendAndEnd(call.Attempt(1), head + std::string(bytes, 'x'),
                      with_reset);
      LONGS_EQUAL(0, call.All<forwarding::response_completed>().size());
      STRCMP_EQUAL("", call.caller->Received().c_str());
    }
  }
}

// Guards against a stream that ends as complete, or gets bytes of a head,
// because the head of its first or resumed run breaks off.
TEST(CallRelay, AStreamWhoseHeadBreaksOffIsNotComplete) {
  for (std::size_t cut = 0; cut < kStreamHead.size(); ++cut) {
    for (const bool with_reset : {false, true}) {
      fixture call;
      call.SendAndEnd(call.Attempt(1), kStreamHead.substr(0, cut), with_reset);
      STRCMP_EQUAL("", call.caller->Received().c_str());
      fixture resumed;
      resumed.BreakOff();
      const std::string before = resumed.caller->Received();
      resumed.SendAndEnd(resumed.Attempt(2, 2), kStreamHead.substr(0, cut),
                         with_reset);
      LONGS_EQUAL(0, resumed.All<forwarding::response_completed>().size());
      LONGS_EQUAL(1, resumed.All<forwarding::response_started>().size());
      STRCMP_EQUAL(before.c_str(), resumed.caller->Received().c_str());
    }
  }
}

// Guards against an answer whose status is none of HTTP, or of another
// protocol, that is delivered or believed when it says that the request has not
// run.
TEST(CallRelay, AnAnswerWithAnInvalidStatusIsNoAnswer) {
  for (const std::string status : {"000", "101", "700"}) {
    for (const std::string field : {"", "Acaciaferry-Not-Executed: 1\r\n"}) {
      fixture call(forwarding::call_kind::kNonIdempotent);
      auto target = call.Attempt(1);
      target.Send("HTTP/1.1 " + status + " X\r\n" + kStamp + field +
                  "Content-Length: 4\r\n\r\nbody");
      CHECK_TRUE(call.Reported<forwarding::attempt_failed>());
      CHECK_TRUE(call.All<forwarding::attempt_failed>().front().how ==
                 forwarding::attempt_failure::kBroken);
      LONGS_EQUAL(0, call.All<forwarding::response_started>().size());
      STRCMP_EQUAL("", call.caller->Received().c_str());
    }
  }
}

// Guards against an answer without end that takes the memory of the VM: it
// fails when all answers together hold too much, long before its own bound.
TEST(CallRelay, AnAnswerWithoutEndFailsWhenMemoryRunsOut) {
  for (const std::string framing :
       {"Transfer-Encoding: chunked\r\n", "Connection: close\r\n"}) {
    fixture call(forwarding::call_kind::kNonIdempotent);
    auto target = call.Attempt(1);
    target.Send("HTTP/1.1 200 OK\r\n" + kStamp + framing + "\r\n");
    const std::string block = Chunk(std::string(64U << 10U, 'x'));
    bool sent = true;
    for (std::size_t bytes = 0; sent && bytes < 4 * kMaxMemory;
         bytes += block.size()) {
      sent = target.TrySend(block);
      call.loop.restart();
      call.loop.run_for(std::chrono::milliseconds(2));
      CHECK_TRUE(call.memory.Held() <= kMaxMemory);
    }
    CHECK_TRUE(call.Reported<forwarding::attempt_failed>());
    CHECK_TRUE(call.All<forwarding::attempt_failed>()[0].how ==
               forwarding::attempt_failure::kBroken);
    LONGS_EQUAL(0, call.All<forwarding::response_completed>().size());
    LONGS_EQUAL(1, call.memory.Dropped());
    LONGS_EQUAL(0, call.memory.Held());
  }
}

// Guards against memory that stays counted after an answer was delivered, or
// after its caller has left.
TEST(CallRelay, AnswersThatWereDeliveredHoldNothing) {
  fixture call(forwarding::call_kind::kNonIdempotent);
  auto target = call.Attempt(1);
  target.Send("HTTP/1.1 200 OK\r\n" + kStamp + "Content-Length: 70000\r\n\r\n" +
              std::string(70'000, 'y'));
  CHECK_TRUE(call.Reported<forwarding::response_completed>());
  CHECK_TRUE(call.memory.Held() >= 70'000);
  call.relay->DeliverCollected();
  CHECK_TRUE(net::RunUntil(call.loop, [&] {
    return call.caller->Received().size() > 70'000 && call.memory.Held() == 0;
  }));
  LONGS_EQUAL(0, call.memory.Dropped());
}

// Guards against an answer that is collected although it is known to be too
// long.
TEST(CallRelay, AnAnswerThatIsTooLongFailsAtItsHead) {
  fixture call(forwarding::call_kind::kNonIdempotent);
  auto target = call.Attempt(1);
  target.Send("HTTP/1.1 200 OK\r\n" + kStamp +
              "Content-Length: 16777217\r\n\r\n");
  CHECK_TRUE(call.Reported<forwarding::response_started>());
  CHECK_TRUE(call.All<forwarding::response_started>()[0].verdict ==
             forwarding::response_verdict::kUnusable);
}
