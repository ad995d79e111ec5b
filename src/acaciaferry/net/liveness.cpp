#include "acaciaferry/net/liveness.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace acaciaferry::net {
namespace internal {

// Keep-alive probes detect a peer that lost power while the connection is idle.
constexpr int kKeepAliveIdleS = 1;
constexpr int kKeepAliveIntervalS = 1;
constexpr int kKeepAliveCount = 2;

}  // namespace internal

void EnableLivenessProbes(int descriptor, duration user_timeout) {
  const int on = 1;
  const int timeout_ms = static_cast<int>(
      std::chrono::duration_cast<std::chrono::milliseconds>(user_timeout)
          .count());
  setsockopt(descriptor, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
  setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, &internal::kKeepAliveIdleS,
             sizeof internal::kKeepAliveIdleS);
  setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPINTVL,
             &internal::kKeepAliveIntervalS,
             sizeof internal::kKeepAliveIntervalS);
  setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPCNT, &internal::kKeepAliveCount,
             sizeof internal::kKeepAliveCount);
  setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
             sizeof timeout_ms);
}

}  // namespace acaciaferry::net
