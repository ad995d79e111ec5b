#pragma once

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Net/TCPServer.h>

#include <map>
#include <mutex>
#include <string>

#include "acaciaferry/core/time.hpp"
#include "acaciaferry/polling/periodic_task.hpp"

namespace acaciaferry {

/**
 * @brief Closes connections that have not sent their first request's head in
 * time. POCO limits only the wait for each single receive.
 */
class header_guard final : public Poco::Net::TCPServerConnectionFilter {
 public:
  /**
   * @param clock Time source; must outlive the guard.
   * @param limit Time from the connection to the end of the head.
   */
  header_guard(const clock_source& clock, duration limit);
  ~header_guard() override;

  /** @brief Begins to watch a connection. @return Always true. */
  bool accept(const Poco::Net::StreamSocket& socket) override;

  /** @brief Ends the watch over the connection of that peer. */
  void OnHeadReceived(const Poco::Net::SocketAddress& peer);

 private:
  struct pending_connection {
    /** A duplicate, so that it never names a later connection. */
    int descriptor{};
    time_point deadline;
  };

  void CloseExpired();

  const clock_source& clock_;
  const duration limit_;
  std::mutex mutex_;
  std::map<std::string, pending_connection> connections_;
  periodic_task task_;
};

}  // namespace acaciaferry
