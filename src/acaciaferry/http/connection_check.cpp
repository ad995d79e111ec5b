#include "acaciaferry/http/connection_check.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Timespan.h>
#include <sys/socket.h>

namespace acaciaferry {

bool IsConnected(Poco::Net::HTTPServerRequest& request) {
  auto& impl = static_cast<Poco::Net::HTTPServerRequestImpl&>(request);
  try {
    Poco::Net::StreamSocket& socket = impl.socket();
    if (!socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) {
      return true;
    }
    char byte{};
    return socket.receiveBytes(&byte, 1, MSG_PEEK) > 0;
  } catch (const Poco::Exception&) {
    return false;
  }
}

}  // namespace acaciaferry
