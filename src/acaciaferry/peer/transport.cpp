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
constexpr nng_duration kMinReconnectMs = 100;
constexpr nng_duration kMaxReconnectMs = 1'000;
// Holds all parts of a configuration document and the heartbeats that are sent
// meanwhile.
constexpr int kSendBufferMessages = 48;
// Holds heartbeats and reports of a whole failure domain that arrive at once.
constexpr int kReceiveBufferMessages = 1'024;
constexpr duration kCloseUnusedAfter = std::chrono::minutes(1);
constexpr duration kCloseTimeout = std::chrono::seconds(1);
constexpr duration kCloseUnusedInterval = std::chrono::seconds(10);

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

// Opens a publisher socket, which never blocks and drops messages to a slow
// peer. A push socket is not used: in nng 1.5.2, its non-blocking send was seen
// to crash after a connection was lost.
bool OpenConnection(const std::string& address,
                    nng_socket& socket,
                    std::atomic<int>& pipes) {
  if (nng_pub0_open(&socket) != 0) {
    return false;
  }
  nng_pipe_notify(socket, NNG_PIPE_EV_ADD_POST, CountPipe, &pipes);
  nng_pipe_notify(socket, NNG_PIPE_EV_REM_POST, CountPipe, &pipes);
  nng_socket_set_ms(socket, NNG_OPT_RECONNMINT, kMinReconnectMs);
  nng_socket_set_ms(socket, NNG_OPT_RECONNMAXT, kMaxReconnectMs);
  nng_socket_set_int(socket, NNG_OPT_SENDBUF, kSendBufferMessages);
  // Connects in the background and retries after a failure.
  const int error =
      nng_dial(socket, Url(address).c_str(), nullptr, NNG_FLAG_NONBLOCK);
  if (error != 0) {
    nng_close(socket);
  }
  return error == 0;
}

// Keeps the counter of the socket's callbacks alive until the socket is closed.
struct closing_socket {
  nng_socket socket{};
  std::shared_ptr<std::atomic<int>> pipes;
};

// nng_close of nng 1.5.2 was seen to hang on a connection that was being
// established. Sockets are closed on a detached thread, so that a shutdown
// waits at most kCloseTimeout.
void CloseAll(std::vector<closing_socket> sockets) {
  const auto closed = std::make_shared<std::promise<void>>();
  const std::future<void> done = closed->get_future();
  std::thread([closed, sockets = std::move(sockets)] {
    for (const closing_socket& each : sockets) {
      nng_close(each.socket);
    }
    closed->set_value();
  }).detach();
  done.wait_for(kCloseTimeout);
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
  // Twice the limit, so that an oversized message is received and counted. nng
  // closes the connection only for longer ones.
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
  connection* const open = FindOrOpen(address);
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

peer_transport::connection* peer_transport::FindOrOpen(
    const std::string& address) {
  const auto found = connections_.find(address);
  if (found != connections_.end()) {
    found->second.last_used_at = clock_.Now();
    return &found->second;
  }
  connection added{.socket = {},
                   .pipes = std::make_shared<std::atomic<int>>(0),
                   .last_used_at = clock_.Now()};
  const bool opened =
      connections_.size() < kMaxPeerConnections &&
      internal::OpenConnection(address, added.socket, *added.pipes);
  return opened ? &connections_.emplace(address, added).first->second : nullptr;
}

void peer_transport::CloseUnused(time_point now) {
  if (now - last_close_unused_ < internal::kCloseUnusedInterval) {
    return;
  }
  last_close_unused_ = now;
  std::erase_if(connections_, [now](const auto& item) {
    const bool unused =
        now - item.second.last_used_at > internal::kCloseUnusedAfter;
    if (unused) {
      nng_close(item.second.socket);
    }
    return unused;
  });
}

}  // namespace acaciaferry
