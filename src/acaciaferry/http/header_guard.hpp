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
 * @brief Closes connections that do not send the head of their first request
 * in time. POCO itself limits only each single receive.
 */
class header_guard final : public Poco::Net::TCPServerConnectionFilter {
 public:
  /**
   * @param clock Time source; must outlive the guard.
   * @param limit Longest time from accepting a connection to the end of the
   * head.
   */
  header_guard(const clock_source& clock, duration limit);
  ~header_guard() override;

  /** @brief Starts the time limit of a connection. @return Always true. */
  bool accept(const Poco::Net::StreamSocket& socket) override;

  /** @brief Ends the time limit of the connection from that peer address. */
  void OnHeadReceived(const Poco::Net::SocketAddress& peer);

 private:
  struct pending_connection {
    /** A duplicate, so that its number is not reused for another connection. */
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
