#include "acaciaferry/net/client.hpp"

#include <optional>

#include "net/loopback.hpp"

#include <CppUTest/TestHarness.h>

using namespace acaciaferry;
using namespace acaciaferry::net;

namespace {

constexpr std::size_t kUploadBytes = 40U << 20U;

// A client exchange whose server side is driven by the test.
struct client_fixture {
  client_fixture() : listener(loop) {
    exchange_handlers handlers;
    handlers.on_head = [this](const response_head& head) {
      heads.push_back(head.status);
      return FindField(head.fields, "Id") != "other";
    };
    handlers.on_body = [this](std::string_view bytes) { body += bytes; };
    handlers.on_end = [this] { ended = true; };
    handlers.on_failure = [this](exchange_failure reported) {
      failure = reported;
    };
    client = std::make_shared<client_exchange>(loop, std::move(handlers));
  }

  raw_connection Connect(
      const std::string& request = "GET / HTTP/1.1\r\n\r\n") {
    client->Start(listener.Address(), request, std::chrono::seconds(2));
    loop.restart();
    loop.run_for(std::chrono::milliseconds(5));
    return listener.Accept();
  }

  // Returns when the client has the response "ab" as far as it has arrived, and
  // writes a request that is larger than what the sockets buffer.
  raw_connection ConnectDuringUpload() {
    client->Start(
        listener.Address(),
        "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(kUploadBytes) +
            "\r\n\r\n" + std::string(kUploadBytes, 'x'),
        std::chrono::seconds(2));
    RunOne(loop);
    auto server = listener.Accept();
    server.Send("HTTP/1.1 200 OK\r\n\r\nab");
    CHECK_TRUE(RunOneByOneUntil(loop, [this] { return body == "ab"; }));
    return server;
  }

