#include "acaciaferry/net/tunnel.hpp"

#include <optional>

#include "acaciaferry/net/client.hpp"
#include "acaciaferry/net/server.hpp"
#include "net/loopback.hpp"

#include <CppUTest/TestHarness.h>

using namespace acaciaferry;
using namespace acaciaferry::net;

namespace {

constexpr duration kLongTimeout = std::chrono::seconds(30);
// Larger than what the kernel buffers on both parts of a tunnel.
constexpr std::size_t kLargeBodyBytes = 40U << 20U;
const std::string kRequest = "GET / HTTP/1.1\r\n\r\n";

// Bytes whose order can be checked.
std::string LargeBody() {
  std::string body;
  body.reserve(kLargeBodyBytes);
  for (std::uint32_t i = 0; body.size() < kLargeBodyBytes; ++i) {
    body += std::to_string(i) + ',';
  }
  body.resize(kLargeBodyBytes);
  return body;
}

void RunTurns(boost::asio::io_context& loop) {
  for (int turn = 0; turn < 50; ++turn) {
    loop.restart();
    loop.run_for(std::chrono::milliseconds(1));
  }
}

// An exchange and what it has reported.
struct recorded_exchange {
  explicit recorded_exchange(boost::asio::io_context& loop) {
    exchange_handlers handlers;
    handlers.on_sent = [this] { sent = true; };
    handlers.on_body = [this](std::string_view bytes) { body += bytes; };
    handlers.on_end = [this] { ended = true; };
    handlers.on_failure = [this](exchange_failure reported) {
      failure = reported;
    };
    client = std::make_shared<client_exchange>(loop, std::move(handlers));
  }
  recorded_exchange(const recorded_exchange&) = delete;
  recorded_exchange& operator=(const recorded_exchange&) = delete;
  ~recorded_exchange() { client->Cancel(); }

  [[nodiscard]] bool Finished() const { return ended || failure.has_value(); }

  std::shared_ptr<client_exchange> client;
  std::string body;
  bool sent{};
  bool ended{};
  std::optional<exchange_failure> failure;
};

// A tunnel server, and a target whose side is driven by the test.
struct tunnel_fixture {
  explicit tunnel_fixture(std::size_t max_tunnels = kDefaultMaxTunnels)
      : listener(loop),
        tunnels(
            loop,
            [this](std::string_view address) {
              asked.emplace_back(address);
              return permitted;
            },
            max_tunnels) {
    CHECK_FALSE(tunnels.Listen("127.0.0.1:0").has_value());
    via = "127.0.0.1:" + std::to_string(tunnels.Port());
  }

  // Opens a tunnel for an exchange and returns the target's side of it.
  raw_connection Connect(recorded_exchange& exchange,
                         const std::string& request = kRequest) {
    exchange.client->Start(listener.Address(), request, kLongTimeout, via);
    CHECK_TRUE(RunUntil(loop, [&] { return exchange.sent; }));
    return listener.Accept();
  }

  // As Connect. Returns when the exchange has the response "ab" as far as it
  // has arrived, and writes a request that is larger than what the sockets
  // buffer.
  raw_connection ConnectDuringUpload(recorded_exchange& exchange) {
    auto target = Connect(exchange, "POST / HTTP/1.1\r\n\r\n" + LargeBody());
    target.Send("HTTP/1.1 200 OK\r\n\r\nab");
    CHECK_TRUE(RunOneByOneUntil(loop, [&] { return exchange.body == "ab"; }));
    return target;
  }

  // Runs an exchange that fails before it is sent.
  exchange_failure FailureTo(const std::string& address) {
    recorded_exchange exchange(loop);
    exchange.client->Start(address, kRequest, kLongTimeout, via);
    CHECK_TRUE(RunUntil(loop, [&] { return exchange.Finished(); }));
    CHECK_FALSE(exchange.sent);
    CHECK_TRUE(exchange.failure.has_value());
    return exchange.failure.value_or(exchange_failure::kBroken);
  }

