#include "acaciaferry/net/client.hpp"

#include <optional>

#include "net/loopback.hpp"

#include <CppUTest/TestHarness.h>

using namespace acaciaferry;
using namespace acaciaferry::net;

namespace {

// One exchange with a server that the test plays.
struct fixture {
  fixture() : listener(loop) {
    exchange_handlers handlers;
    handlers.on_head = [this](const response_head& head) {
      heads.push_back(head.status);
      return Find(head.fields, "Id") != "other";
    };
    handlers.on_body = [this](std::string_view bytes) { body += bytes; };
    handlers.on_end = [this] { ended = true; };
    handlers.on_failure = [this](exchange_failure how) { failure = how; };
    client = std::make_shared<client_exchange>(loop, std::move(handlers));
  }

  raw_connection Connect(
      const std::string& request = "GET / HTTP/1.1\r\n\r\n") {
    client->Start(listener.Address(), request, std::chrono::seconds(2));
    loop.restart();
    loop.run_for(std::chrono::milliseconds(5));
    return listener.Accept();
  }

  bool Over() {
    return RunUntil(loop, [this] { return ended || failure.has_value(); });
  }

  boost::asio::io_context loop;
  raw_listener listener;
  std::shared_ptr<client_exchange> client;
  std::vector<int> heads;
  std::string body;
  bool ended{};
  std::optional<exchange_failure> failure;
};

}  // namespace

TEST_GROUP(NetClient){};

// Guards against a body that is taken for whole though its end never came.
TEST(NetClient, TellsWholeBodiesFromCutOnes) {
  struct framing {
    std::string answer;
    bool reset;
    std::optional<exchange_failure> failure;
  };
  const std::string chunked =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n";
  const std::vector<framing> cases{
      {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", false, {}},
      {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab", false,
       exchange_failure::kBroken},
      {chunked + "0\r\n\r\n", false, {}},
      {chunked, false, exchange_failure::kBroken},
      {"HTTP/1.1 200 OK\r\n\r\nab", false, {}},
      {"HTTP/1.1 200 OK\r\n\r\nab", true, exchange_failure::kBroken}};
  for (const framing& each : cases) {
    fixture call;
    auto server = call.Connect();
    server.Send(each.answer);
    CHECK_TRUE(RunUntil(call.loop, [&] { return call.body == "ab"; }));
    // A close with unread bytes would be a reset.
    CHECK_TRUE(RunUntil(call.loop, [&] { return server.Has("GET"); }));
    each.reset ? server.Reset() : server.Close();
    CHECK_TRUE(call.Over());
    CHECK_TRUE(call.failure == each.failure);
    CHECK_TRUE(call.ended == !each.failure);
  }
}

// Guards against "not run" for a request that was sent, and against "may have
// run" for one that was not.
TEST(NetClient, TellsWhetherAnythingWasSent) {
  fixture silent;
  auto server = silent.Connect();
  server.Close();
  CHECK_TRUE(silent.Over());
  CHECK_TRUE(*silent.failure == exchange_failure::kNoResponse);
  fixture refused;
  std::string address;
  {
    const raw_listener gone(refused.loop);
    address = gone.Address();
  }
  refused.client->Start(address, "GET / HTTP/1.1\r\n\r\n",
                        std::chrono::seconds(2));
  CHECK_TRUE(refused.Over());
  CHECK_TRUE(*refused.failure == exchange_failure::kNotConnected);
}

// Guards against the answer to another request.
TEST(NetClient, SkipsAnswersThatAreNotOurs) {
  fixture call;
  auto server = call.Connect();
  server.Send(
      "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 2\r\n\r\nxx"
      "HTTP/1.1 201 OK\r\nId: ours\r\nContent-Length: 2\r\n\r\nab");
  CHECK_TRUE(call.Over());
  LONGS_EQUAL(201, call.heads.back());
  STRCMP_EQUAL("ab", call.body.c_str());
}

// Guards against an interim response that is taken for the answer, and against
// bytes behind an answer.
TEST(NetClient, SkipsInterimResponsesAndTrailingBytes) {
  fixture call;
  auto server = call.Connect();
  server.Send(
      "HTTP/1.1 100 Continue\r\n\r\n"
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nabHTTP/1.1 500 X\r\n\r\n");
  CHECK_TRUE(call.Over());
  LONGS_EQUAL(1, call.heads.size());
  STRCMP_EQUAL("ab", call.body.c_str());
}

// Guards against bytes that are no response.
TEST(NetClient, TellsMalformedResponses) {
  fixture call;
  auto server = call.Connect();
  server.Send("garbage garbage\r\n\r\n");
  CHECK_TRUE(call.Over());
  CHECK_TRUE(*call.failure == exchange_failure::kMalformed);
}

// Guards against an answer that is lost since it came before the server had
// read the whole request.
TEST(NetClient, TakesEarlyAnswers) {
  fixture call;
  const std::string big(8U << 20U, 'x');
  auto server = call.Connect("POST / HTTP/1.1\r\nContent-Length: " +
                             std::to_string(big.size()) + "\r\n\r\n" + big);
  server.Send("HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n");
  CHECK_TRUE(call.Over());
  CHECK_TRUE(call.ended);
  LONGS_EQUAL(503, call.heads.back());
}

// Guards against handlers that are called after the exchange was given up.
TEST(NetClient, CancelledExchangesAreQuiet) {
  fixture call;
  auto server = call.Connect();
  call.client->Cancel();
  server.Close();
  RunUntil(call.loop, [] { return false; });
  CHECK_FALSE(call.ended);
  CHECK_FALSE(call.failure.has_value());
}

// Guards against an answer that is read into memory while its receiver waits.
TEST(NetClient, PausedExchangesDoNotRead) {
  fixture call;
  auto server = call.Connect();
  call.client->Pause();
  server.Send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n");
  RunUntil(call.loop, [&] { return !call.heads.empty(); });
  server.Send("ab");
  for (int i = 0; i < 20; ++i) {
    call.loop.restart();
    call.loop.run_for(std::chrono::milliseconds(1));
  }
  CHECK_FALSE(call.ended);
  call.client->Resume();
  CHECK_TRUE(call.Over());
  STRCMP_EQUAL("ab", call.body.c_str());
}
