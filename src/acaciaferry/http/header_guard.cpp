#include "acaciaferry/http/header_guard.hpp"

#include <Poco/Net/SocketImpl.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace acaciaferry {
namespace internal {

constexpr duration kCheckInterval = std::chrono::milliseconds(200);

// Unread bytes show that the connection waits for a free thread: the delay is
// not the caller's.
bool HasUnreadBytes(int descriptor) {
  pollfd entry{.fd = descriptor, .events = POLLIN, .revents = 0};
  return ::poll(&entry, 1, 0) > 0 && (entry.revents & POLLIN) != 0;
}

}  // namespace internal

header_guard::header_guard(const clock_source& clock, duration limit)
    : clock_(clock),
      limit_(limit),
      task_(internal::kCheckInterval, [this] { CloseExpired(); }) {}

header_guard::~header_guard() {
  const std::lock_guard lock(mutex_);
  for (const auto& [peer, connection] : connections_) {
    ::close(connection.descriptor);
  }
}

bool header_guard::accept(const Poco::Net::StreamSocket& socket) {
  const int descriptor = ::dup(socket.impl()->sockfd());
  if (descriptor < 0) {
    return true;
  }
  const std::lock_guard lock(mutex_);
  const auto [entry, is_new] = connections_.try_emplace(
      socket.peerAddress().toString(),
      pending_connection{descriptor, clock_.Now() + limit_});
  if (!is_new) {
    ::close(entry->second.descriptor);
    entry->second = {descriptor, clock_.Now() + limit_};
  }
  return true;
}

void header_guard::OnHeadReceived(const Poco::Net::SocketAddress& peer) {
  const std::lock_guard lock(mutex_);
  const auto found = connections_.find(peer.toString());
  if (found != connections_.end()) {
    ::close(found->second.descriptor);
    connections_.erase(found);
  }
}

void header_guard::CloseExpired() {
  const std::lock_guard lock(mutex_);
  const time_point now = clock_.Now();
  std::erase_if(connections_, [now](const auto& entry) {
    const pending_connection& connection = entry.second;
    if (connection.deadline > now ||
        internal::HasUnreadBytes(connection.descriptor)) {
      return false;
    }
    ::shutdown(connection.descriptor, SHUT_RDWR);
    ::close(connection.descriptor);
    return true;
  });
}

}  // namespace acaciaferry
