#include "acaciaferry/http/header_guard.hpp"

#include <Poco/Net/SocketImpl.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace acaciaferry {
namespace internal {

constexpr duration kGuardInterval = std::chrono::milliseconds(200);

// Bytes that no thread has read show that the connection waits for a thread;
// its caller is not the slow one.
bool HasUnreadBytes(int descriptor) {
  pollfd entry{.fd = descriptor, .events = POLLIN, .revents = 0};
  return ::poll(&entry, 1, 0) > 0 && (entry.revents & POLLIN) != 0;
}

}  // namespace internal

header_guard::header_guard(const clock_source& clock, duration limit)
    : clock_(clock),
      limit_(limit),
      task_(internal::kGuardInterval, [this] { CloseOverdue(); }) {}

header_guard::~header_guard() {
  const std::lock_guard lock(mutex_);
  for (const auto& [peer, each] : watched_) {
    ::close(each.descriptor);
  }
}

bool header_guard::accept(const Poco::Net::StreamSocket& socket) {
  const int descriptor = ::dup(socket.impl()->sockfd());
  if (descriptor < 0) {
    return true;
  }
  const std::lock_guard lock(mutex_);
  const auto [entry, is_new] =
      watched_.try_emplace(socket.peerAddress().toString(),
                           watched{descriptor, clock_.Now() + limit_});
  if (!is_new) {
    ::close(entry->second.descriptor);
    entry->second = {descriptor, clock_.Now() + limit_};
  }
  return true;
}

void header_guard::HeadArrived(const Poco::Net::SocketAddress& peer) {
  const std::lock_guard lock(mutex_);
  const auto found = watched_.find(peer.toString());
  if (found != watched_.end()) {
    ::close(found->second.descriptor);
    watched_.erase(found);
  }
}

void header_guard::CloseOverdue() {
  const std::lock_guard lock(mutex_);
  const time_point now = clock_.Now();
  std::erase_if(watched_, [now](const auto& entry) {
    const watched& each = entry.second;
    if (each.deadline > now || internal::HasUnreadBytes(each.descriptor)) {
      return false;
    }
    ::shutdown(each.descriptor, SHUT_RDWR);
    ::close(each.descriptor);
    return true;
  });
}

}  // namespace acaciaferry
