#include "acaciaferry/polling/http_get.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>

#include <array>
#include <istream>

namespace acaciaferry {

std::optional<http_reply> HttpGet(const std::string& address,
                                  const std::string& path,
                                  duration timeout,
                                  std::size_t max_bytes) {
  using Poco::Net::HTTPRequest;
  try {
    Poco::Net::HTTPClientSession session{Poco::Net::SocketAddress(address)};
    session.setTimeout(Poco::Timespan(timeout.count()));
    HTTPRequest request(HTTPRequest::HTTP_GET, path, HTTPRequest::HTTP_1_1);
    session.sendRequest(request);
    Poco::Net::HTTPResponse response;
    std::istream& stream = session.receiveResponse(response);
    std::string body;
    std::array<char, 16 << 10> buffer{};
    // The body grows as it is read, because the limit may be far above the
    // usual size.
    while (stream.read(buffer.data(), buffer.size()), stream.gcount() > 0) {
      body.append(buffer.data(), static_cast<std::size_t>(stream.gcount()));
      if (body.size() > max_bytes) {
        return std::nullopt;
      }
    }
    return http_reply{static_cast<int>(response.getStatus()), std::move(body)};
  } catch (const Poco::Exception&) {
    return std::nullopt;
  }
}

}  // namespace acaciaferry
