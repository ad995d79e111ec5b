#include "acaciaferry/peer/transport.hpp"

#include <Poco/Net/IPAddress.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <nng/protocol/pubsub0/pub.h>
#include <nng/protocol/pubsub0/sub.h>

#include <atomic>
#include <future>
#include <memory>
#include <thread>
#include <utility>
#include <vector>

namespace acaciaferry {
namespace internal {

constexpr nng_duration kReceiveTimeoutMs = 200;
constexpr nng_duration kFirstReconnectMs = 100;
constexpr nng_duration kLongestReconnectMs = 1'000;
// A whole document in parts, and the heartbeats that are sent meanwhile.
constexpr int kSendBufferMessages = 48;
// Heartbeats and reports of a whole failure domain that arrive together.
constexpr int kReceiveBufferMessages = 1'024;
constexpr duration kCloseUnusedAfter = std::chrono::minutes(1);
constexpr duration kLongestClose = std::chrono::seconds(1);
constexpr duration kSweepPause = std::chrono::seconds(10);

std::string Url(const std::string& address) {
  return "tcp://" + address;
}

std::string BoundAddress(nng_listener listener, const std::string& requested) {
  nng_sockaddr bound{};
  const bool known =
      nng_listener_get_addr(listener, NNG_OPT_LOCADDR, &bound) == 0 &&
      bound.s_family == NNG_AF_INET;
  if (!known) {
    return requested;
  }
  // nng keeps the port in network byte order.
  const auto* const bytes =
      reinterpret_cast<const std::uint8_t*>(&bound.s_in.sa_port);
  const unsigned port = (static_cast<unsigned>(bytes[0]) << 8U) | bytes[1];
  const std::string host = requested.substr(0, requested.rfind(':'));
  return host + ":" + std::to_string(port);
}

void CountPipe(nng_pipe /*pipe*/, nng_pipe_ev event, void* pipes) {
  auto& count = *static_cast<std::atomic<int>*>(pipes);
  count += event == NNG_PIPE_EV_ADD_POST ? 1 : -1;
}

// A publisher for each peer. It never blocks and drops what a slow peer does
// not take. The push socket of nng 1.5.2 was seen to crash in a non-blocking
// send after a connection was lost.
bool OpenConnection(const std::string& address,
                    nng_socket& socket,
                    std::atomic<int>& pipes) {
  if (nng_pub0_open(&socket) != 0) {
    return false;
  }
  nng_pipe_notify(socket, NNG_PIPE_EV_ADD_POST, CountPipe, &pipes);
  nng_pipe_notify(socket, NNG_PIPE_EV_REM_POST, CountPipe, &pipes);
  nng_socket_set_ms(socket, NNG_OPT_RECONNMINT, kFirstReconnectMs);
  nng_socket_set_ms(socket, NNG_OPT_RECONNMAXT, kLongestReconnectMs);
  nng_socket_set_int(socket, NNG_OPT_SENDBUF, kSendBufferMessages);
  // Connecting goes on in the background, also when the first try fails.
  const int error =
      nng_dial(socket, Url(address).c_str(), nullptr, NNG_FLAG_NONBLOCK);
  if (error != 0) {
    nng_close(socket);
  }
  return error == 0;
}

// Keeps the counter that the socket's callbacks use until it is closed.
struct closing_socket {
  nng_socket socket{};
  std::shared_ptr<std::atomic<int>> pipes;
};

// nng 1.5.2 was seen to wait in nng_close for ever for a connection that was
// being set up, so a shutdown does not depend on its return.
void CloseAll(std::vector<closing_socket> sockets) {
  const auto closed = std::make_shared<std::promise<void>>();
  const std::future<void> done = closed->get_future();
  std::thread([closed, sockets = std::move(sockets)] {
    for (const closing_socket& each : sockets) {
      nng_close(each.socket);
    }
    closed->set_value();
  }).detach();
  done.wait_for(kLongestClose);
}

}  // namespace internal

peer_transport::peer_transport(const std::string& address,
                               const clock_source& clock,
                               receiver receiver)
    : clock_(clock), receiver_(std::move(receiver)) {
  if (nng_sub0_open(&listener_) != 0) {
    throw Poco::Net::NetException("cannot open the peers' listener");
  }
  nng_socket_set(listener_, NNG_OPT_SUB_SUBSCRIBE, "", 0);
  nng_socket_set_int(listener_, NNG_OPT_RECVBUF,
                     internal::kReceiveBufferMessages);
  nng_socket_set_ms(listener_, NNG_OPT_RECVTIMEO, internal::kReceiveTimeoutMs);
  // One byte more than allowed, so that an oversized message is counted here
  // and only a much longer one closes the connection.
  nng_socket_set_size(listener_, NNG_OPT_RECVMAXSZ, 2 * kMaxMessageBytes);
  nng_listener bound{};
  const int error =
      nng_listen(listener_, internal::Url(address).c_str(), &bound, 0);
  if (error != 0) {
    nng_close(listener_);
    throw Poco::Net::NetException("cannot listen for peers on " + address,
                                  nng_strerror(error));
  }
  address_ = internal::BoundAddress(bound, address);
}

peer_transport::~peer_transport() {
  stopping_ = true;
  if (thread_.joinable()) {
    thread_.join();
  }
  std::vector<internal::closing_socket> sockets{{listener_, nullptr}};
  for (const auto& [address, each] : connections_) {
    sockets.push_back({each.socket, each.pipes});
  }
  internal::CloseAll(std::move(sockets));
}

void peer_transport::Start() {
  thread_ = std::thread([this] { Receive(); });
}

void peer_transport::Receive() {
  while (!stopping_) {
    nng_msg* message = nullptr;
    if (nng_recvmsg(listener_, &message, 0) != 0) {
      continue;
    }
    const byte_view bytes(
        static_cast<const std::uint8_t*>(nng_msg_body(message)),
        nng_msg_len(message));
    ++totals_.received_messages;
    totals_.received_bytes += bytes.size();
    receiver_(bytes);
    nng_msg_free(message);
  }
}

bool peer_transport::Send(const std::string& address, std::string_view bytes) {
  const std::lock_guard lock(mutex_);
  CloseUnused(clock_.Now());
  connection* const open = Find(address);
  const bool taken = open != nullptr && *open->pipes > 0 &&
                     nng_send(open->socket, const_cast<char*>(bytes.data()),
                              bytes.size(), NNG_FLAG_NONBLOCK) == 0;
  if (taken) {
    ++totals_.sent_messages;
    totals_.sent_bytes += bytes.size();
  } else {
    ++totals_.dropped_messages;
  }
  return taken;
}

peer_transport::connection* peer_transport::Find(const std::string& address) {
  const auto found = connections_.find(address);
  if (found != connections_.end()) {
    found->second.used_at = clock_.Now();
    return &found->second;
  }
  connection added{.socket = {},
                   .pipes = std::make_shared<std::atomic<int>>(0),
                   .used_at = clock_.Now()};
  const bool opened =
      connections_.size() < kMaxPeerConnections &&
      internal::OpenConnection(address, added.socket, *added.pipes);
  return opened ? &connections_.emplace(address, added).first->second : nullptr;
}

void peer_transport::CloseUnused(time_point now) {
  if (now - swept_at_ < internal::kSweepPause) {
    return;
  }
  swept_at_ = now;
  std::erase_if(connections_, [now](const auto& item) {
    const bool unused = now - item.second.used_at > internal::kCloseUnusedAfter;
    if (unused) {
      nng_close(item.second.socket);
    }
    return unused;
  });
}

}  // namespace acaciaferry