  bool Finished() {
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

// A truncated body must not be reported as complete.
TEST(NetClient, DetectsTruncatedBodies) {
  struct framing_case {
    std::string response;
    bool reset;
    std::optional<exchange_failure> failure;
  };
  const std::string chunked =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n";
  const std::vector<framing_case> cases{
      {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", false, {}},
      {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab", false,
       exchange_failure::kBroken},
      {chunked + "0\r\n\r\n", false, {}},
      {chunked, false, exchange_failure::kBroken},
      {"HTTP/1.1 200 OK\r\n\r\nab", false, {}},
      {"HTTP/1.1 200 OK\r\n\r\nab", true, exchange_failure::kBroken}};
  for (const framing_case& each : cases) {
    client_fixture fixture;
    auto server = fixture.Connect();
    server.Send(each.response);
    CHECK_TRUE(RunUntil(fixture.loop, [&] { return fixture.body == "ab"; }));
    // Closing a socket with unread bytes would send a reset.
    CHECK_TRUE(RunUntil(fixture.loop, [&] { return server.Has("GET"); }));
    each.reset ? server.Reset() : server.Close();
    CHECK_TRUE(fixture.Finished());
    CHECK_TRUE(fixture.failure == each.failure);
    CHECK_TRUE(fixture.ended == !each.failure);
  }
}

// kNotConnected must mean that the request was not sent, and kNoResponse that
// it may have run.
TEST(NetClient, ReportsWhetherTheRequestWasSent) {
  client_fixture silent;
  auto server = silent.Connect();
  server.Close();
  CHECK_TRUE(silent.Finished());
  CHECK_TRUE(*silent.failure == exchange_failure::kNoResponse);
  client_fixture refused;
  std::string address;
  {
    const raw_listener closed_listener(refused.loop);
    address = closed_listener.Address();
  }
  refused.client->Start(address, "GET / HTTP/1.1\r\n\r\n",
                        std::chrono::seconds(2));
  CHECK_TRUE(refused.Finished());
  CHECK_TRUE(*refused.failure == exchange_failure::kNotConnected);
}

// A response that on_head rejects must be skipped together with its body.
TEST(NetClient, SkipsRejectedResponses) {
  client_fixture fixture;
  auto server = fixture.Connect();
  server.Send(
      "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 2\r\n\r\nxx"
      "HTTP/1.1 201 OK\r\nId: ours\r\nContent-Length: 2\r\n\r\nab");
  CHECK_TRUE(fixture.Finished());
  LONGS_EQUAL(201, fixture.heads.back());
  STRCMP_EQUAL("ab", fixture.body.c_str());
}

// Interim responses and bytes after the response must not reach the handlers.
TEST(NetClient, SkipsInterimResponsesAndTrailingBytes) {
  client_fixture fixture;
  auto server = fixture.Connect();
  server.Send(
      "HTTP/1.1 100 Continue\r\n\r\n"
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nabHTTP/1.1 500 X\r\n\r\n");
  CHECK_TRUE(fixture.Finished());
  LONGS_EQUAL(1, fixture.heads.size());
  STRCMP_EQUAL("ab", fixture.body.c_str());
}

// Bytes that are not HTTP must be reported as malformed.
TEST(NetClient, ReportsMalformedResponses) {
  client_fixture fixture;
  auto server = fixture.Connect();
  server.Send("garbage garbage\r\n\r\n");
  CHECK_TRUE(fixture.Finished());
  CHECK_TRUE(*fixture.failure == exchange_failure::kMalformed);
}

// Guards against statuses outside of HTTP that are passed on, or skipped like
// interim ones so that the exchange waits for another response, and against the
// 101 of another protocol, which no request asks for.
TEST(NetClient, ResponsesWithAnInvalidStatusAreMalformed) {
  const std::vector<std::string> statuses{"000", "001", "099",
                                          "101", "600", "999"};
  for (const std::string& status : statuses) {
    client_fixture fixture;
    auto server = fixture.Connect();
    server.Send("HTTP/1.1 " + status + " X\r\nContent-Length: 0\r\n\r\n" +
                "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    CHECK_TRUE(fixture.Finished());
    CHECK_TRUE(fixture.failure == exchange_failure::kMalformed);
    LONGS_EQUAL(0, fixture.heads.size());
  }
}

// Guards against statuses at the ends of the valid range that are rejected.
TEST(NetClient, ResponsesWithAValidStatusArePassedOn) {
  for (const std::string status : {"200", "299", "418", "599"}) {
    client_fixture fixture;
    auto server = fixture.Connect();
    server.Send("HTTP/1.1 199 X\r\n\r\nHTTP/1.1 " + status +
                " X\r\nContent-Length: 0\r\n\r\n");
    CHECK_TRUE(fixture.Finished());
    CHECK_TRUE(fixture.heads == std::vector<int>{std::stoi(status)});
  }
}

// Guards against a field whose name is no token (RFC 9110, section 5.1) that is
// passed on or ignored: a line "Content-Length : 2" that one recipient ignores
// and another one reads ends the body at different places. Names of a trailer
// are checked too.
TEST(NetClient, ResponsesWithAnInvalidFieldNameAreRejected) {
  const std::vector<std::string> lines{"Foo Bar: x",
                                       "Foo : x",
                                       "Foo\t: x",
                                       "Fo\x01o: x",
                                       "Fo\x7fo: x",
                                       "Fo\x80o: x",
                                       "Fo\ro: x",
                                       "Fo\no: x",
                                       std::string("Fo\0o: x", 7),
                                       "Fo(o: x",
                                       ": x",
                                       "Foo",
                                       "Foo\x01: x",
                                       "Content-Length : 2",
                                       "Transfer-Encoding\x01: chunked",
                                       "\x0b"
                                       "Foo: x"};
  const std::string start = "HTTP/1.1 200 OK\r\n";
  const std::string length = "Content-Length: 2\r\n";
  const std::string trailer =
      start + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n";
  for (const std::string& line : lines) {
    const std::vector<std::string> responses{
        start + line + "\r\n" + length + "\r\nab",
        start + length + line + "\r\n\r\nab", trailer + line + "\r\n\r\n"};
    for (const std::string& response : responses) {
      client_fixture fixture;
      auto server = fixture.Connect();
      server.Send(response);
      CHECK_TRUE(fixture.Finished());
      CHECK_FALSE(fixture.ended);
      CHECK_TRUE(fixture.failure == (response.starts_with(trailer)
                                         ? exchange_failure::kBroken
                                         : exchange_failure::kMalformed));
    }
  }
}

// Guards against a line that begins with a blank and is taken for a part of the
// field before it, whose value is then not the server's.
TEST(NetClient, ResponsesWithAFoldedLineAreMalformed) {
  const std::string start = "HTTP/1.1 200 OK\r\n";
  const std::string length = "Content-Length: 0\r\n";
  for (const std::string line : {" Foo: x", "\tFoo: x", " x", " "}) {
    for (const std::string& head :
         {start + "Id: ours\r\n" + line + "\r\n" + length,
          start + line + "\r\n" + length, start + length + line + "\r\n",
          start + length + "Id:\r\n" + line + "\r\n"}) {
      client_fixture fixture;
      auto server = fixture.Connect();
      server.Send(head + "\r\n");
      CHECK_TRUE(fixture.Finished());
      CHECK_TRUE(fixture.failure == exchange_failure::kMalformed);
      LONGS_EQUAL(0, fixture.heads.size());
    }
  }
}

// Guards against an exchange that waits for the body of a response that has
// none, whatever length it states, and against bytes behind it that are taken
// for one.
TEST(NetClient, ResponsesWithoutABodyEndWithTheirHead) {
  struct bodiless_case {
    std::string method;
    std::string status;
  };
  const std::vector<bodiless_case> cases{
      {"HEAD", "200"}, {"HEAD", "404"}, {"GET", "204"}, {"GET", "304"}};
  for (const bodiless_case& each : cases) {
    for (const std::string framing :
         {"", "Content-Length: 4\r\n", "Transfer-Encoding: chunked\r\n"}) {
      client_fixture fixture;
      auto server = fixture.Connect(each.method + " / HTTP/1.1\r\n\r\n");
      server.Send("HTTP/1.1 103 X\r\n\r\nHTTP/1.1 " + each.status + " X\r\n" +
                  framing + "\r\nabcd");
      CHECK_TRUE(fixture.Finished());
      CHECK_TRUE(fixture.ended);
      STRCMP_EQUAL("", fixture.body.c_str());
    }
  }
}

// Guards against a body that is not the server's: a coding that is not undone,
// or the heads of the chunks as a part of it.
TEST(NetClient, ResponsesWithAnotherTransferCodingAreMalformed) {
  const std::vector<std::string> codings{"gzip, chunked",
                                         "chunked, gzip",
                                         "chunked, chunked",
                                         "gzip",
                                         "identity",
                                         "xchunked",
                                         "chunked;x",
                                         "",
                                         "gzip\r\nTransfer-Encoding: chunked"};
  for (const std::string& coding : codings) {
    client_fixture fixture;
    auto server = fixture.Connect();
    server.Send("HTTP/1.1 200 OK\r\nTransfer-Encoding: " + coding +
                "\r\n\r\n2\r\nab\r\n0\r\n\r\n");
    CHECK_TRUE(fixture.Finished());
    CHECK_TRUE(fixture.failure == exchange_failure::kMalformed);
    LONGS_EQUAL(0, fixture.heads.size());
  }
}

// Guards against a body in chunks that is rejected because of the case of the
// coding's name, blanks around it, or a trailer.
TEST(NetClient, ResponsesInChunksArePassedOn) {
  for (const std::string coding : {"chunked", "Chunked", " \tCHUNKED \t"}) {
    client_fixture fixture;
    auto server = fixture.Connect();
    server.Send("HTTP/1.1 200 OK\r\nTransfer-Encoding: " + coding +
                "\r\n\r\n1;x=y\r\na\r\n1\r\nb\r\n0\r\nSum: 1\r\n\r\n");
    CHECK_TRUE(fixture.Finished());
    CHECK_TRUE(fixture.ended);
    STRCMP_EQUAL("ab", fixture.body.c_str());
  }
}

// Guards against a part of a response that counts as complete: a write of the
// request takes the error of the reset, and the read, which then sees the end
// of the stream, is handled before that write.
TEST(NetClient, AResponseThatIsResetWhileTheRequestIsWrittenIsBroken) {
  constexpr int kMaxTurns = 16;
  for (int turns = 0; turns < kMaxTurns; ++turns) {
    client_fixture fixture;
    auto server = fixture.ConnectDuringUpload();
    for (int turn = 0; turn < turns; ++turn) {
      RunOne(fixture.loop);
    }
    server.Reset();
    CHECK_TRUE(fixture.Finished());
    CHECK_FALSE(fixture.ended);
    CHECK_TRUE(fixture.failure == exchange_failure::kBroken);
  }
}

// Guards against the same when the server has read all that had arrived, so
// that the reset follows the end of its stream.
TEST(NetClient, AResponseWhoseServerClosesWhileTheRequestIsWrittenIsBroken) {
  client_fixture fixture;
  auto server = fixture.ConnectDuringUpload();
  CHECK_TRUE(server.Has("POST"));
  server.Close();
  CHECK_TRUE(fixture.Finished());
  CHECK_TRUE(fixture.failure == exchange_failure::kBroken);
}

// Guards against a whole response that counts as broken, or is waited for in
// vain, because its server ended its stream before it had read the request: it
// may read on, or not.
TEST(NetClient, AResponseThatEndsInGoodOrderDuringTheRequestIsComplete) {
  for (const bool reads_on : {true, false}) {
    client_fixture fixture;
    auto server = fixture.ConnectDuringUpload();
    server.EndStream();
    CHECK_TRUE(RunUntil(fixture.loop, [&] {
      return fixture.ended || fixture.failure || (reads_on && server.Ended());
    }));
    CHECK_TRUE(fixture.ended);
    STRCMP_EQUAL("ab", fixture.body.c_str());
  }
}

// Bytes that are no response may come without end. They must neither fill the
// memory nor keep the exchange open until its caller gives up.
TEST(NetClient, EndsExchangesWhoseBytesHaveNoEnd) {
  const std::string filler(16'384, 'a');
  const std::string chunked =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  std::string skipped;
  for (int i = 0; i < 100; ++i) {
    skipped += "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 0\r\n\r\n";
  }
  struct endless_case {
    std::string begin;
    std::string repeated;
  };
  const std::vector<endless_case> cases{
      {"HTTP/1.1 200 OK\r\nX: ", filler},
      {"", filler},
      {chunked + "1;", filler},
      {chunked + "0\r\nX: ", filler},
      {"", skipped},
      {"", "HTTP/1.1 103 Early Hints\r\n\r\n"}};
  for (const endless_case& each : cases) {
    client_fixture fixture;
    auto server = fixture.Connect();
    server.Send(each.begin);
    for (int i = 0; i < 64 && !fixture.failure; ++i) {
      static_cast<void>(server.TrySend(each.repeated));
      fixture.loop.restart();
      fixture.loop.run_for(std::chrono::milliseconds(2));
    }
    CHECK_TRUE(fixture.failure.has_value());
    CHECK_FALSE(fixture.ended);
  }
}

// A response sent before the server has read the whole request must not be
// lost.
TEST(NetClient, AcceptsEarlyResponses) {
  client_fixture fixture;
  const std::string big(8U << 20U, 'x');
  auto server = fixture.Connect("POST / HTTP/1.1\r\nContent-Length: " +
                                std::to_string(big.size()) + "\r\n\r\n" + big);
  server.Send("HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n");
  CHECK_TRUE(fixture.Finished());
  CHECK_TRUE(fixture.ended);
  LONGS_EQUAL(503, fixture.heads.back());
}

// Guards against a whole early response that is lost because its server closes
// without reading the request: its length says that it is complete, whatever
// follows.
TEST(NetClient, AcceptsEarlyResponsesBeforeAReset) {
  const std::string request =
      "POST / HTTP/1.1\r\n\r\n" + std::string(kUploadBytes, 'x');
  for (const std::string framing :
       {"Content-Length: 2\r\n\r\nab",
        "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"}) {
    client_fixture fixture;
    auto server = fixture.Connect(request);
    server.Send("HTTP/1.1 413 X\r\n" + framing);
    server.Reset();
    CHECK_TRUE(fixture.Finished());
    CHECK_TRUE(fixture.ended);
    STRCMP_EQUAL("ab", fixture.body.c_str());
  }
}

// No handler may be called after Cancel.
TEST(NetClient, CancelledExchangesCallNoHandlers) {
  client_fixture fixture;
  auto server = fixture.Connect();
  fixture.client->Cancel();
  server.Close();
  RunUntil(fixture.loop, [] { return false; });
  CHECK_FALSE(fixture.ended);
  CHECK_FALSE(fixture.failure.has_value());
}

// A paused exchange must not buffer the response in memory.
TEST(NetClient, PausedExchangesDoNotRead) {
  client_fixture fixture;
  auto server = fixture.Connect();
  fixture.client->Pause();
  server.Send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n");
  RunUntil(fixture.loop, [&] { return !fixture.heads.empty(); });
  server.Send("ab");
  for (int i = 0; i < 20; ++i) {
    fixture.loop.restart();
    fixture.loop.run_for(std::chrono::milliseconds(1));
  }
  CHECK_FALSE(fixture.ended);
  fixture.client->Resume();
  CHECK_TRUE(fixture.Finished());
  STRCMP_EQUAL("ab", fixture.body.c_str());
}

// Guards against heads and trailers of many short fields, each of which takes
// far more memory than its bytes.
TEST(NetClient, EndsExchangesWithTooManyFields) {
  const std::string head = "HTTP/1.1 200 OK\r\n";
  const std::string body = "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n";
  for (const int count : {200, 300}) {
    std::string fields;
    for (int i = 0; i < count; ++i) {
      fields += "a:\r\n";
    }
    for (const std::string& response :
         {head + fields + "Content-Length: 0\r\n\r\n",
          head + body + fields + "\r\n"}) {
      client_fixture fixture;
      auto server = fixture.Connect();
      server.Send(response);
      CHECK_TRUE(fixture.Finished());
      LONGS_EQUAL(count < 256, fixture.ended);
    }
  }
}