  raw_connection RawClient() {
    return raw_connection::To(loop, tunnels.Port());
  }

  // The address of a port at which nobody listens.
  std::string ClosedAddress() {
    const raw_listener closed_listener(loop);
    return closed_listener.Address();
  }

  boost::asio::io_context loop;
  raw_listener listener;
  std::vector<std::string> asked;
  bool permitted{true};
  tunnel_server tunnels;
  std::string via;
};

}  // namespace

TEST_GROUP(NetTunnel){};

// A tunnel that changes, loses or adds bytes would fail the exchange.
TEST(NetTunnel, AnswersAnExchange) {
  tunnel_fixture fixture;
  recorded_exchange exchange(fixture.loop);
  auto target = fixture.Connect(exchange);
  CHECK_TRUE(RunUntil(fixture.loop, [&] { return target.Has("\r\n\r\n"); }));
  STRCMP_EQUAL(kRequest.c_str(), target.Received().c_str());
  LONGS_EQUAL(1, fixture.tunnels.Count());
  target.Send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab");
  CHECK_TRUE(RunUntil(fixture.loop, [&] { return exchange.Finished(); }));
  CHECK_TRUE(exchange.ended);
  STRCMP_EQUAL("ab", exchange.body.c_str());
  CHECK_TRUE(
      RunUntil(fixture.loop, [&] { return fixture.tunnels.Count() == 0; }));
  CHECK_TRUE(fixture.asked ==
             std::vector<std::string>{fixture.listener.Address()});
}

// A request must not count as sent when the target can't be reached, and the
// tunnel server must not be blamed for it.
TEST(NetTunnel, ReportsTargetsThatRefuse) {
  tunnel_fixture fixture;
  CHECK_TRUE(fixture.FailureTo(fixture.ClosedAddress()) ==
             exchange_failure::kNotConnected);
  LONGS_EQUAL(0, fixture.tunnels.Count());
}

// A missing tunnel server must not be taken for a missing target.
TEST(NetTunnel, ReportsThatThereIsNoTunnelServer) {
  tunnel_fixture fixture;
  fixture.via = fixture.ClosedAddress();
  CHECK_TRUE(fixture.FailureTo(fixture.listener.Address()) ==
             exchange_failure::kNoTunnel);
  fixture.via = "no address";
  CHECK_TRUE(fixture.FailureTo(fixture.listener.Address()) ==
             exchange_failure::kNoTunnel);
}

// A VM that dials targets for others must learn from it which it reaches.
TEST(NetTunnel, TellsWhichTargetsItHasReached) {
  tunnel_fixture fixture;
  std::vector<std::pair<std::string, bool>> dialed;
  fixture.tunnels.SetDialObserver(
      [&](std::string_view address, bool reached, duration /*took*/) {
        dialed.emplace_back(address, reached);
      });
  const std::string closed = fixture.ClosedAddress();
  CHECK_TRUE(fixture.FailureTo(closed) == exchange_failure::kNotConnected);
  recorded_exchange exchange(fixture.loop);
  const auto target = fixture.Connect(exchange);
  const std::vector<std::pair<std::string, bool>> expected{
      {closed, false}, {fixture.listener.Address(), true}};
  CHECK_TRUE(dialed == expected);
}

// A server that dials any address would be an open proxy.
TEST(NetTunnel, DoesNotDialTargetsThatAreNotPermitted) {
  tunnel_fixture fixture;
  fixture.permitted = false;
  CHECK_TRUE(fixture.FailureTo(fixture.listener.Address()) ==
             exchange_failure::kNoTunnel);
  auto client = fixture.RawClient();
  client.Send("CONNECT " + fixture.listener.Address() + " HTTP/1.1\r\n\r\n");
  CHECK_TRUE(RunUntil(fixture.loop, [&] { return client.Ended(); }));
  STRCMP_CONTAINS("HTTP/1.1 403 Forbidden\r\n", client.Received().c_str());
}

