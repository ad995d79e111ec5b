#include "acaciaferry/net/server.hpp"

#include <vector>

#include "net/loopback.hpp"

#include <CppUTest/TestHarness.h>

using namespace acaciaferry;
using namespace acaciaferry::net;

namespace {

struct fixture {
  fixture()
      : server(loop, [this](std::shared_ptr<server_exchange> exchange) {
          calls.push_back(std::move(exchange));
        }) {
    listening = !server.Listen("127.0.0.1:0").has_value();
  }

  raw_connection Connect() { return raw_connection::To(loop, server.Port()); }

  bool Wait(const std::function<bool()>& holds) {
    return RunUntil(loop, holds);
  }

  boost::asio::io_context loop;
  std::vector<std::shared_ptr<server_exchange>> calls;
  http_server server;
  bool listening{};
};

const std::string kGet = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";

}  // namespace

TEST_GROUP(NetServer){};

// Guards against bodies that are cut or joined, however they are framed, and
// against replies in another order than the requests.
TEST(NetServer, ReadsSizedAndChunkedBodiesInOrder) {
  fixture host;
  auto client = host.Connect();
  client.Send(
      "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"
      "POST /2 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "2\r\nde\r\n1\r\nf\r\n0\r\n\r\n");
  CHECK_TRUE(host.Wait([&] { return host.calls.size() == 1; }));
  STRCMP_EQUAL("abc", host.calls[0]->body.c_str());
  host.calls[0]->Reply(200, {}, "one");
  CHECK_TRUE(host.Wait([&] { return host.calls.size() == 2; }));
  STRCMP_EQUAL("def", host.calls[1]->body.c_str());
  host.calls[1]->Reply(200, {}, "two");
  CHECK_TRUE(host.Wait([&] { return client.Has("two"); }));
  CHECK_TRUE(client.Received().find("one") < client.Received().find("two"));
}

// Guards against a client that is refused for something else than it did.
TEST(NetServer, RefusesWhatIsOverTheLimits) {
  const std::vector<std::pair<std::string, std::string>> cases{
      {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 200\r\n\r\n", "413"},
      {"GET / HTTP/1.1\r\nX: " + std::string(300, 'x') + "\r\n\r\n", "431"},
      {"not http\r\n\r\n", "400"}};
  for (const auto& each : cases) {
    const std::string& request = each.first;
    const std::string& status = each.second;
    fixture host;
    server_limits limits;
    limits.head_bytes = 200;
    limits.body_bytes = 100;
    host.server.SetLimits(limits);
    auto client = host.Connect();
    client.Send(request);
    CHECK_TRUE(host.Wait([&] { return client.Has("HTTP/1.1 " + status); }));
    CHECK_TRUE(client.Has("Connection: close"));
    CHECK_TRUE(host.calls.empty());
  }
}

// Guards against connections that are held by half a head, or by nothing.
TEST(NetServer, EndsSlowHeadsAndIdleConnections) {
  fixture host;
  server_limits limits;
  limits.head_timeout = std::chrono::milliseconds(30);
  limits.idle_timeout = std::chrono::milliseconds(30);
  host.server.SetLimits(limits);
  auto slow = host.Connect();
  auto idle = host.Connect();
  slow.Send("GET /a HT");
  CHECK_TRUE(host.Wait([&] { return slow.Has("HTTP/1.1 408"); }));
  CHECK_TRUE(host.Wait([&] { return idle.Ended(); }));
  CHECK_TRUE(host.Wait([&] { return host.server.Connections() == 0; }));
}

// Guards against work that goes on for a client that has closed.
TEST(NetServer, TellsWhenTheClientHasGone) {
  fixture host;
  auto client = host.Connect();
  client.Send(kGet);
  CHECK_TRUE(host.Wait([&] { return host.calls.size() == 1; }));
  bool gone = false;
  host.calls[0]->on_client_gone = [&] { gone = true; };
  client.Close();
  CHECK_TRUE(host.Wait([&] { return gone; }));
  host.calls[0]->Reply(200, {}, "late");
}

// Guards against memory that a client which does not read can take, and against
// a sender that is never told to go on.
TEST(NetServer, ReportsWhenAClientDoesNotRead) {
  fixture host;
  auto client = host.Connect();
  client.Send(kGet);
  CHECK_TRUE(host.Wait([&] { return host.calls.size() == 1; }));
  const auto call = host.calls[0];
  bool writable = false;
  call->on_writable = [&] { writable = true; };
  call->BeginChunked(200, {});
  const std::string piece(64 * 1024, 'x');
  for (int i = 0; i < 400 && call->Pending() <= kWriteHighWater; ++i) {
    call->WriteChunk(piece);
    host.loop.restart();
    host.loop.run_for(std::chrono::milliseconds(1));
  }
  CHECK_TRUE(call->Pending() > kWriteHighWater);
  CHECK_TRUE(host.Wait([&] {
    client.Received();
    return writable;
  }));
}

// Guards against an answer that ends early and looks complete.
TEST(NetServer, AbortedAnswersHaveNoEnd) {
  fixture host;
  auto client = host.Connect();
  client.Send(kGet);
  CHECK_TRUE(host.Wait([&] { return host.calls.size() == 1; }));
  host.calls[0]->BeginChunked(200, {});
  host.calls[0]->WriteChunk("part");
  CHECK_TRUE(host.Wait([&] { return client.Has("part"); }));
  host.calls[0]->Abort();
  CHECK_TRUE(host.Wait([&] { return client.Ended(); }));
  CHECK_FALSE(client.Has("0\r\n\r\n"));
}

// Guards against clients that send on a connection that is about to be closed.
TEST(NetServer, AnnouncesTheEndOfConnections) {
  fixture host;
  auto client = host.Connect();
  client.Send(kGet);
  CHECK_TRUE(host.Wait([&] { return host.calls.size() == 1; }));
  host.server.CloseAfterReplies();
  host.calls[0]->Reply(200, {}, "x");
  CHECK_TRUE(host.Wait([&] { return client.Ended(); }));
  CHECK_TRUE(client.Has("Connection: close"));
}

// Guards against an address that is taken silently.
TEST(NetServer, TellsWhyItCannotListen) {
  fixture host;
  http_server other(host.loop, [](const auto&) {});
  CHECK_TRUE(other.Listen("127.0.0.1").has_value());
  CHECK_TRUE(other.Listen("127.0.0.1:" + std::to_string(host.server.Port()))
                 .has_value());
}
