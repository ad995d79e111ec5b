#include "acaciaferry/target_client/target_client.hpp"

#include <chrono>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <variant>
#include <vector>

#include "net/loopback.hpp"

#include <CppUTest/TestHarness.h>

using namespace acaciaferry;

namespace {

// Ends a test that would hang otherwise.
constexpr auto kHangTimeout = std::chrono::seconds(60);

// Collects events until one of them ends the attempt.
class recorded_events {
 public:
  void Add(event happened) {
    const std::lock_guard lock(mutex_);
    ended_ = ended_ || std::holds_alternative<answer_ended>(happened) ||
             std::holds_alternative<attempt_failed>(happened) ||
             std::holds_alternative<attempt_rejected>(happened);
    events_.push_back(std::move(happened));
    changed_.notify_all();
  }

  std::vector<event> AwaitEnd() {
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, kHangTimeout, [this] { return ended_; });
    return events_;
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<event> events_;
  bool ended_{};
};

template <typename Event>
const Event* Find(const std::vector<event>& events) {
  for (const event& each : events) {
    if (const auto* found = std::get_if<Event>(&each)) {
      return found;
    }
  }
  return nullptr;
}

// Calls a service whose answer the test writes, and returns what the client
// reports.
std::vector<event> Call(const std::string& answer) {
  boost::asio::io_context loop;
  net::raw_listener listener(loop);
  exchange_registry exchanges;
  recorded_events events;
  start_attempt attempt;
  attempt.address = listener.Address();
  attempt.kind = request_kind::kServiceCall;
  attempt.remaining = std::chrono::seconds(30);
  exchanges.Add(attempt.attempt.request,
                std::make_shared<exchange>("", "GET", "/", ""));
  target_client client("vm", exchanges, [&events](event happened) {
    events.Add(std::move(happened));
  });
  client.Start(attempt);
  net::raw_connection target = listener.Accept();
  target.Send(answer);
  return events.AwaitEnd();
}

const std::string kLength = "Content-Length: 4\r\n";

}  // namespace

TEST_GROUP(TargetClient){};

// Guards against a sound answer that is rejected.
TEST(TargetClient, PassesOnAnswers) {
  for (const std::string status : {"200", "404", "599"}) {
    const auto events = Call("HTTP/1.1 " + status + " X\r\nX-Note_1: a\r\n" +
                             kLength + "\r\nbody");
    const auto* accepted = Find<attempt_accepted>(events);
    CHECK_TRUE(accepted != nullptr);
    LONGS_EQUAL(std::stoi(status), accepted->http_status);
    STRCMP_EQUAL("body", Find<answer_chunk>(events)->text.c_str());
    CHECK_TRUE(Find<answer_ended>(events) != nullptr);
  }
}

// Guards against a broken answer that reaches the caller, or whose "not run" is
// believed: a status that is none of HTTP or not final, a name that is no
// token.
TEST(TargetClient, RejectsAnswersWithAnInvalidHead) {
  std::vector<std::string> heads;
  for (const std::string status : {"000", "099", "101", "103", "600", "999"}) {
    heads.push_back("HTTP/1.1 " + status + " X\r\n" + kLength);
  }
  for (const std::string name : {"Foo Bar", "Foo ", "Fo\x01o", "Fo\x7fo"}) {
    heads.push_back("HTTP/1.1 200 OK\r\n" + name + ": x\r\n" + kLength);
    heads.push_back("HTTP/1.1 503 X\r\nAcaciaferry-Executed: no\r\n" + name +
                    ": x\r\n" + kLength);
  }
  for (const std::string& head : heads) {
    const auto events = Call(head + "\r\nbody");
    const auto* failed = Find<attempt_failed>(events);
    CHECK_TRUE(failed != nullptr);
    CHECK_TRUE(failed->error == transport_error::kMalformedAnswer);
    CHECK_TRUE(Find<attempt_accepted>(events) == nullptr);
  }
}

// Guards against a body that is not the target's: with another length, or in a
// coding that is not undone.
TEST(TargetClient, RejectsBodiesThatAreNotFramedByOneLength) {
  for (const std::string fields :
       {"Content-Length: 4\r\nContent-Length: 2\r\n",
        "Content-Length: 4\r\nTransfer-Encoding: gzip\r\n",
        "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: gzip, chunked\r\n"}) {
    const auto events = Call("HTTP/1.1 200 OK\r\n" + fields + "\r\nbody");
    const auto* failed = Find<attempt_failed>(events);
    CHECK_TRUE(failed != nullptr);
    CHECK_TRUE(failed->error == transport_error::kMalformedAnswer);
    CHECK_TRUE(Find<answer_chunk>(events) == nullptr);
  }
}