// A body that ends with the connection must be complete after the target's
// close and broken after its reset.
TEST(NetTunnel, TellsACloseOfTheTargetFromAReset) {
  for (const bool reset : {false, true}) {
    tunnel_fixture fixture;
    recorded_exchange exchange(fixture.loop);
    auto target = fixture.Connect(exchange);
    CHECK_TRUE(RunUntil(fixture.loop, [&] { return target.Has("GET"); }));
    target.Send("HTTP/1.1 200 OK\r\n\r\nab");
    CHECK_TRUE(RunUntil(fixture.loop, [&] { return exchange.body == "ab"; }));
    reset ? target.Reset() : target.Close();
    CHECK_TRUE(RunUntil(fixture.loop, [&] { return exchange.Finished(); }));
    CHECK_EQUAL(!reset, exchange.ended);
    CHECK_TRUE(!reset || exchange.failure == exchange_failure::kBroken);
  }
}

// The failed write of a request takes the error of a reset connection, and the
// read then sees an orderly close, with which a truncated body would count as
// complete.
TEST(NetTunnel, NoticesAResetWhileTheRequestIsWritten) {
  for (const bool direct : {true, false}) {
    tunnel_fixture fixture;
    if (direct) {
      fixture.via.clear();
    }
    recorded_exchange exchange(fixture.loop);
    auto target = fixture.Connect(exchange, kRequest + LargeBody());
    target.Send("HTTP/1.1 200 OK\r\n\r\nab");
    CHECK_TRUE(RunUntil(fixture.loop, [&] { return exchange.body == "ab"; }));
    RunTurns(fixture.loop);
    target.Reset();
    CHECK_TRUE(RunUntil(fixture.loop, [&] { return exchange.Finished(); }));
    CHECK_FALSE(exchange.ended);
    CHECK_TRUE(exchange.failure == exchange_failure::kBroken);
  }
}

// Guards against a part of a response that counts as complete since the tunnel
// passes a reset on as the end of the stream: a write to the target takes the
// error of the reset, and the read is handled before that write.
TEST(NetTunnel, PassesOnAResetWhileTheRequestIsWritten) {
  constexpr int kMaxTurns = 16;
  for (int turns = 0; turns < kMaxTurns; ++turns) {
    tunnel_fixture fixture;
    recorded_exchange exchange(fixture.loop);
    auto target = fixture.ConnectDuringUpload(exchange);
    for (int turn = 0; turn < turns; ++turn) {
      RunOne(fixture.loop);
    }
    target.Reset();
    CHECK_TRUE(RunUntil(fixture.loop, [&] { return exchange.Finished(); }));
    CHECK_FALSE(exchange.ended);
    CHECK_TRUE(exchange.failure == exchange_failure::kBroken);
  }
}

// Guards against the same when the target has read all that had arrived, so
// that its reset follows the end of its stream.
TEST(NetTunnel, PassesOnAResetAfterTheEndOfTheStream) {
  tunnel_fixture fixture;
  recorded_exchange exchange(fixture.loop);
  auto target = fixture.ConnectDuringUpload(exchange);
  CHECK_TRUE(target.Has("POST"));
  target.Close();
  CHECK_TRUE(RunUntil(fixture.loop, [&] { return exchange.Finished(); }));
  CHECK_TRUE(exchange.failure == exchange_failure::kBroken);
}

// Guards against a whole response that counts as broken because its target
// ended its stream before it had read the request: it may read on, or not.
TEST(NetTunnel, PassesOnAnOrderlyEndWhileTheRequestIsWritten) {
  for (const bool reads_on : {true, false}) {
    tunnel_fixture fixture;
    recorded_exchange exchange(fixture.loop);
    auto target = fixture.ConnectDuringUpload(exchange);
    target.EndStream();
    CHECK_TRUE(RunUntil(fixture.loop, [&] {
      return exchange.Finished() || (reads_on && target.Ended());
    }));
    CHECK_TRUE(exchange.ended);
    STRCMP_EQUAL("ab", exchange.body.c_str());
  }
}

// A job that the target goes on with after its caller has left wastes it, also
// when the target reads nothing of a large request.
TEST(NetTunnel, EndsTheTargetsConnectionOfACancelledExchange) {
  tunnel_fixture fixture;
  for (const std::string& request : {kRequest, kRequest + LargeBody()}) {
    recorded_exchange exchange(fixture.loop);
    auto target = fixture.Connect(exchange, request);
    RunTurns(fixture.loop);
    LONGS_EQUAL(1, fixture.tunnels.Count());
    exchange.client->Cancel();
    // Fewer turns than the liveness probes need to end the target's connection.
    for (int i = 0; i < 10 && fixture.tunnels.Count() != 0; ++i) {
      RunTurns(fixture.loop);
    }
    LONGS_EQUAL(0, fixture.tunnels.Count());
    CHECK_TRUE(RunUntil(fixture.loop, [&] { return target.Ended(); }));
    CHECK_FALSE(exchange.Finished());
  }
}

// The caller must not receive a truncated body as complete when the tunnel
// server closes.
TEST(NetTunnel, ClosedTunnelsAreReset) {
  tunnel_fixture fixture;
  recorded_exchange exchange(fixture.loop);
  auto target = fixture.Connect(exchange);
  target.Send("HTTP/1.1 200 OK\r\n\r\nab");
  CHECK_TRUE(RunUntil(fixture.loop, [&] { return exchange.body == "ab"; }));
  fixture.tunnels.CloseAll();
  LONGS_EQUAL(0, fixture.tunnels.Count());
  CHECK_TRUE(RunUntil(fixture.loop, [&] { return exchange.Finished(); }));
  CHECK_TRUE(exchange.failure == exchange_failure::kBroken);
  CHECK_TRUE(RunUntil(fixture.loop, [&] { return target.Ended(); }));
}

// Bytes that arrive with the head belong to the tunnel and must not be lost.
TEST(NetTunnel, PassesOnBytesThatFollowTheHead) {
  tunnel_fixture fixture;
  auto client = fixture.RawClient();
  client.Send("CONNECT " + fixture.listener.Address() +
              " HTTP/1.1\r\n\r\nfirst");
  CHECK_TRUE(RunUntil(fixture.loop, [&] { return client.Has("\r\n\r\n"); }));
  STRCMP_EQUAL("HTTP/1.1 200 OK\r\n\r\n", client.Received().c_str());
  auto target = fixture.listener.Accept();
  client.Send(" second");
  CHECK_TRUE(RunUntil(fixture.loop,
                      [&] { return target.Received() == "first second"; }));
}

// Clients that are no entry VMs, or stall, must not keep a tunnel or make the
// server dial.
TEST(NetTunnel, RefusesOtherHeads) {
  struct head_case {
    std::string head;
    std::string status;
  };
  const std::vector<head_case> cases{
      {"GET / HTTP/1.1\r\n\r\n", "400"},
      {"garbage\r\n\r\n", "400"},
      {"CONNECT example HTTP/1.1\r\n\r\n", "400"},
      {"CONNECT 127.0.0.1:1 HTTP/1.1\r\nX: " + std::string(8'192, 'a'), "431"},
      {"CONNECT 127.0.0.1:1 HTTP/1.1\r\nX: ", "408"},
      {"", "408"}};
  for (const head_case& each : cases) {
    tunnel_fixture fixture;
    auto client = fixture.RawClient();
    client.Send(each.head);
    CHECK_TRUE(RunUntil(fixture.loop, [&] { return client.Ended(); }));
    STRCMP_CONTAINS(("HTTP/1.1 " + each.status).c_str(),
                    client.Received().c_str());
    LONGS_EQUAL(0, fixture.tunnels.Count());
    CHECK_TRUE(fixture.asked.empty());
  }
}

// A tunnel that reads ahead of a paused client would fill the memory with its
// response.
TEST(NetTunnel, HoldsBackALargeResponse) {
  tunnel_fixture fixture;
  std::shared_ptr<server_exchange> reply;
  http_server target(fixture.loop, [&](std::shared_ptr<server_exchange> call) {
    reply = std::move(call);
  });
  CHECK_FALSE(target.Listen("127.0.0.1:0").has_value());
  recorded_exchange exchange(fixture.loop);
  exchange.client->Start("127.0.0.1:" + std::to_string(target.Port()), kRequest,
                         kLongTimeout, fixture.via);
  CHECK_TRUE(RunUntil(fixture.loop, [&] { return reply != nullptr; }));
  exchange.client->Pause();
  const std::string body = LargeBody();
  reply->Reply(200, {}, body);
  RunTurns(fixture.loop);
  CHECK_TRUE(reply->PendingBytes() > 0);
  CHECK_FALSE(exchange.Finished());
  exchange.client->Resume();
  CHECK_TRUE(RunUntil(fixture.loop, [&] { return exchange.Finished(); }));
  CHECK_TRUE(exchange.ended);
  CHECK_TRUE(exchange.body == body);
}

// A caller that reads nothing for some seconds must keep its answer, as it does
// without a tunnel.
TEST(NetTunnel, KeepsTheTunnelOfAPausedExchange) {
  tunnel_fixture fixture;
  std::shared_ptr<server_exchange> reply;
  http_server target(fixture.loop, [&](std::shared_ptr<server_exchange> call) {
    reply = std::move(call);
  });
  CHECK_FALSE(target.Listen("127.0.0.1:0").has_value());
  recorded_exchange exchange(fixture.loop);
  exchange.client->Start("127.0.0.1:" + std::to_string(target.Port()), kRequest,
                         kLongTimeout, fixture.via);
  CHECK_TRUE(RunUntil(fixture.loop, [&] { return reply != nullptr; }));
  exchange.client->Pause();
  reply->Reply(200, {}, LargeBody());
  // Longer than the liveness probes wait for data to be acknowledged.
  fixture.loop.restart();
  fixture.loop.run_for(std::chrono::milliseconds(4'500));
  exchange.client->Resume();
  CHECK_TRUE(RunUntil(fixture.loop, [&] { return exchange.Finished(); }));
  CHECK_TRUE(exchange.ended);
  LONGS_EQUAL(kLargeBodyBytes, exchange.body.size());
}

// A request that the target reads slowly must reach it whole.
TEST(NetTunnel, PassesOnALargeRequest) {
  tunnel_fixture fixture;
  recorded_exchange exchange(fixture.loop);
  const std::string request = "POST / HTTP/1.1\r\n\r\n" + LargeBody();
  auto target = fixture.Connect(exchange, request);
  RunTurns(fixture.loop);
  CHECK_TRUE(RunUntil(fixture.loop, [&] {
    return target.Received().size() >= request.size();
  }));
  CHECK_TRUE(target.Received() == request);
  target.Send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  CHECK_TRUE(RunUntil(fixture.loop, [&] { return exchange.Finished(); }));
  CHECK_TRUE(exchange.ended);
}

// Tunnels beyond the bound would take the file descriptors of the VM's own
// calls.
TEST(NetTunnel, RefusesMoreTunnelsThanTheBound) {
  tunnel_fixture fixture(1);
  recorded_exchange first(fixture.loop);
  auto target = fixture.Connect(first);
  CHECK_TRUE(fixture.FailureTo(fixture.listener.Address()) ==
             exchange_failure::kNoTunnel);
  auto client = fixture.RawClient();
  CHECK_TRUE(RunUntil(fixture.loop, [&] { return client.Ended(); }));
  STRCMP_CONTAINS("HTTP/1.1 503 Service Unavailable\r\n",
                  client.Received().c_str());
  LONGS_EQUAL(1, fixture.tunnels.Count());
  target.Send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  CHECK_TRUE(RunUntil(fixture.loop, [&] { return first.ended; }));
  CHECK_TRUE(
      RunUntil(fixture.loop, [&] { return fixture.tunnels.Count() == 0; }));
  recorded_exchange next(fixture.loop);
  fixture.Connect(next);
  LONGS_EQUAL(1, fixture.tunnels.Count());
}

// A VM that is shut down must not break the attempts that go through it.
TEST(NetTunnel, OpenTunnelsRemainAfterStopListening) {
  tunnel_fixture fixture;
  recorded_exchange exchange(fixture.loop);
  auto target = fixture.Connect(exchange);
  fixture.tunnels.StopListening();
  CHECK_TRUE(fixture.FailureTo(fixture.listener.Address()) ==
             exchange_failure::kNoTunnel);
  target.Send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab");
  CHECK_TRUE(RunUntil(fixture.loop, [&] { return exchange.Finished(); }));
  CHECK_TRUE(exchange.ended);
}

// A target that drops connection attempts must not count as a tunnel server
// that is not reached.
TEST(NetTunnel, ReportsTargetsThatDoNotAnswer) {
  tunnel_fixture fixture;
  // With a backlog of 0, the kernel takes one connection and drops the SYNs of
  // further ones.
  boost::asio::ip::tcp::acceptor full(fixture.loop);
  full.open(boost::asio::ip::tcp::v4());
  full.bind({boost::asio::ip::address_v4::loopback(), 0});
  full.listen(0);
  const std::uint16_t port = full.local_endpoint().port();
  const auto queued = raw_connection::To(fixture.loop, port);
  CHECK_TRUE(fixture.FailureTo("127.0.0.1:" + std::to_string(port)) ==
             exchange_failure::kNotConnected);
}

// Nothing of the request may be sent to a server that gives no tunnel, or
// before it has.
TEST(NetTunnel, SendsNothingBeforeTheTunnelIsOpen) {
  struct reply_case {
    std::string reply;
    bool close;
    duration connect_timeout;
    exchange_failure failure;
  };
  constexpr duration kShortTimeout = std::chrono::milliseconds(20);
  const std::vector<reply_case> cases{
      {"HTTP/1.1 403 X\r\n\r\n", false, kLongTimeout,
       exchange_failure::kNoTunnel},
      {"HTTP/1.1 503 X\r\n\r\n", false, kLongTimeout,
       exchange_failure::kNoTunnel},
      {"HTTP/1.1 502 X\r\n\r\n", false, kLongTimeout,
       exchange_failure::kNotConnected},
      {"garbage\r\n\r\n", false, kLongTimeout, exchange_failure::kNoTunnel},
      {"HTTP/1.1 200 OK\r\nX: " + std::string(8'192, 'a'), false, kLongTimeout,
       exchange_failure::kNoTunnel},
      {"HTTP/1.1 200 OK\r\n", true, kLongTimeout, exchange_failure::kNoTunnel},
      {"", true, kLongTimeout, exchange_failure::kNoTunnel},
      {"", false, kShortTimeout, exchange_failure::kNoTunnel},
      {"HTTP/1.1 200 OK\r\n", false, kShortTimeout,
       exchange_failure::kNoTunnel}};
  for (const reply_case& each : cases) {
    boost::asio::io_context loop;
    raw_listener listener(loop);
    recorded_exchange exchange(loop);
    exchange.client->Start("127.0.0.1:1", kRequest, each.connect_timeout,
                           listener.Address());
    raw_connection server = listener.Accept();
    // Closing a socket with unread bytes would send a reset.
    CHECK_TRUE(RunUntil(
        loop, [&] { return server.Has("\r\n\r\n") || exchange.Finished(); }));
    if (!exchange.Finished()) {
      server.Send(each.reply);
    }
    if (each.close) {
      server.Close();
    }
    CHECK_TRUE(RunUntil(loop, [&] { return exchange.Finished(); }));
    CHECK_TRUE(exchange.failure == each.failure);
    CHECK_FALSE(exchange.sent);
    if (!each.close) {
      const std::string head =
          "CONNECT 127.0.0.1:1 HTTP/1.1\r\nHost: 127.0.0.1:1\r\n\r\n";
      // The short timeout may pass before anything is sent.
      CHECK_TRUE(
          server.Received() == head ||
          (each.connect_timeout == kShortTimeout && server.Received().empty()));
    }
  }
}
